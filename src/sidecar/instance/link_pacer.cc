#include "sidecar/instance/link_pacer.h"

#include <utility>

namespace copperlead::sidecar
{
namespace
{

Timestamp now() { return SteadyClock().Now(); }

} // namespace

LinkPacer::LinkPacer (std::shared_ptr<Reactor> reactorToUse, double linkMbps)
    : reactor (std::move (reactorToUse))
    , schedule (linkMbps * mesh::bytesPerMsOfMbps)
    , timer (reactor)
{
}

LinkPacer::Id LinkPacer::begin (std::size_t bytes, bool inParts, std::function<void()> onTurn)
{
    const auto id = schedule.add (now(), bytes, inParts);
    turns.emplace (id, std::move (onTurn));
    ++counts.transfers;
    arm();
    return id;
}

void LinkPacer::end (Id id)
{
    schedule.remove (id);
    turns.erase (id);
    arm();
}

void LinkPacer::setStalled (Id id, bool stalled)
{
    counts.stalls += stalled ? 1 : 0;
    setWaiting (id, stalled);
}

void LinkPacer::setWaiting (Id id, bool waiting)
{
    schedule.setStalled (id, waiting);
    arm();
}

std::size_t LinkPacer::allowance (Id id) const { return schedule.allowance (now(), id); }

void LinkPacer::wrote (Id id, std::size_t bytes)
{
    if (id == 0)
        return schedule.wrote (now(), bytes);

    counts.bytes += bytes;
    schedule.wrote (now(), id, bytes);
    arm();
}

double LinkPacer::expectedMs (double bytes) const { return schedule.expectedMs (now(), bytes); }

void LinkPacer::arm()
{
    const auto due = schedule.nextDue();

    if (due == Timestamp::max())
        return;

    timer.arm (due,
               [weak = weak_from_this()]
               {
                   if (const auto self = weak.lock())
                       self->runNextTurn();
               });
}

void LinkPacer::runNextTurn()
{
    const auto id = schedule.next (now());

    if (! id)
        return arm();

    reactor->callbacks()->Add (
        [weak = weak_from_this(), id = *id]
        {
            const auto self = weak.lock();

            if (self == nullptr)
                return;

            // The transfer may have ended since, and may end during its turn.
            if (const auto found = self->turns.find (id); found != self->turns.end())
                std::function<void()> (found->second)();

            self->arm();
        });
}

} // namespace copperlead::sidecar
