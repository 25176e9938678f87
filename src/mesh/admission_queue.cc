#include "mesh/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "mesh/milliseconds.h"

namespace copperlead::mesh
{
namespace
{

/** Weights of a new sample in the moving averages. */
constexpr double runTimeLearningRate = 0.1;
constexpr double lateIntervalLearningRate = 0.3;

/** A run may well be as short as this share of the mean run time. */
constexpr double optimisticRunShare = 0.7;

/** The margin added to the sender's estimate, as a share of it, before the first run has ended. */
constexpr double defaultSpreadShare = 0.3;

/** Most runs take less than the mean plus this many mean absolute deviations. */
constexpr double conservativeRunDeviations = 0.6;

/** The initial mean deviation, as a share of the first run time. */
constexpr double firstDeviationShare = 0.5;

/** While no further run is measured, the difference between the learned mean and the sender's
    estimate halves in this time. An instance whose first run was slow is not chosen while others
    are free. Without the decay its estimate would never be corrected.
*/
constexpr double learnedMeanHalfLifeMs = 2000;

constexpr std::size_t maxWaiting = 256;

/** Upper bound on the share of starts that future, more urgent requests are assumed to take. */
constexpr double maxShareTaken = 0.9;

} // namespace

double AdmissionQueue::learnedRunMsOf (const AdmissionRequest& request) const
{
    const auto known = runsByRoute.find (request.route);
    return known == runsByRoute.end() ? request.usualRunMs : known->second.meanMs;
}

double AdmissionQueue::decayedMeanMs (Timestamp now, const RunTimes& known, double usualRunMs)
{
    if (usualRunMs <= 0)
        return known.meanMs;

    const auto ageMs = std::max (0.0, toMilliseconds (now - known.learnedAt));
    return usualRunMs + (known.meanMs - usualRunMs) * std::exp2 (-ageMs / learnedMeanHalfLifeMs);
}

double AdmissionQueue::decayedRunMsOf (Timestamp now, const AdmissionRequest& request) const
{
    const auto known = runsByRoute.find (request.route);
    return known == runsByRoute.end() ? request.usualRunMs
                                      : decayedMeanMs (now, known->second, request.usualRunMs);
}

double AdmissionQueue::optimisticRunMs (const AdmissionRequest& request) const
{
    return optimisticRunShare * learnedRunMsOf (request);
}

double AdmissionQueue::conservativeRunMs (const AdmissionRequest& request) const
{
    const auto known = runsByRoute.find (request.route);

    if (known == runsByRoute.end())
        return (1 + defaultSpreadShare) * request.usualRunMs;

    return known->second.meanMs + conservativeRunDeviations * known->second.deviationMs;
}

bool AdmissionQueue::canStartNow (Timestamp now) const
{
    return hasFreeSlot() && waitingByRank.empty() && earliestStart (now, 0) <= now;
}

Timestamp AdmissionQueue::earliestStart (Timestamp now, std::size_t before) const
{
    return std::max (starts.earliestStart (now, before), rate.earliestStart (now, before));
}

void AdmissionQueue::recordStart (Timestamp now)
{
    starts.recordStart (now);
    rate.recordStart (now);
}

double AdmissionQueue::expectedWaitBehindMs (Timestamp now, std::size_t before, int priority) const
{
    const auto slots = static_cast<double> (std::max (limit, 1));
    const auto startDelayMs = toMilliseconds (earliestStart (now, before) - now);

    if (before == 0 && hasFreeSlot())
        return startDelayMs;

    const auto requestsToStart = static_cast<double> (before) + 1;
    const auto waitMs = std::max (startDelayMs, requestsToStart / slots * meanRunMs);
    // Future arrivals of more urgent requests count as well. Otherwise less urgent requests wait
    // for slots that they don't get, and are refused late.
    const auto shareTaken = std::min (
        maxShareTaken, arrivals.higherPriorityRatePerMs (now, priority) * waitMs / requestsToStart);
    return waitMs / (1 - shareTaken);
}

std::size_t AdmissionQueue::countBefore (const Rank& rank) const
{
    return static_cast<std::size_t> (
        std::distance (waitingByRank.begin(), waitingByRank.lower_bound (rank)));
}

double AdmissionQueue::expectedWaitMs (Timestamp now, int priority) const
{
    return expectedWaitBehindMs (
        now, countBefore ({ priority, Timeliness::late, Timestamp::max(), 0 }), priority);
}

bool AdmissionQueue::lateRequestMayWait (Timestamp now, Timestamp latestStart) const
{
    const auto elapsedMs = toMilliseconds (now - lateIntervalBegin);

    // Now and then one late request may wait, so that the queue notices when slots become available
    // again.
    if (lateWaiting == 0 && elapsedMs >= lateStartIntervalMs)
        return true;

    const auto intervalMs =
        lateWaiting == 0 ? lateStartIntervalMs : std::max (lateStartIntervalMs, elapsedMs);
    return now + fromMilliseconds (intervalMs * static_cast<double> (lateWaiting + 1)) <=
           latestStart;
}

bool AdmissionQueue::assignRank (Timestamp now, const AdmissionRequest& request,
                                 WaitingRequest& entry) const
{
    entry.request = request;
    const auto fits = [&] (Timeliness timeliness, Timestamp due, double runMs)
    {
        entry.rank = { request.priority, timeliness, due, request.id };
        entry.latestStart = due - fromMilliseconds (runMs);
        return now + fromMilliseconds (expectedWaitBehindMs (now, countBefore (entry.rank),
                                                             entry.rank.priority)) <=
               entry.latestStart;
    };

    // The target always counts from the first attempt. Requests that would meet it only if counted
    // from a later attempt have no class of their own, because they would take slots and places in
    // the queue that are of more use to others.
    if (fits (Timeliness::inTime, request.target, conservativeRunMs (request)))
        return true;

    return fits (Timeliness::late, request.deadline, optimisticRunMs (request)) &&
           lateRequestMayWait (now, entry.latestStart);
}

Timeliness AdmissionQueue::timelinessAt (Timestamp begin, const AdmissionRequest& request) const
{
    const auto end = begin + fromMilliseconds (conservativeRunMs (request));
    return end <= request.target ? Timeliness::inTime : Timeliness::late;
}

AdmissionForecast AdmissionQueue::forecast (Timestamp now, const AdmissionRequest& request) const
{
    const auto run = decayedRunMsOf (now, request);

    if (canStartNow (now))
        return { AdmissionDecision::run, run };

    WaitingRequest entry;

    if (waitingByRank.size() >= maxWaiting || ! assignRank (now, request, entry))
        return { AdmissionDecision::refuse, 0 };

    return { AdmissionDecision::wait,
             expectedWaitBehindMs (now, countBefore (entry.rank), entry.rank.priority) + run };
}

AdmissionDecision AdmissionQueue::offer (Timestamp now, const AdmissionRequest& request)
{
    arrivals.observe (now, request.priority);

    if (canStartNow (now))
    {
        runningById.emplace (request.id, Running{ request.route, request.usualRunMs, now });
        recordStart (now);
        ++startCounts[static_cast<std::size_t> (timelinessAt (now, request))];
        return AdmissionDecision::run;
    }

    WaitingRequest entry;

    if (waitingByRank.size() >= maxWaiting || ! assignRank (now, request, entry))
        return AdmissionDecision::refuse;

    enqueue (now, entry);
    return AdmissionDecision::wait;
}

void AdmissionQueue::enqueue (Timestamp now, const WaitingRequest& entry)
{
    const auto id = entry.request.id;
    waitingById.insert_or_assign (id, entry);
    waitingByRank.insert (entry.rank);
    byLatestStart.emplace (entry.latestStart, id);

    if (entry.rank.timeliness == Timeliness::late && lateWaiting++ == 0)
        lateIntervalBegin = now;
}

void AdmissionQueue::removeWaiting (const WaitingRequest& entry)
{
    const auto id = entry.request.id;

    if (entry.rank.timeliness == Timeliness::late)
        --lateWaiting;

    waitingByRank.erase (entry.rank);
    byLatestStart.erase ({ entry.latestStart, id });
    waitingById.erase (id);
}

void AdmissionQueue::reclassifyOverdue (Timestamp now)
{
    while (! byLatestStart.empty() && byLatestStart.begin()->first < now)
    {
        const auto entry = waitingById.at (byLatestStart.begin()->second);
        removeWaiting (entry);
        WaitingRequest reclassified;

        // Its latest start has passed, so it can't get its previous rank again.
        if (assignRank (now, entry.request, reclassified))
            enqueue (now, reclassified);
        else
            expired.push_back (entry.request.id);

        // It would have taken any available slot, so there has been none since the last late start.
        if (entry.rank.timeliness == Timeliness::late)
            lateStartIntervalMs =
                std::max (lateStartIntervalMs, toMilliseconds (now - lateIntervalBegin));
    }
}

std::vector<std::uint64_t> AdmissionQueue::expire (Timestamp now)
{
    reclassifyOverdue (now);
    return std::exchange (expired, {});
}

void AdmissionQueue::reassess (Timestamp now)
{
    std::vector<WaitingRequest> all;

    for (const auto& rank : waitingByRank)
        all.push_back (waitingById.at (rank.id));

    for (const auto& entry : all)
        removeWaiting (entry);

    for (const auto& entry : all)
    {
        WaitingRequest reassessed;

        if (assignRank (now, entry.request, reassessed))
            enqueue (now, reassessed);
        else
            expired.push_back (entry.request.id);
    }
}

std::vector<std::uint64_t> AdmissionQueue::clear()
{
    auto all = std::exchange (expired, {});

    for (const auto& rank : waitingByRank)
        all.push_back (rank.id);

    waitingByRank.clear();
    byLatestStart.clear();
    waitingById.clear();
    lateWaiting = 0;
    return all;
}

void AdmissionQueue::updateLateStartInterval (Timestamp now)
{
    lateStartIntervalMs +=
        lateIntervalLearningRate * (toMilliseconds (now - lateIntervalBegin) - lateStartIntervalMs);
    lateIntervalBegin = now;
}

void AdmissionQueue::countStart (Timestamp now, const Rank& rank)
{
    ++startCounts[static_cast<std::size_t> (rank.timeliness)];

    if (rank.timeliness == Timeliness::late)
        updateLateStartInterval (now);
}

std::uint64_t AdmissionQueue::next (Timestamp now)
{
    if (! hasFreeSlot() || earliestStart (now, 0) > now)
        return 0;

    reclassifyOverdue (now);

    if (waitingByRank.empty())
        return 0;

    const auto entry = waitingById.at (waitingByRank.begin()->id);
    const auto id = entry.request.id;
    runningById.emplace (id, Running{ entry.request.route, entry.request.usualRunMs, now });
    recordStart (now);
    countStart (now, entry.rank);
    removeWaiting (entry);
    return id;
}

void AdmissionQueue::cancelStart (std::uint64_t id)
{
    runningById.erase (id);
    rate.cancelStart();
}

bool AdmissionQueue::cancel (std::uint64_t id)
{
    if (const auto found = waitingById.find (id); found != waitingById.end())
    {
        const auto entry = found->second;
        removeWaiting (entry);
        return true;
    }

    std::erase (expired, id);
    runningById.erase (id);
    return false;
}

void AdmissionQueue::finished (std::uint64_t id, double runMs)
{
    const auto found = runningById.find (id);

    if (found == runningById.end())
        return;

    if (runMs > 0)
    {
        const auto& run = found->second;
        const RunTimes first{ runMs, firstDeviationShare * runMs, run.startedAt };
        auto& learned = runsByRoute.try_emplace (run.route, first).first->second;
        learned.meanMs = decayedMeanMs (run.startedAt, learned, run.usualRunMs);
        learned.learnedAt = std::max (learned.learnedAt, run.startedAt);
        const auto error = runMs - learned.meanMs;
        learned.meanMs += runTimeLearningRate * error;
        learned.deviationMs += runTimeLearningRate * (std::abs (error) - learned.deviationMs);
        meanRunMs = meanRunMs <= 0 ? runMs : meanRunMs + runTimeLearningRate * (runMs - meanRunMs);
    }

    runningById.erase (found);
}

Timestamp AdmissionQueue::nextRateLimitedStart (Timestamp now) const
{
    return hasFreeSlot() && ! waitingByRank.empty() ? earliestStart (now, 0) : Timestamp::max();
}

Timestamp AdmissionQueue::nextExpiry() const
{
    if (! expired.empty())
        return Timestamp{};

    return byLatestStart.empty() ? Timestamp::max() : byLatestStart.begin()->first;
}

} // namespace copperlead::mesh
