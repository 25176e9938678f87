/** Which large bodies other nodes may send to this one, and when: by their requests' heads, as many
    at a time as its link carries without a long queue in front of small messages. Of the reactor's
    thread.

    The order, the bounds and the refusals are those of mesh::AdmissionQueue, whose slots stand for
    bodies on the link and whose runs for their transfers; how long these take is learned.
*/
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "mesh/admission_queue.h"
#include "mesh/hop_header.h"
#include "mesh/latency_histogram.h"
#include "sidecar/earliest_timer.h"
#include "transport/reactor.h"

namespace copperlead::sidecar
{

/** Counted since the start. */
struct BodyCounters
{
    std::uint64_t called = 0;        /**< Bodies that their senders were told to send. */
    std::uint64_t refused = 0;       /**< Bodies that couldn't arrive in time. */
    std::uint64_t arrived = 0;       /**< Bodies that arrived whole. */
    std::uint64_t overdue = 0;       /**< Bodies whose places went to others before they came. */
    std::uint64_t bytes = 0;         /**< Of those that arrived. */
    mesh::LatencyHistogram transfer; /**< From the call for a body until it was there. */
};

class BodyAdmission : public std::enable_shared_from_this<BodyAdmission>
{
public:
    using Id = std::uint64_t;

    /** @param granted  whether the body may come; false: it can't arrive in time */
    using Decision = std::function<void (bool granted)>;

    /** @param linkMbps  of this machine, as its settings say */
    BodyAdmission (std::shared_ptr<Reactor> reactorToUse, double linkMbps);

    /** Asks for a body to be admitted. The decision comes once, maybe before this returns, and not
        after left().
        @param bytes  of the body
    */
    Id ask (const mesh::HopRequest& facts, std::size_t bytes, Decision decision);

    /** An admitted body is there. @param bytes  that came */
    void arrived (Id id, std::size_t bytes);

    /** A body that was asked for won't come, or came to nothing. */
    void left (Id id);

    /** Until another body of the usual size would be there, in milliseconds. */
    double expectedMs() const;

    std::size_t waiting() const { return queue.waiting(); }
    std::size_t inTransfer() const { return queue.running(); }
    const BodyCounters& counters() const { return counts; }

private:
    struct Asked
    {
        Decision decision;
        Timestamp deadline{}, calledAt{};
        double usualMs = 0; /**< Of its transfer, by its size. */
        bool isOverdue = false;
    };

    void begin (Id id);
    void decline (Id id);
    void pump();
    void armExpiry();
    Duration patience (const Asked& begun) const;
    void giveUpWaiting (Id id);
    void learnSize (std::size_t bytes);
    void setPlaces();
    void forget (Id id);
    double transferMs (double bytes) const;

    std::shared_ptr<Reactor> reactor;
    EarliestTimer expiry; /**< Of what waits in the queue. */
    double bytesPerMs;
    double usualBytes;
    int overdueNow = 0; /**< Bodies that were called for and no longer count against the limit. */
    mesh::AdmissionQueue queue;
    std::unordered_map<Id, Asked> asked;
    BodyCounters counts;
    Id lastId = 0;
};

} // namespace copperlead::sidecar
