/** Structured log of decisions, with one JSON line for each decision that affects a request or
    changes the state known to the process. The kinds of events form a fixed list, each with a limit
    of lines per second. Writing never blocks: lines wait in a bounded buffer until standard output
    accepts them, and lines that don't fit are counted and omitted.
*/
#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "base/time.h"

namespace copperlead::sidecar
{

enum class EventKind : std::uint8_t
{
    started,
    stopping,
    stopped,
    woke,
    settingsReloaded,
    settingsRefused,
    sourceLost,
    sourceRegained,
    sourceRestored,
    historyLost,
    sourceAnswerTooLarge,
    listingIgnored,
    roleChanged,
    subscribed,
    configurationTaken,
    configurationRefused,
    entryRefused,
    valueDoubted,
    zoneEvacuated,
    zoneReturned,
    identityLearned,
    instanceLost,
    instanceRegained,
    instanceCrashed,
    suspectHeld,
    suspectCleared,
    suspectRefused,
    instanceUnlisted,
    instanceLeaving,
    instanceLimited,
    instanceUnlimited,
    instanceFailing,
    instanceCold,
    instanceWarm,
    peerAvoided,
    requestServed,
    requestRefused,
    requestFailed,
    requestUnrouted,
    credentialRefused,
    quotaRefused,
    quotaAlone,
    quotaUsed,
    quotaKept,
    clientLeft,
    runAbandoned,
    searchFailed,
    attemptEnded,
    answerBrokenOff,
    admissionRefused,
    bodyRefused,
    memoryPlanned,
    memoryRefused,
    bodyLimitTooLarge,
    handlerFailed,
    linesLeftOut,
    count
};

/** Describes a kind of event: its name, its limit of lines per second and its fields. */
struct EventDescription
{
    EventKind kind;
    std::string_view name;
    int linesPerSecond;
    std::string_view fields; /**< Names in the order of a line. */
};

const EventDescription& describe (EventKind kind);

/** A named value in a line. */
struct Field
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double> value;
};

/** To be used on the reactor's thread only. */
class DecisionLog
{
public:
    /** @param node        name of this node, written in every line
        @param descriptor  destination of the lines; not closed by this class
    */
    DecisionLog (std::string node, int descriptor);
    ~DecisionLog();

    void write (Timestamp now, EventKind kind, std::span<const Field> fields);

    void write (Timestamp now, EventKind kind, std::initializer_list<Field> fields)
    {
        write (now, kind, std::span<const Field> (fields.begin(), fields.size()));
    }

    /** Writes as much of the buffer as the descriptor accepts without blocking. */
    void flush();

    /** The number of lines that exceeded a limit or didn't fit in the buffer. */
    std::uint64_t omittedLines() const;

private:
    class Sink;
    class Budgets;
    void reportOmittedLines (Timestamp now);

    std::string nodeName;
    std::unique_ptr<Budgets> budgets;
    std::shared_ptr<Sink> sink;
    std::string line;
};

} // namespace copperlead::sidecar
