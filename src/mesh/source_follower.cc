#include "mesh/source_follower.h"

#include <algorithm>
#include <utility>

namespace copperlead::mesh
{
namespace
{

/** @returns the key of the last entry with a readable key; pages are ordered by key */
std::string lastKey (const std::vector<SourceEntry>& entries)
{
    const auto found = std::find_if (entries.rbegin(), entries.rend(),
                                     [] (const auto& entry) { return ! entry.key.empty(); });
    return found == entries.rend() ? std::string() : found->key;
}

} // namespace

SourceFollower::SourceFollower (const FollowerSettings& settingsToUse, std::uint64_t seed)
    : settings (settingsToUse)
    , random (static_cast<std::minstd_rand::result_type> (seed % std::minstd_rand::modulus))
    , stale (settingsToUse.firstListMayBeStale)
{
}

std::optional<SourceRequest> SourceFollower::poll (Timestamp now)
{
    if (startedAt == Timestamp{})
    {
        startedAt = now;

        if (settings.firstListDelay > Milliseconds (0))
            due = std::max<Timestamp> (due, now + settings.firstListDelay);
    }

    if (requestPending || (paused && listed) || now < due)
        return std::nullopt;

    requestPending = true;
    sentAt = now;
    current = listed ? SourceCall::watch : SourceCall::list;

    const auto cause = causeOf (current);

    if (current == SourceCall::watch)
    {
        // An immediate answer detects the recovery of a failing source soonest.
        immediateWatch = std::exchange (firstWatch, false) || failures > 0;
        const auto wait = immediateWatch ? Milliseconds (0) : settings.watchWait;
        watchStart = reachedPosition;
        return SourceRequest{
            current, {}, reachedPosition.revision, wait, wait + settings.answerTimeout, false, cause
        };
    }

    return SourceRequest{
        current, lastKey (pages), 0, Milliseconds (0), settings.listTimeout, stale, cause
    };
}

SourceCallCause SourceFollower::causeOf (SourceCall call) const
{
    if (failures > 0)
        return SourceCallCause::retry;

    if (call == SourceCall::watch)
        return firstWatch ? SourceCallCause::takeOver : SourceCallCause::watch;

    if (! pages.empty())
        return SourceCallCause::page;

    if (refreshing)
        return SourceCallCause::refresh;

    return historyLost ? SourceCallCause::historyLost : SourceCallCause::start;
}

bool SourceFollower::skipListing (SourcePosition position)
{
    if (listed || ! position.isKnown())
        return false;

    listed = true;
    pages.clear();
    return true;
}

void SourceFollower::advanceTo (SourcePosition position)
{
    reachedPosition = std::max (reachedPosition, position);
    epoch = std::max (epoch, reachedPosition.epoch);
}

bool SourceFollower::pause (SourcePosition position)
{
    const bool dropped = skipListing (position) || listed;
    paused = true;
    advanceTo (position);
    requestPending = requestPending && ! dropped;
    return dropped;
}

bool SourceFollower::resume (Timestamp now, SourcePosition position, ZoneConfirmation zone)
{
    const bool dropped = skipListing (position);
    zoneConfirmedAt = std::max (zoneConfirmedAt, zone.confirmedAt);
    absenceDistrustedUntil = std::max (absenceDistrustedUntil, zone.absenceDistrustedUntil);
    paused = false;
    firstWatch = true;
    advanceTo (position);
    requestPending = requestPending && ! dropped;

    if (! requestPending)
    {
        due = now;
        stale = stale && ! pages.empty();
    }

    // A watch can't start from a position of an earlier epoch.
    if (listed && reachedPosition.epoch < epoch)
        restartListing (now);

    return dropped;
}

bool SourceFollower::positionReceived (Timestamp now, SourcePosition position)
{
    if (position <= reachedPosition || ! listed || paused)
        return false;

    advanceTo (position);

    if (! requestPending || now - sentAt < settings.expediteAfter)
        return false;

    requestPending = false;
    due = now;
    return true;
}

bool SourceFollower::expediteWatch (Timestamp now)
{
    const bool waitsForInterval = ! requestPending && ! paused && failures == 0 && now < due;

    if (! waitsForInterval &&
        (! requestPending || current != SourceCall::watch || now - sentAt < settings.expediteAfter))
        return false;

    requestPending = false;
    due = now;
    return true;
}

void SourceFollower::refreshListing (Timestamp now)
{
    if (requestPending || ! paused || ! listed || failures > 0)
        return;

    listed = false;
    stale = true;
    refreshing = true;
    pages.clear();
    due = now;
}

Timestamp SourceFollower::nextDue() const
{
    return requestPending || (paused && listed) ? Timestamp::max() : due;
}

bool SourceFollower::isSourceReachable (Timestamp now) const
{
    // A follower that lists again after a lost history still reaches the source.
    return (listed || historyLost) && ! paused && failures == 0 &&
           now - successAt <= settings.watchInterval + settings.watchWait + settings.answerTimeout;
}

bool SourceFollower::canTrustAbsence (Timestamp now) const
{
    return failures == 0 && now >= absenceDistrustedUntil;
}

Milliseconds SourceFollower::backoff (int attempts) const
{
    const auto doubled = settings.initialBackoff * (1 << std::clamp (attempts - 1, 0, 4));
    return std::min (doubled, settings.maxBackoff);
}

void SourceFollower::failed (Timestamp now)
{
    ++failures;
    interrupted = true;
    const auto longest = std::max (backoff (failures), minRetryInterval);
    std::uniform_int_distribution<std::int64_t> spread (longest.count() / 2, longest.count());
    due = now + Milliseconds (spread (random));
}

void SourceFollower::restartListing (Timestamp when)
{
    listed = false;
    historyLost = true;
    stale = false; // The history after a stale answer's revision may be lost as well.
    pages.clear();
    due = when;
}

void SourceFollower::beginEpoch (Timestamp now, std::uint64_t newEpoch)
{
    epoch = newEpoch;

    if (reachedPosition.isKnown())
        absenceDistrustedUntil = now + entryRenewalTime;
}

void SourceFollower::recordSuccess (Timestamp now)
{
    auto confirmedAt = std::max (successAt, zoneConfirmedAt);

    // A node that has started in an outage has heard nothing since.
    if (confirmedAt == Timestamp{} && interrupted)
        confirmedAt = startedAt;

    const auto silence = now - confirmedAt;

    // Instances that had yet to renew expired entries have missed a renewal.
    const bool renewalInterrupted =
        interrupted && confirmedAt < absenceDistrustedUntil && silence >= settings.entryHeartbeat;

    if (confirmedAt != Timestamp{} && (silence >= settings.lapseTime() || renewalInterrupted))
        absenceDistrustedUntil = now + entryRenewalTime;

    successAt = now;
}

AbsenceEvidence SourceFollower::takeAbsenceEvidence (Timestamp now)
{
    const auto grace = std::max (Duration (0), absenceDistrustedUntil - now);
    return { std::chrono::ceil<Milliseconds> (grace), std::exchange (interrupted, false) };
}

bool SourceFollower::matchesCallEpoch (const SourceAnswer& answer) const
{
    if (current == SourceCall::watch)
        return answer.position.epoch == watchStart.epoch;

    return pages.empty() || answer.position.epoch == listingPosition.epoch;
}

void SourceFollower::handleRestore (Timestamp now)
{
    failures = 0;
    successAt = now;
    due = now;

    // A listing is not needed if another node has already forwarded the changes since the restore.
    if (! listed || reachedPosition.epoch < epoch)
    {
        std::uniform_int_distribution<std::int64_t> spread (0, settings.maxRestoreDelay.count());
        restartListing (now + Milliseconds (spread (random)));
    }
}

void SourceFollower::handleHistoryLoss (Timestamp now)
{
    // The backoff prevents a listing loop if the source rejects each position it has just reported.
    ++historyLosses;
    restartListing (historyLosses == 1 ? now : now + backoff (historyLosses - 1));
}

std::optional<SourceUpdate> SourceFollower::handleAnswer (Timestamp now, SourceAnswer answer)
{
    requestPending = false;

    // The changes can only become more, whereas a listing has each entry once, in pages.
    if (answer.reply == SourceReply::tooLarge && current == SourceCall::watch)
    {
        handleHistoryLoss (now);
        return std::nullopt;
    }

    const bool isReadable =
        answer.reply != SourceReply::failed && answer.reply != SourceReply::tooLarge;

    if (isReadable && answer.position.epoch > epoch)
        beginEpoch (now, answer.position.epoch);

    // An answer of an earlier epoch was sent before the source was restored.
    if (! isReadable || answer.reply == SourceReply::refused || answer.position.epoch < epoch)
    {
        failed (now);
        return std::nullopt;
    }

    if (! matchesCallEpoch (answer))
    {
        handleRestore (now);
        return std::nullopt;
    }

    if (answer.reply == SourceReply::historyLost)
    {
        handleHistoryLoss (now);
        return std::nullopt;
    }

    failures = 0;
    due = now;

    if (current == SourceCall::watch)
        return takeChanges (now, std::move (answer));

    if (! stale)
        recordSuccess (now);

    return takePage (now, std::move (answer));
}

std::optional<SourceUpdate> SourceFollower::takeChanges (Timestamp now, SourceAnswer answer)
{
    recordSuccess (now);
    historyLosses = 0;
    advanceTo (answer.position);
    due = std::max<Timestamp> (now, sentAt + settings.watchInterval);

    // An immediate watch reports to the zone that the source is reachable, even without changes.
    if (answer.entries.empty() && ! std::exchange (immediateWatch, false))
        return std::nullopt;

    return SourceUpdate{ false, std::move (answer.entries), reachedPosition,
                         takeAbsenceEvidence (now) };
}

namespace
{

/** @returns the position up to which a page is complete. The revision that a stale answer reports
    for the source isn't trusted; the answer only proves to be as recent as its latest entry.
*/
SourcePosition completeUpTo (const SourceAnswer& answer, bool stale)
{
    if (! stale)
        return answer.position;

    std::uint64_t latest = 0;

    for (const auto& entry : answer.entries)
        latest = std::max (latest, entry.revision);

    return { answer.position.epoch, std::min (latest, answer.position.revision) };
}

} // namespace

std::optional<SourceUpdate> SourceFollower::takePage (Timestamp now, SourceAnswer answer)
{
    const auto pagePosition = completeUpTo (answer, stale);
    listingPosition = pages.empty() ? pagePosition : std::min (listingPosition, pagePosition);

    const bool last = ! answer.hasMore || answer.entries.empty();
    pages.insert (pages.end(), std::make_move_iterator (answer.entries.begin()),
                  std::make_move_iterator (answer.entries.end()));

    if (! last)
        return std::nullopt;

    advanceTo (listingPosition);
    listed = ! stale || listingPosition.revision > 0;
    stale = ! listed && paused;
    historyLost = refreshing = false;

    // An empty stale answer doesn't show that the source is empty, so the listing is repeated.
    if (stale)
        due = sentAt + settings.emptyListInterval;

    return SourceUpdate{ true, std::exchange (pages, {}), listingPosition,
                         takeAbsenceEvidence (now) };
}

} // namespace copperlead::mesh
