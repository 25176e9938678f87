#include "mesh/admission_queue.h"

#include <algorithm>

#include "mesh/milliseconds.h"

namespace copperlead::mesh
{
namespace
{

constexpr double learningRate = 0.1;
constexpr double shortestRunShare = 0.7; // Of the usual time: a run may well be that short.
constexpr std::size_t mostWaiting = 256;

} // namespace

double AdmissionQueue::runMsOf (const AdmissionRequest& request) const
{
    const auto known = runMsByRoute.find (request.route);
    return known == runMsByRoute.end() ? request.usualRunMs : known->second;
}

double AdmissionQueue::waitBehindMs (std::size_t before) const
{
    const auto slots = static_cast<double> (std::max (limit, 1));

    if (before == 0 && static_cast<double> (running()) < slots)
        return 0;

    return (static_cast<double> (before) + 1) / slots * meanRunMs;
}

std::size_t AdmissionQueue::countBefore (const Rank& rank) const
{
    return static_cast<std::size_t> (std::distance (order.begin(), order.lower_bound (rank)));
}

double AdmissionQueue::expectedWaitMs (int priority) const
{
    return waitBehindMs (countBefore ({ priority, true, Timestamp::max(), 0 }));
}

Timestamp AdmissionQueue::latestStart (const AdmissionRequest& request, Timestamp due) const
{
    return due - fromMilliseconds (shortestRunShare * runMsOf (request));
}

AdmissionDecision AdmissionQueue::offer (Timestamp now, const AdmissionRequest& request)
{
    if (static_cast<int> (running()) < limit && order.empty())
    {
        runningById.emplace (request.id, request.route);
        return AdmissionDecision::run;
    }

    Rank rank{ request.priority, false, request.target, request.id };

    if (now + fromMilliseconds (waitBehindMs (countBefore (rank))) >
        latestStart (request, request.target))
        rank = { request.priority, true, request.deadline, request.id };

    const auto startBy = latestStart (request, request.deadline);

    if (order.size() >= mostWaiting ||
        now + fromMilliseconds (waitBehindMs (countBefore (rank))) > startBy)
        return AdmissionDecision::refuse;

    waitingById.emplace (request.id, Held{ request, startBy, rank });
    order.insert (rank);
    byLatestStart.emplace (startBy, request.id);
    return AdmissionDecision::wait;
}

void AdmissionQueue::forget (const Held& held)
{
    const auto id = held.request.id;
    order.erase (held.rank);
    byLatestStart.erase ({ held.latestStart, id });
    waitingById.erase (id);
}

std::vector<std::uint64_t> AdmissionQueue::expire (Timestamp now)
{
    std::vector<std::uint64_t> expired;

    while (! byLatestStart.empty() && byLatestStart.begin()->first < now)
    {
        expired.push_back (byLatestStart.begin()->second);
        forget (waitingById.at (expired.back()));
    }

    return expired;
}

std::vector<std::uint64_t> AdmissionQueue::clear()
{
    std::vector<std::uint64_t> all;

    for (const auto& rank : order)
        all.push_back (rank.id);

    order.clear();
    byLatestStart.clear();
    waitingById.clear();
    return all;
}

void AdmissionQueue::demoteLate (Timestamp now)
{
    // Only the front of each priority can be taken next, so only it needs to be up to date.
    for (auto it = order.begin(); it != order.end();)
    {
        if (it->late)
        {
            it = order.upper_bound ({ it->priority, true, Timestamp::max(), UINT64_MAX });
            continue;
        }

        auto& held = waitingById.at (it->id);

        if (now <= latestStart (held.request, held.request.target))
            return;

        order.erase (it);
        held.rank = { held.request.priority, true, held.request.deadline, held.request.id };
        order.insert (held.rank);
        it = order.begin();
    }
}

std::uint64_t AdmissionQueue::next (Timestamp now)
{
    if (order.empty() || static_cast<int> (running()) >= limit)
        return 0;

    demoteLate (now);
    const auto id = order.begin()->id;
    const auto& held = waitingById.at (id);
    runningById.emplace (id, held.request.route);
    forget (held);
    return id;
}

bool AdmissionQueue::cancel (std::uint64_t id)
{
    if (const auto found = waitingById.find (id); found != waitingById.end())
    {
        forget (found->second);
        return true;
    }

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
        auto& usual = runMsByRoute.try_emplace (found->second, runMs).first->second;
        usual += learningRate * (runMs - usual);
        meanRunMs = meanRunMs <= 0 ? runMs : meanRunMs + learningRate * (runMs - meanRunMs);
    }

    runningById.erase (found);
}

Timestamp AdmissionQueue::nextExpiry() const
{
    return byLatestStart.empty() ? Timestamp::max() : byLatestStart.begin()->first;
}

} // namespace copperlead::mesh
