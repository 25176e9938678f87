/** Follows a versioned key-value source: lists it once, then watches it from the revision of the
    listing. This is a state machine without I/O: the caller sends the request that poll() returns
    and passes the answer to handleAnswer().

    The epoch of the answers increases when the source is restored from a backup. The changes
    between the backup and the revision that this node has reached are then unknown, so each
    follower lists the source again after a random delay.

    Calls to the source have a cost. To be able to serve, a node that doesn't read the source lists
    it once at its start, and accepts a stale answer, which may be some seconds old and costs less.
    Changes that such a listing lacks come from the zone's reader, or from this node's own watch if
    it has to read later. The revision that a stale answer reports isn't trusted; only the revisions
    of its entries are.

    An unanswered watch doesn't show whether the connection still works. Watches are therefore
    short, and a watch that times out is repeated over a new connection. Repeated failures are
    backed off, but only so far that a node which reaches the source again soon has current data.
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

/** An entry as it was written, or its removal. */
struct SourceEntry
{
    std::string key; /**< Empty if the key can't be read either. */
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t createdAt = 0;
    bool removed = false;
    std::string fault{}; /**< Describes why the entry can't be read; empty if it can. */
};

enum class SourceCall : std::uint8_t
{
    list,
    watch
};

inline constexpr std::string_view sourceCallNames[] = { "list", "watch" };

/** The reason for a call, by which calls are counted. */
enum class SourceCallCause : std::uint8_t
{
    start,       /**< The first page of the first listing. */
    page,        /**< A further page of any listing. */
    historyLost, /**< The first page of a listing since a watch can't continue. */
    refresh,     /**< The first page of a repeated listing of a node that doesn't read. */
    takeOver,    /**< The first watch of a node that starts to read. */
    watch,       /**< A further watch. */
    retry        /**< After a call that failed or was refused. */
};

inline constexpr std::string_view sourceCallCauseNames[] = { "start", "page",      "history_lost",
                                                             "look",  "take_over", "watch",
                                                             "retry" };

/** Numbers of calls, indexed by cause. */
using SourceCallCounts = std::array<std::uint64_t, std::size (sourceCallCauseNames)>;

struct SourceRequest
{
    SourceCall call = SourceCall::list;
    std::string afterKey;            /**< The page starts after this key. */
    std::uint64_t afterRevision = 0; /**< The revision after which a watch starts. */
    Milliseconds wait{};             /**< Time for which the source may hold a watch. */
    Milliseconds timeout{};          /**< Time after which the call has failed. */
    bool mayBeStale = false;         /**< True if a listing may be some seconds old. */
    SourceCallCause cause = SourceCallCause::start;
};

enum class SourceReply : std::uint8_t
{
    entries,
    historyLost, /**< The watch can't continue; the source must be listed again. */
    refused,     /**< The source or a rate limit rejected the call. */
    failed,      /**< There is no answer, or it can't be parsed. */
    tooLarge     /**< The answer has more changes than can be read at once. */
};

inline constexpr std::string_view sourceReplyNames[] = { "entries", "history_lost", "refused",
                                                         "failed", "too_large" };

struct SourceAnswer
{
    SourceReply reply = SourceReply::failed;
    std::vector<SourceEntry> entries;
    bool hasMore = false;
    SourcePosition position; /**< Position of the source; its revision is valid only with
                            SourceReply::entries. */
};

/** What it means that an update removes an entry or lacks it. */
struct AbsenceEvidence
{
    /** Time for which the instance may still be running without an entry, because the entry may
       have expired while the source couldn't be reached; 0 if the instance is leaving.
    */
    Milliseconds grace{};

    /** True if a call has failed since the previous update. Then most of the entries missing at
       once shows that they expired, however short the failure was.
    */
    bool interrupted = false;
};

/** Changes that an answer of the source contains. */
struct SourceUpdate
{
    bool complete = false;            /**< True for a listing: entries that it lacks are removed. */
    std::vector<SourceEntry> entries; /**< Their revisions belong to the epoch of `position`. */
    SourcePosition position;
    AbsenceEvidence absence{};
};

/** What the readers of a zone have reported about the source. */
struct ZoneConfirmation
{
    Timestamp confirmedAt{}; /**< Time up to which no change is missing here. */
    Timestamp absenceDistrustedUntil{};
};

/** Time after the source's return or restore within which running instances have renewed their
    entries.
*/
inline constexpr Milliseconds entryRenewalTime{ 2500 };

struct FollowerSettings
{
    Milliseconds watchWait{ 1500 };

    /** Minimum interval between the starts of two watches. Entries that change continuously end
        each watch immediately; the interval fetches several of their changes together.
    */
    Milliseconds watchInterval{ 200 };
    Milliseconds answerTimeout{ 600 }; /**< Added to the wait of a watch. */
    Milliseconds listTimeout{ 1200 };
    Milliseconds initialBackoff{ 100 };
    Milliseconds maxBackoff{ 400 };

    /** Minimum age of a watch that is replaced; the answer to a younger one may be in transit. */
    Milliseconds expediteAfter{ 200 };

    /** Interval at which instances renew their entries. An entry expires after three intervals
        without renewal.
    */
    Milliseconds entryHeartbeat{ 1500 };

    /** Duration of an outage in which entries of running instances can expire. An entry renewed
       just before its instance would renew it next outlasts two intervals; renewals may be late.
    */
    Milliseconds lapseTime() const { return entryHeartbeat * 5 / 3; }

    /** Upper bound of the random delay before a restored source is listed. */
    Milliseconds maxRestoreDelay{ 300 };

    /** Interval after which an empty stale listing is repeated. */
    Milliseconds emptyListInterval{ 500 };
    bool firstListMayBeStale = false; /**< True if a reader of the zone provides later changes. */

    /** Delay from the first poll() to the first listing, which is skipped if a position is reached
        by other means before. If many nodes start together over slow links, the nodes with fast
        links are ready sooner, and their updates are smaller than a listing.
    */
    Milliseconds firstListDelay{ 0 };
};

/** Not thread-safe. */
class SourceFollower
{
public:
    SourceFollower (const FollowerSettings& settingsToUse, std::uint64_t seed);

    /** @returns the request to send now; std::nullopt while one is pending or none is due */
    std::optional<SourceRequest> poll (Timestamp now);

    /** Time at which poll() may return a request; Timestamp::max() while one is pending. */
    Timestamp nextDue() const;

    /** Handles the answer to the pending request. @returns the changes in it, if any */
    std::optional<SourceUpdate> handleAnswer (Timestamp now, SourceAnswer answer);

    /** Makes the next watch due at once, because another node runs a later version. Neither the
        pending watch nor the interval between watches is awaited any longer.
        @returns true if the pending request, if any, is to be dropped and poll() called again
    */
    bool expediteWatch (Timestamp now);

    /** Records a position that was reached by other means while this node reads. The changes that a
        watch from an earlier position would return are known, and may take long over a slow link.
        @returns true if the pending watch is to be dropped and poll() called again
    */
    bool positionReceived (Timestamp now, SourcePosition position);

    /** Stops watching until resume(). The first listing continues, unless `position` was reached by
        other means.
        @returns true if the pending request, if any, is to be dropped
    */
    bool pause (SourcePosition position = {});

    /** Resumes, from `position` if it was reached by other means. The first watch is answered at
        once, which shows whether the source can be reached.
        @param zone  what other readers have reported while this node didn't read
        @returns true if the pending request, if any, is to be dropped
    */
    bool resume (Timestamp now, SourcePosition position, ZoneConfirmation zone = {});

    /** Lists the source again while this node doesn't read. The answer may be stale. */
    void refreshListing (Timestamp now);

    /** Sets the minimum interval of calls to a failing source, which other nodes call as well. */
    void setMinRetryInterval (Milliseconds interval) { minRetryInterval = interval; }

    /** True if the source answers and neither an outage in which entries can expire nor a restore
        was seen recently, so that instances without an entry can be considered leaving.
    */
    bool canTrustAbsence (Timestamp now) const;

    /** End of the time in which absent entries aren't trusted. */
    Timestamp absenceDistrustEnd() const { return absenceDistrustedUntil; }

    /** True while the source answers: no call is failing, and the last answer is no older than a
        watch may take. Also true while a listing replaces a lost history: other nodes that start to
        read instead would each have to list the source as well.
    */
    bool isSourceReachable (Timestamp now) const;

    bool hasListed() const { return listed; }
    bool failing() const { return failures > 0; }
    Timestamp lastSuccess() const { return successAt; }
    SourcePosition position() const { return reachedPosition; }

    /** Latest epoch that an answer or another node has reported. */
    std::uint64_t latestEpoch() const { return epoch; }

private:
    void failed (Timestamp now);
    Milliseconds backoff (int attempts) const;
    bool skipListing (SourcePosition position);
    void advanceTo (SourcePosition position);
    void restartListing (Timestamp when);
    void beginEpoch (Timestamp now, std::uint64_t newEpoch);

    /** @returns true if the answer has the epoch in which the watch or the listing started */
    bool matchesCallEpoch (const SourceAnswer& answer) const;
    void handleRestore (Timestamp now);
    void handleHistoryLoss (Timestamp now);
    std::optional<SourceUpdate> takeChanges (Timestamp now, SourceAnswer answer);
    SourceCallCause causeOf (SourceCall call) const;
    std::optional<SourceUpdate> takePage (Timestamp now, SourceAnswer answer);
    void recordSuccess (Timestamp now);
    AbsenceEvidence takeAbsenceEvidence (Timestamp now);

    FollowerSettings settings;
    std::minstd_rand random;
    Timestamp startedAt{}; /**< Time of the first call of poll(). */
    bool requestPending = false;
    bool paused = false;
    bool firstWatch = false; /**< True if the next watch is the first after resume(). */

    /** True if the pending watch, the first one after resume() or a failure, doesn't wait. */
    bool immediateWatch = false;
    bool listed = false;
    SourceCall current = SourceCall::list;
    Timestamp due{}, sentAt{};
    SourcePosition reachedPosition;
    SourcePosition watchStart; /**< Start of the pending watch. */

    /** Position up to which the pages are complete; they are no snapshot. */
    SourcePosition listingPosition;
    std::uint64_t epoch = 0;
    bool stale = false; /**< True if the current listing may be stale. */
    bool historyLost = false;
    bool refreshing = false; /**< True if the current listing was requested by refreshListing(). */
    Milliseconds minRetryInterval{};
    std::vector<SourceEntry> pages;
    int failures = 0;
    int historyLosses = 0; /**< Number since a watch was last answered. */
    Timestamp successAt{};
    Timestamp zoneConfirmedAt{}; /**< As other readers reported before resume(). */
    Timestamp absenceDistrustedUntil{};
    bool interrupted = false; /**< True if a call has failed since the last update. */
};

} // namespace copperlead::mesh
