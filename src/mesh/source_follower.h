/** Follows a versioned key-value source: lists it once, then watches it from the revision that the
    listing named. A state machine without I/O: the shell sends what poll() asks for and hands back
    what came of it.

    The epoch of the answers rises when the source is restored from a backup. Changes between the
    backup and the revision that this node has reached are then unknown, so the source is listed
    again, by each follower after a random delay.

    Calls are priced. A node that isn't to read the source lists it once at its start, by an answer
    that may be some seconds old and costs less, so that it can serve; what the listing lacks comes
    from the zone's reader, or from this node's own watch if it has to read after all. Of such a
    listing no revision is believed but those of the entries themselves.

    A watch that hears nothing says nothing: each one is short, and one that isn't answered in its
    time is asked again over a new connection. Failures back off, but never so far that a node which
    can reach the source again goes on with an old word.
*/
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "mesh/source_position.h"

namespace copperlead::mesh
{

/** An entry as it was written, or that it is gone. */
struct SourceEntry
{
    std::string key; /**< Empty: that can't be read either. */
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t createdAt = 0;
    bool gone = false;
    std::string fault{}; /**< Why it can't be read, in words; empty: it can. */
};

enum class SourceCall : std::uint8_t
{
    list,
    watch
};

inline constexpr std::string_view sourceCallNames[] = { "list", "watch" };

/** Why the source is called; for the count of calls. */
enum class SourceCallCause : std::uint8_t
{
    start,       /**< The first page of the first listing. */
    page,        /**< A further page of any listing. */
    historyLost, /**< The first page of a listing after the source forgot its history. */
    look,        /**< The first page of a later listing of a node that doesn't read. */
    takeOver,    /**< The first watch of a node that begins to read. */
    watch,       /**< A further watch. */
    retry        /**< After a call that failed or was refused. */
};

inline constexpr std::string_view sourceCallCauseNames[] = { "start", "page",      "history_lost",
                                                             "look",  "take_over", "watch",
                                                             "retry" };

/** Calls, by cause. */
using SourceCallCounts = std::array<std::uint64_t, std::size (sourceCallCauseNames)>;

struct SourceRequest
{
    SourceCall call = SourceCall::list;
    std::string afterKey;            /**< The next page begins behind it. */
    std::uint64_t afterRevision = 0; /**< Of a watch. */
    Milliseconds wait{};             /**< For which the source may hold a watch. */
    Milliseconds timeout{};          /**< After which the answer is taken for lost. */
    bool mayBeStale = false;         /**< Of a listing: an answer some seconds old will do. */
    SourceCallCause cause = SourceCallCause::start;
};

enum class SourceReply : std::uint8_t
{
    entries,
    historyLost, /**< The watch can't go on: list again. */
    refused,     /**< Nothing was done; the source or a limit turned the call away. */
    failed       /**< No answer, or one that can't be read. */
};

inline constexpr std::string_view sourceReplyNames[] = { "entries", "history_lost", "refused",
                                                         "failed" };

struct SourceAnswer
{
    SourceReply reply = SourceReply::failed;
    std::vector<SourceEntry> entries;
    bool hasMore = false;
    SourcePosition at; /**< The source's; its revision is valid only with SourceReply::entries. */
};

/** What the node learns. */
struct SourceUpdate
{
    bool complete = false;            /**< A listing: what it doesn't hold is gone. */
    std::vector<SourceEntry> entries; /**< Their revisions belong to the epoch of `at`. */
    SourcePosition at;
};

struct FollowerSettings
{
    Milliseconds watchWait{ 1500 };

    /** Between the sendings of two watches, at least: entries that change all the time end each
        watch at once, and their changes are better fetched together.
    */
    Milliseconds watchInterval{ 200 };
    Milliseconds answerTime{ 600 }; /**< Beyond the wait. */
    Milliseconds listTime{ 1200 };
    Milliseconds firstBackoff{ 100 };
    Milliseconds longestBackoff{ 400 };
    Milliseconds hurryAfter{ 200 }; /**< A watch younger than this may just be on its way. */
    /** How long absence isn't trusted after a failure or a restore. */
    Milliseconds unsoundTime{ 2500 };

    /** Upper bound of the random delay before a restored source is listed. */
    Milliseconds longestRestoreDelay{ 300 };

    /** Until an old listing that held nothing is repeated. */
    Milliseconds emptyListInterval{ 500 };
    bool firstListMayBeStale = false; /**< Set where a reader of the zone tells what it lacks. */

    /** From the first poll() until the first listing, unless a revision is reached by other means
        before. Where many nodes start together over narrow links, those with wide ones are ready
        sooner and pass on less than a listing holds: of a day on which all processes were killed,
        0.975 of the credit was earned instead of 0.959.
    */
    Milliseconds firstListDelay{ 0 };
};

/** Not thread-safe. */
class SourceFollower
{
public:
    SourceFollower (const FollowerSettings& settingsToUse, std::uint64_t seed);

    /** @returns the request to send now; nothing while one is out or none is due */
    std::optional<SourceRequest> poll (Timestamp now);

    /** When poll() may have something; the largest time while a request is out. */
    Timestamp nextDue() const;

    /** Takes the answer to the request that is out. @returns what it teaches, if anything */
    std::optional<SourceUpdate> answered (Timestamp now, SourceAnswer answer);

    /** Another node runs a later version: neither the request that is out nor the interval between
        watches is waited for any longer.
        @returns true if it is to be dropped and poll() called again
    */
    bool hurry (Timestamp now);

    /** A position was reached by other means while this node reads: what a watch from an earlier
       one would bring is known, and may take long over a narrow link.
        @returns true if the watch that is out is to be dropped and poll() called again
    */
    bool overtaken (Timestamp now, SourcePosition position);

    /** Stops watching until resume(). The first listing goes on, unless `position` was reached by
        other means.
        @returns true if the request that is out, if any, is to be dropped
    */
    bool pause (SourcePosition position = {});

    /** Resumes, from a position that was reached by other means, if any was. The first watch is
        answered at once, so that the source is known to be reached.
        @returns true if the request that is out, if any, is to be dropped
    */
    bool resume (Timestamp now, SourcePosition position);

    /** Lists once more, by an answer that may be old, while this node doesn't read. */
    void lookAgain (Timestamp now);

    /** How far apart calls to a failing source are at least, since other nodes try it too. */
    void setTryInterval (Milliseconds interval) { tryInterval = interval; }

    /** True while nothing has failed lately, so that an entry's absence can be trusted. */
    bool sound (Timestamp now) const;

    /** True while the source answers: nothing is failing, and its last word is no older than a
        watch may take. Also while a lost history is made up for by a listing: were others to read
        instead, each would list as well.
    */
    bool reached (Timestamp now) const;

    bool hasListed() const { return listed; }
    bool failing() const { return failures > 0; }
    Timestamp lastSuccess() const { return successAt; }
    SourcePosition position() const { return at; }

    /** The latest epoch that an answer or another node has reported. */
    std::uint64_t latestEpoch() const { return epoch; }

private:
    void failed (Timestamp now);
    Milliseconds backoff (int attempts) const;
    bool skipListing (SourcePosition position);
    void advanceTo (SourcePosition position);
    void listAnew (Timestamp when);
    void beginEpoch (Timestamp now, std::uint64_t newEpoch);

    /** @returns true if the answer is of the epoch that the watch or the listing started in */
    bool matchesCallEpoch (const SourceAnswer& answer) const;
    void handleRestore (Timestamp now);
    void handleHistoryLoss (Timestamp now);
    std::optional<SourceUpdate> takeChanges (Timestamp now, SourceAnswer answer);
    SourceCallCause causeOf (SourceCall call) const;
    std::optional<SourceUpdate> takePage (SourceAnswer answer);

    FollowerSettings settings;
    std::minstd_rand random;
    bool begun = false; /**< poll() was called. */
    bool out = false;
    bool paused = false;
    bool firstWatch = false; /**< Since the resumption. */
    bool takingOver = false; /**< The watch that is out is the first since the resumption. */
    bool listed = false;
    SourceCall current = SourceCall::list;
    Timestamp due{}, sentAt{};
    SourcePosition at;
    SourcePosition watchStart; /**< Of the watch that is out. */
    SourcePosition listingAt;  /**< Up to which the pages lack nothing: they are no snapshot. */
    std::uint64_t epoch = 0;
    bool stale = false; /**< Of the listing under way. */
    bool historyLost = false;
    bool looking = false; /**< The listing under way is a later one. */
    Milliseconds tryInterval{};
    std::vector<SourceEntry> pages;
    int failures = 0;
    int historyLosses = 0; /**< Since a watch was last answered. */
    Timestamp successAt{};
    Timestamp unsoundUntil{};
};

} // namespace copperlead::mesh
