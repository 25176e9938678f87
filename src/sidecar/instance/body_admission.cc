#include "sidecar/instance/body_admission.h"

#include <algorithm>
#include <cmath>

#include "mesh/link_schedule.h"
#include "mesh/milliseconds.h"

namespace copperlead::sidecar
{
namespace
{

constexpr double mostQueueMs = 80; // Of bodies on the link, in front of small messages.
constexpr int mostInTransfer = 64;
constexpr double learningRate = 0.1;
// A sender that falls silent would keep its place until its request's deadline, and there are one
// or two places on a slow link.
constexpr double overdueAfterTransfers = 4;
constexpr double leastPatienceMs = 250;

Timestamp now() { return SteadyClock().Now(); }

} // namespace

BodyAdmission::BodyAdmission (std::shared_ptr<Reactor> reactorToUse, double linkMbps)
    : reactor (std::move (reactorToUse))
    , expiry (reactor)
    , bytesPerMs (linkMbps * mesh::bytesPerMsOfMbps)
    , usualBytes (static_cast<double> (mesh::largeBodyBytes))
{
    learnSize (mesh::largeBodyBytes);
}

double BodyAdmission::transferMs (double bytes) const { return bytes / bytesPerMs; }

void BodyAdmission::learnSize (std::size_t bytes)
{
    usualBytes += learningRate * (static_cast<double> (bytes) - usualBytes);
    setPlaces();
}

void BodyAdmission::setPlaces()
{
    const auto fitting = std::lround (mostQueueMs / transferMs (usualBytes));
    queue.setLimit (std::clamp (static_cast<int> (fitting), 1, mostInTransfer) + overdueNow);
}

BodyAdmission::Id BodyAdmission::ask (const mesh::HopRequest& facts, std::size_t bytes,
                                      Decision decision)
{
    const auto at = now();
    const auto id = ++lastId;
    const auto run = mesh::fromMilliseconds (facts.usualRunMs);
    asked.emplace (id, Asked{ std::move (decision),
                              at + facts.timeLeft,
                              {},
                              transferMs (static_cast<double> (bytes)) });
    learnSize (bytes);

    // By then it must be here for its run to end in time.
    mesh::AdmissionRequest request;
    request.id = id;
    request.route = facts.route;
    request.priority = facts.priority;
    request.target = at + facts.targetLeft - run;
    request.deadline = at + facts.timeLeft - run;
    request.usualRunMs = transferMs (static_cast<double> (bytes));
    const auto decided = queue.offer (at, request);

    if (decided == mesh::AdmissionDecision::run)
        begin (id);
    else if (decided == mesh::AdmissionDecision::refuse)
        decline (id);
    else
        armExpiry();

    return id;
}

void BodyAdmission::begin (Id id)
{
    auto& begun = asked.at (id);
    begun.calledAt = now();
    ++counts.called;
    reactor->RunAt (begun.deadline,
                    [weak = weak_from_this(), id]
                    {
                        if (const auto self = weak.lock())
                            self->left (id);
                    });
    reactor->RunAt (begun.calledAt + patience (begun),
                    [weak = weak_from_this(), id]
                    {
                        if (const auto self = weak.lock())
                            self->giveUpWaiting (id);
                    });
    std::exchange (begun.decision, nullptr) (true);
}

Duration BodyAdmission::patience (const Asked& begun) const
{
    const auto usualMs = std::max (begun.usualMs, queue.usualRunMs());
    return mesh::fromMilliseconds (overdueAfterTransfers * usualMs + leastPatienceMs);
}

void BodyAdmission::giveUpWaiting (Id id)
{
    const auto found = asked.find (id);

    if (found == asked.end())
        return;

    // It may still come, and is taken then; how late it was is learned.
    found->second.isOverdue = true;
    ++counts.overdue;
    ++overdueNow;
    setPlaces();
    pump();
}

void BodyAdmission::decline (Id id)
{
    const auto found = asked.find (id);

    if (found == asked.end())
        return;

    ++counts.refused;
    const auto decision = std::move (found->second.decision);
    asked.erase (found);
    decision (false);
}

void BodyAdmission::arrived (Id id, std::size_t bytes)
{
    const auto found = asked.find (id);

    if (found == asked.end())
        return;

    const auto took = mesh::toMilliseconds (now() - found->second.calledAt);
    forget (id);
    ++counts.arrived;
    counts.bytes += bytes;
    counts.transfer.observe (took);
    queue.finished (id, took);
    pump();
}

void BodyAdmission::left (Id id)
{
    if (! asked.contains (id))
        return;

    forget (id);
    queue.cancel (id);
    pump();
}

void BodyAdmission::forget (Id id)
{
    const auto known = asked.extract (id);

    if (! known.mapped().isOverdue)
        return;

    --overdueNow;
    setPlaces();
}

void BodyAdmission::pump()
{
    for (const auto id : queue.expire (now()))
        decline (id);

    while (const auto id = queue.next (now()))
        begin (id);

    armExpiry();
}

void BodyAdmission::armExpiry()
{
    expiry.arm (queue.nextExpiry(),
                [weak = weak_from_this()]
                {
                    if (const auto self = weak.lock())
                        self->pump();
                });
}

double BodyAdmission::expectedMs() const
{
    const auto before = static_cast<double> (queue.waiting() + queue.running());
    return (before + 1) * transferMs (usualBytes);
}

} // namespace copperlead::sidecar
