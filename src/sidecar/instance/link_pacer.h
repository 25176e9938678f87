/** Gives the large answers of a server's connections their turns on this node's link. Runs a
    LinkSchedule. Of the reactor's thread.
*/
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include "mesh/link_schedule.h"
#include "sidecar/earliest_timer.h"

namespace copperlead::sidecar
{

/** Counted since the start. */
struct LinkCounters
{
    std::uint64_t transfers = 0, bytes = 0; /**< Of large answers. */
    std::uint64_t stalls = 0;               /**< Receivers that took nothing for a while. */
};

class LinkPacer : public std::enable_shared_from_this<LinkPacer>
{
public:
    using Id = mesh::LinkSchedule::Id;

    /** @param linkMbps  of this machine, as its settings say */
    LinkPacer (std::shared_ptr<Reactor> reactor, double linkMbps);

    /** @param onTurn  called when a piece may be written */
    Id begin (std::size_t bytes, std::function<void()> onTurn);
    void end (Id id);
    void setStalled (Id id, bool stalled);

    /** How many bytes may be written now; 0: the turn comes later. */
    std::size_t allowance (Id id) const;

    /** Something was written to the link. @param id  the transfer's; 0: a small answer */
    void wrote (Id id, std::size_t bytes);

    /** Until a further large answer would be through, in milliseconds. */
    double expectedMs (double bytes) const;

    std::size_t waiting() const { return schedule.waiting(); }
    const LinkCounters& counters() const { return counts; }

private:
    void arm();
    void giveTurns();

    mesh::LinkSchedule schedule;
    EarliestTimer timer;
    std::unordered_map<Id, std::function<void()>> turns;
    LinkCounters counts;
};

} // namespace copperlead::sidecar
