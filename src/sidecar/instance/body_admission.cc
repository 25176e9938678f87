#include "sidecar/instance/body_admission.h"

#include <algorithm>
#include <cmath>

#include "mesh/link_schedule.h"
#include "mesh/milliseconds.h"

namespace copperlead::sidecar
{
namespace
{

// Transfer time of the bodies that are on the link together. It bounds the delay of small messages.
constexpr double maxQueueMs = 80;
constexpr int maxTransfers = 64;
constexpr double averagingWeight = 0.1;
// Without this timeout, a sender that stops sending would hold its slot until the deadline of its
// request, and a slow link has only one or two slots.
constexpr double overdueAfterTransfers = 4;
constexpr double minOverdueTimeoutMs = 250;

Timestamp now() { return SteadyClock().Now(); }

} // namespace

BodyAdmission::BodyAdmission (std::shared_ptr<Reactor> reactorToUse, double linkMbps)
    : reactor (std::move (reactorToUse))
    , expiry (reactor)
    , bytesPerMs (linkMbps * mesh::bytesPerMsOfMbps)
    , averageBytes (static_cast<double> (mesh::largeBodyBytes))
{
    updateAverageSize (mesh::largeBodyBytes);
}

double BodyAdmission::transferMs (double bytes) const { return bytes / bytesPerMs; }

void BodyAdmission::updateAverageSize (std::size_t bytes)
{
    averageBytes += averagingWeight * (static_cast<double> (bytes) - averageBytes);
    updateLimit();
}

void BodyAdmission::updateLimit()
{
    const auto bodiesWithinQueue = std::lround (maxQueueMs / transferMs (averageBytes));
    queue.setLimit (std::clamp (static_cast<int> (bodiesWithinQueue), 1, maxTransfers) +
                    overdueBodies);
}

BodyAdmission::Id BodyAdmission::requestAdmission (const mesh::HopRequest& facts, std::size_t bytes,
                                                   Decision decision)
{
    const auto at = now();
    const auto id = ++lastId;
    const auto run = mesh::fromMilliseconds (facts.usualRunMs);
    DeferredCallback<bool> deferred (
        reactor->callbacks(),
        [weak = weak_from_this(), id, decision = std::move (decision)] (bool granted)
        {
            if (const auto self = weak.lock())
                self->report (id, decision, granted);
        });
    pending.emplace (id, PendingBody{ std::move (deferred),
                                      at + facts.timeLeft,
                                      {},
                                      transferMs (static_cast<double> (bytes)) });
    updateAverageSize (bytes);

    // The body must have arrived by these times for its run to end in time.
    mesh::AdmissionRequest request;
    request.id = id;
    request.route = facts.route;
    request.priority = facts.priority;
    request.target = at + facts.targetLeft - run;
    request.deadline = at + facts.timeLeft - run;
    request.usualRunMs = transferMs (static_cast<double> (bytes));
    const auto decided = queue.offer (at, request);

    if (decided == mesh::AdmissionDecision::run)
        grant (id);
    else if (decided == mesh::AdmissionDecision::refuse)
        refuse (id);
    else
        armExpiry();

    return id;
}

void BodyAdmission::grant (Id id)
{
    auto& body = pending.at (id);
    body.grantedAt = now();
    ++counts.granted;
    reactor->RunAt (body.deadline,
                    [weak = weak_from_this(), id]
                    {
                        if (const auto self = weak.lock())
                            self->cancel (id);
                    });
    reactor->RunAt (body.grantedAt + overdueTimeout (body),
                    [weak = weak_from_this(), id]
                    {
                        if (const auto self = weak.lock())
                            self->markOverdue (id);
                    });
    body.decision (true);
}

Duration BodyAdmission::overdueTimeout (const PendingBody& body) const
{
    const auto expectedTransferMs = std::max (body.expectedTransferMs, queue.usualRunMs());
    return mesh::fromMilliseconds (overdueAfterTransfers * expectedTransferMs +
                                   minOverdueTimeoutMs);
}

void BodyAdmission::markOverdue (Id id)
{
    const auto found = pending.find (id);

    if (found == pending.end())
        return;

    // The body may still arrive and is accepted then; its transfer time counts for the average.
    found->second.isOverdue = true;
    ++counts.overdue;
    ++overdueBodies;
    updateLimit();
    pump();
}

void BodyAdmission::refuse (Id id)
{
    const auto found = pending.find (id);

    if (found == pending.end())
        return;

    ++counts.refused;
    found->second.isRefused = true;
    found->second.decision (false);
}

void BodyAdmission::report (Id id, const Decision& decision, bool granted)
{
    if (! granted)
        pending.erase (id);

    decision (granted);
}

void BodyAdmission::arrived (Id id, std::size_t bytes)
{
    const auto found = pending.find (id);

    if (found == pending.end())
        return;

    const auto took = mesh::toMilliseconds (now() - found->second.grantedAt);
    remove (id);
    ++counts.arrived;
    counts.bytes += bytes;
    counts.transfer.observe (took);
    queue.finished (id, took);
    pump();
}

void BodyAdmission::cancel (Id id)
{
    const auto found = pending.find (id);

    if (found == pending.end())
        return;

    found->second.decision.Cancel();
    remove (id);
    queue.cancel (id);
    pump();
}

void BodyAdmission::remove (Id id)
{
    const auto known = pending.extract (id);

    if (! known.mapped().isOverdue)
        return;

    --overdueBodies;
    updateLimit();
}

void BodyAdmission::pump()
{
    for (const auto id : queue.expire (now()))
        refuse (id);

    while (const auto id = queue.next (now()))
        grant (id);

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
    return (before + 1) * transferMs (averageBytes);
}

} // namespace copperlead::sidecar
