#include "mesh/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "mesh/milliseconds.h"

namespace copperlead::mesh
{
namespace
{

constexpr double learningRate = 0.1;
constexpr double lateLearningRate = 0.3;
constexpr double shortRunShare = 0.7;       // Of the usual time: a run may well be that short.
constexpr double unknownSpread = 0.3;       // Of the usual time, before the first run has ended.
constexpr double longRunDeviations = 0.6;   // Above the usual time: most runs are shorter.
constexpr double firstDeviationShare = 0.5; // Of the first run, before there is a second.
// In which half of what sets a learned time apart from the sender's is forgotten while no run
// confirms it. An instance whose first run was slow is chosen by nobody while others are free, and
// without forgetting had nothing to learn better from.
constexpr double forgettingHalfLifeMs = 2000;
constexpr std::size_t mostWaiting = 256;
constexpr double mostTaken = 0.9; // Of the starts, by more urgent requests that are still to come.

} // namespace

double AdmissionQueue::usualRunOf (const AdmissionRequest& request) const
{
    const auto known = runsByRoute.find (request.route);
    return known == runsByRoute.end() ? request.usualRunMs : known->second.meanMs;
}

double AdmissionQueue::fadedMeanMs (Timestamp now, const RunTimes& known, double usualRunMs)
{
    if (usualRunMs <= 0)
        return known.meanMs;

    const auto ageMs = std::max (0.0, toMilliseconds (now - known.learnedAt));
    return usualRunMs + (known.meanMs - usualRunMs) * std::exp2 (-ageMs / forgettingHalfLifeMs);
}

double AdmissionQueue::presentRunOf (Timestamp now, const AdmissionRequest& request) const
{
    const auto known = runsByRoute.find (request.route);
    return known == runsByRoute.end() ? request.usualRunMs
                                      : fadedMeanMs (now, known->second, request.usualRunMs);
}

double AdmissionQueue::shortRunMs (const AdmissionRequest& request) const
{
    return shortRunShare * usualRunOf (request);
}

double AdmissionQueue::longRunMs (const AdmissionRequest& request) const
{
    const auto known = runsByRoute.find (request.route);

    if (known == runsByRoute.end())
        return (1 + unknownSpread) * request.usualRunMs;

    return known->second.meanMs + longRunDeviations * known->second.deviationMs;
}

bool AdmissionQueue::mayRunAtOnce (Timestamp now) const
{
    return hasFreeSlot() && order.empty() && starts.earliest (now, 0) <= now;
}

double AdmissionQueue::waitBehindMs (Timestamp now, std::size_t before, int priority) const
{
    const auto slots = static_cast<double> (std::max (limit, 1));
    const auto bound = toMilliseconds (starts.earliest (now, before) - now);

    if (before == 0 && hasFreeSlot())
        return bound;

    const auto places = static_cast<double> (before) + 1;
    const auto wait = std::max (bound, places / slots * meanRunMs);
    // Without them the less urgent wait for what they don't get, and are refused late (0.118 to
    // 0.114 and 0.115 to 0.106 of the worth in prices, on two days of overload).
    const auto taken = std::min (mostTaken, arrivals.perMs (now, priority) * wait / places);
    return wait / (1 - taken);
}

std::size_t AdmissionQueue::countBefore (const Rank& rank) const
{
    return static_cast<std::size_t> (std::distance (order.begin(), order.lower_bound (rank)));
}

double AdmissionQueue::expectedWaitMs (Timestamp now, int priority) const
{
    return waitBehindMs (now, countBefore ({ priority, Timeliness::late, Timestamp::max(), 0 }),
                         priority);
}

bool AdmissionQueue::lateMayWait (Timestamp now, Timestamp latestStart) const
{
    const auto since = toMilliseconds (now - lateSlotAt);

    // One may now and then, so that it is learned when slots are to be had again.
    if (lateWaiting == 0 && since >= lateGapMs)
        return true;

    const auto gap = lateWaiting == 0 ? lateGapMs : std::max (lateGapMs, since);
    return now + fromMilliseconds (gap * static_cast<double> (lateWaiting + 1)) <= latestStart;
}

bool AdmissionQueue::place (Timestamp now, const AdmissionRequest& request, Held& held) const
{
    held.request = request;
    const auto fits = [&] (Timeliness timeliness, Timestamp due, double runMs)
    {
        held.rank = { request.priority, timeliness, due, request.id };
        held.latestStart = due - fromMilliseconds (runMs);
        return now + fromMilliseconds (
                         waitBehindMs (now, countBefore (held.rank), held.rank.priority)) <=
               held.latestStart;
    };

    // No class for those that meet their target only from a later attempt on: they held slots and
    // places that bring more to others (0.634 to 0.646 of the worth, mean of five days of trouble,
    // and half of what was held in vain on two days of overload).
    if (fits (Timeliness::inTime, request.target, longRunMs (request)))
        return true;

    return fits (Timeliness::late, request.deadline, shortRunMs (request)) &&
           lateMayWait (now, held.latestStart);
}

Timeliness AdmissionQueue::timelinessAt (Timestamp begin, const AdmissionRequest& request) const
{
    const auto end = begin + fromMilliseconds (longRunMs (request));
    return end <= request.target ? Timeliness::inTime : Timeliness::late;
}

AdmissionForecast AdmissionQueue::forecast (Timestamp now, const AdmissionRequest& request) const
{
    const auto run = presentRunOf (now, request);

    if (mayRunAtOnce (now))
        return { AdmissionDecision::run, run };

    Held held;

    if (order.size() >= mostWaiting || ! place (now, request, held))
        return { AdmissionDecision::refuse, 0 };

    return { AdmissionDecision::wait,
             waitBehindMs (now, countBefore (held.rank), held.rank.priority) + run };
}

AdmissionDecision AdmissionQueue::offer (Timestamp now, const AdmissionRequest& request)
{
    arrivals.observe (now, request.priority);

    if (mayRunAtOnce (now))
    {
        runningById.emplace (request.id, Running{ request.route, request.usualRunMs, now });
        starts.started (now);
        ++begins[static_cast<std::size_t> (timelinessAt (now, request))];
        return AdmissionDecision::run;
    }

    Held held;

    if (order.size() >= mostWaiting || ! place (now, request, held))
        return AdmissionDecision::refuse;

    hold (now, held);
    return AdmissionDecision::wait;
}

void AdmissionQueue::hold (Timestamp now, const Held& held)
{
    const auto id = held.request.id;
    waitingById.insert_or_assign (id, held);
    order.insert (held.rank);
    byLatestStart.emplace (held.latestStart, id);

    if (held.rank.timeliness == Timeliness::late && lateWaiting++ == 0)
        lateSlotAt = now;
}

void AdmissionQueue::forget (const Held& held)
{
    const auto id = held.request.id;

    if (held.rank.timeliness == Timeliness::late)
        --lateWaiting;

    order.erase (held.rank);
    byLatestStart.erase ({ held.latestStart, id });
    waitingById.erase (id);
}

void AdmissionQueue::review (Timestamp now)
{
    while (! byLatestStart.empty() && byLatestStart.begin()->first < now)
    {
        const auto held = waitingById.at (byLatestStart.begin()->second);
        forget (held);
        Held placed;

        // Later than now by its latest start, so it can't take the rank again that it had.
        if (place (now, held.request, placed))
            hold (now, placed);
        else
            expired.push_back (held.request.id);

        // It would have taken a slot that was to be had: there was none since the last.
        if (held.rank.timeliness == Timeliness::late)
            lateGapMs = std::max (lateGapMs, toMilliseconds (now - lateSlotAt));
    }
}

std::vector<std::uint64_t> AdmissionQueue::expire (Timestamp now)
{
    review (now);
    return std::exchange (expired, {});
}

std::vector<std::uint64_t> AdmissionQueue::clear()
{
    auto all = std::exchange (expired, {});

    for (const auto& rank : order)
        all.push_back (rank.id);

    order.clear();
    byLatestStart.clear();
    waitingById.clear();
    lateWaiting = 0;
    return all;
}

void AdmissionQueue::learnLateGap (Timestamp now)
{
    lateGapMs += lateLearningRate * (toMilliseconds (now - lateSlotAt) - lateGapMs);
    lateSlotAt = now;
}

void AdmissionQueue::countBegin (Timestamp now, const Rank& rank)
{
    ++begins[static_cast<std::size_t> (rank.timeliness)];

    if (rank.timeliness == Timeliness::late)
        learnLateGap (now);
}

std::uint64_t AdmissionQueue::next (Timestamp now)
{
    if (! hasFreeSlot() || starts.earliest (now, 0) > now)
        return 0;

    review (now);

    if (order.empty())
        return 0;

    const auto held = waitingById.at (order.begin()->id);
    const auto id = held.request.id;
    runningById.emplace (id, Running{ held.request.route, held.request.usualRunMs, now });
    starts.started (now);
    countBegin (now, held.rank);
    forget (held);
    return id;
}

bool AdmissionQueue::cancel (std::uint64_t id)
{
    if (const auto found = waitingById.find (id); found != waitingById.end())
    {
        const auto held = found->second;
        forget (held);
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
        const RunTimes first{ runMs, firstDeviationShare * runMs, run.begunAt };
        auto& usual = runsByRoute.try_emplace (run.route, first).first->second;
        usual.meanMs = fadedMeanMs (run.begunAt, usual, run.usualRunMs);
        usual.learnedAt = std::max (usual.learnedAt, run.begunAt);
        const auto error = runMs - usual.meanMs;
        usual.meanMs += learningRate * error;
        usual.deviationMs += learningRate * (std::abs (error) - usual.deviationMs);
        meanRunMs = meanRunMs <= 0 ? runMs : meanRunMs + learningRate * (runMs - meanRunMs);
    }

    runningById.erase (found);
}

Timestamp AdmissionQueue::nextBoundedStart (Timestamp now) const
{
    return hasFreeSlot() && ! order.empty() ? starts.earliest (now, 0) : Timestamp::max();
}

Timestamp AdmissionQueue::nextExpiry() const
{
    if (! expired.empty())
        return Timestamp{};

    return byLatestStart.empty() ? Timestamp::max() : byLatestStart.begin()->first;
}

} // namespace copperlead::mesh
