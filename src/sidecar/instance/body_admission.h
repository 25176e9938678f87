/** Decides which large request bodies other nodes may send to this one, and when. A body is
    admitted by the head of its request. The number of concurrent transfers is limited so that small
    messages don't wait behind a long queue on the link. Runs on the reactor's thread.

    Order, limits and refusals are those of mesh::AdmissionQueue: a slot of the queue is a body on
    the link, and a run is its transfer. The queue learns how long transfers take.
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

/** Counters since the process started. */
struct BodyCounters
{
    std::uint64_t granted = 0;       /**< Bodies whose senders were allowed to send them. */
    std::uint64_t refused = 0;       /**< Bodies that could not have arrived in time. */
    std::uint64_t arrived = 0;       /**< Bodies that arrived completely. */
    std::uint64_t overdue = 0;       /**< Bodies whose slots were released before they arrived. */
    std::uint64_t bytes = 0;         /**< Bytes of the bodies that arrived. */
    mesh::LatencyHistogram transfer; /**< Time from the grant to the arrival. */
};

class BodyAdmission : public std::enable_shared_from_this<BodyAdmission>
{
public:
    using Id = std::uint64_t;

    /** @param granted  whether the body may be sent; false if it can't arrive in time */
    using Decision = std::function<void (bool granted)>;

    /** @param linkMbps  configured bandwidth of this machine's link */
    BodyAdmission (std::shared_ptr<Reactor> reactorToUse, double linkMbps);

    /** Requests admission of a body. The decision is reported once, never before this function
        returns nor after cancel().
        @param bytes  size of the body
    */
    Id requestAdmission (const mesh::HopRequest& facts, std::size_t bytes, Decision decision);

    /** Reports that an admitted body has arrived. @param bytes  bytes received */
    void arrived (Id id, std::size_t bytes);

    /** Reports that a body won't arrive, or that its transfer failed. */
    void cancel (Id id);

    /** Returns the time until one more body of average size would have arrived, in milliseconds. */
    double expectedMs() const;

    std::size_t waiting() const { return queue.waiting(); }
    std::size_t inTransfer() const { return queue.running(); }
    const BodyCounters& counters() const { return counts; }

private:
    struct PendingBody
    {
        DeferredCallback<bool> decision;
        Timestamp deadline{}, grantedAt{};
        /** Transfer time expected for its size. */
        double expectedTransferMs = 0;
        bool isOverdue = false;
        bool isRefused = false; /**< Until this has been reported. */
    };

    void grant (Id id);
    void refuse (Id id);
    void report (Id id, const Decision& decision, bool granted);
    void pump();
    void armExpiry();
    Duration overdueTimeout (const PendingBody& body) const;
    void markOverdue (Id id);
    void updateAverageSize (std::size_t bytes);
    void updateLimit();
    void remove (Id id);
    double transferMs (double bytes) const;

    std::shared_ptr<Reactor> reactor;
    /** Fires when the next waiting body expires. */
    EarliestTimer expiry;
    double bytesPerMs;
    double averageBytes;
    /** Granted bodies that no longer count against the limit. */
    int overdueBodies = 0;
    mesh::AdmissionQueue queue;
    std::unordered_map<Id, PendingBody> pending;
    BodyCounters counts;
    Id lastId = 0;
};

} // namespace copperlead::sidecar
