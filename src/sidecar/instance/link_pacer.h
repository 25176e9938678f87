/** Schedules the large answers of a server's connections on this node's link by means of a
    LinkSchedule. Runs on the reactor's thread.
*/
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include "mesh/link_schedule.h"
#include "sidecar/earliest_timer.h"

namespace copperlead::sidecar
{

/** Counters since the process started. */
struct LinkCounters
{
    std::uint64_t transfers = 0, bytes = 0; /**< Large answers, and bytes of them. */
    std::uint64_t stalls = 0;               /**< Times that a receiver stopped reading. */
};

class LinkPacer : public std::enable_shared_from_this<LinkPacer>
{
public:
    using Id = mesh::LinkSchedule::Id;

    /** @param linkMbps  configured bandwidth of this machine's link */
    LinkPacer (std::shared_ptr<Reactor> reactorToUse, double linkMbps);

    /** @param inParts  see mesh::LinkSchedule::add()
        @param onTurn   called when a piece may be written
    */
    Id begin (std::size_t bytes, bool inParts, std::function<void()> onTurn);
    void end (Id id);

    /** @param stalled  whether the receiver accepts nothing at present */
    void setStalled (Id id, bool stalled);

    /** @param waiting  whether there is nothing to write at present */
    void setWaiting (Id id, bool waiting);

    /** Returns how many bytes may be written now; 0 if the transfer has to wait for its turn. */
    std::size_t allowance (Id id) const;

    /** Reports a write to the link. @param id  the transfer's, or 0 for a small answer */
    void wrote (Id id, std::size_t bytes);

    /** Returns the time until one more large answer would have been sent, in milliseconds. */
    double expectedMs (double bytes) const;

    std::size_t waiting() const { return schedule.waiting(); }
    const LinkCounters& counters() const { return counts; }

private:
    void arm();
    void runNextTurn();

    std::shared_ptr<Reactor> reactor;
    mesh::LinkSchedule schedule;
    EarliestTimer timer;
    std::unordered_map<Id, std::function<void()>> turns;
    LinkCounters counts;
};

} // namespace copperlead::sidecar
