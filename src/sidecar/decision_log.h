/** Structured log of decisions: one JSON line for each decision that touches a request or changes
    what the process believes. The kinds of events are a closed list, each with a budget of lines a
    second. Writing never blocks: lines wait in a bounded buffer until standard output takes them,
    and what doesn't fit is counted.
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
    instanceLeaving,
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
    admissionRefused,
    bodyRefused,
    linesLeftOut,
    count
};

/** One kind of event: its name, how many lines a second it may write, and its fields. */
struct EventDescription
{
    EventKind kind;
    std::string_view name;
    int linesPerSecond;
    std::string_view fields; /**< Names, in the order in which a line has them. */
};

const EventDescription& describe (EventKind kind);

/** A named value of a line. */
struct Field
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double> value;
};

/** Of the reactor's thread. */
class DecisionLog
{
public:
    /** @param node        this node's name, a field of every line
        @param descriptor  where lines go; never closed here
    */
    DecisionLog (std::string node, int descriptor);
    ~DecisionLog();

    void write (Timestamp now, EventKind kind, std::span<const Field> fields);

    void write (Timestamp now, EventKind kind, std::initializer_list<Field> fields)
    {
        write (now, kind, std::span<const Field> (fields.begin(), fields.size()));
    }

    /** Hands what is buffered to the descriptor as far as it takes it without blocking. */
    void flush();

    std::uint64_t leftOut() const;

private:
    class Sink;
    class Budgets;
    void reportLeftOut (Timestamp now);

    std::string nodeName;
    std::unique_ptr<Budgets> budgets;
    std::shared_ptr<Sink> sink;
    std::string line;
};

} // namespace copperlead::sidecar
