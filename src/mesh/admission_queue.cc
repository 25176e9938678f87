#include "mesh/admission_queue.h"

#include <algorithm>

namespace copperlead::mesh
{
namespace
{

constexpr double learningRate = 0.1;
constexpr double shortestRunShare = 0.7; // Of the usual time: a run may well be that short.
constexpr std::size_t mostWaiting = 256;

Duration milliseconds (double count)
{
    return std::chrono::duration_cast<Duration> (std::chrono::duration<double, std::milli> (count));
}

} // namespace

double AdmissionQueue::runMsOf (const AdmissionRequest& request) const
{
    const auto known = runMsByRoute.find (request.route);
    return known == runMsByRoute.end() ? request.usualRunMs : known->second;
}

double AdmissionQueue::expectedWaitMs (int priority) const
{
    const auto slots = static_cast<double> (std::max (limit, 1));
    const auto free = slots - static_cast<double> (running());
    const auto before = std::count_if (
        order.begin(), order.end(), [&] (const Rank& rank) { return rank.priority <= priority; });

    if (free > 0 && before == 0)
        return 0;

    return (static_cast<double> (before) + 1) / slots * meanRunMs;
}

AdmissionDecision AdmissionQueue::offer (Timestamp now, const AdmissionRequest& request)
{
    if (static_cast<int> (running()) < limit && order.empty())
    {
        runningById.emplace (request.id, request.route);
        return AdmissionDecision::run;
    }

    const auto latestStart = request.deadline - milliseconds (shortestRunShare * runMsOf (request));

    if (order.size() >= mostWaiting ||
        now + milliseconds (expectedWaitMs (request.priority)) > latestStart)
        return AdmissionDecision::refuse;

    waitingById.emplace (request.id, Held{request, latestStart});
    order.insert ({request.priority, request.deadline, request.id});
    byLatestStart.emplace (latestStart, request.id);
    return AdmissionDecision::wait;
}

void AdmissionQueue::forget (const Held& held)
{
    const auto id = held.request.id;
    order.erase ({held.request.priority, held.request.deadline, id});
    byLatestStart.erase ({held.latestStart, id});
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

std::uint64_t AdmissionQueue::next()
{
    if (order.empty() || static_cast<int> (running()) >= limit)
        return 0;

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
