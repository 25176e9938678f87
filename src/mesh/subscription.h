/** Subscriptions to the heartbeats of a zone's reader, the node that reads the source for its zone.
    The reader sends heartbeats to the nodes of listed instances; a node whose instance isn't listed
    subscribes to them instead. Performs no I/O.

    When a whole fleet starts at once, no instance is listed at first, and the time until all are
    listed grows with the number of nodes. If each node read the source itself in the meantime, the
    number of calls would be proportional to the number of nodes times that period.

    A node that doesn't know the reader sends its subscription to several listed nodes of its zone.
    A recipient that isn't the reader forwards it as soon as it has received a heartbeat from the
    reader. Subscriptions expire unless they are renewed.
*/
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace copperlead::mesh
{

/** A subscription request, sent as a datagram. */
struct Subscription
{
    std::string zone;
    std::string ip; /**< Destination of the heartbeats; empty means the sender. */
};

std::string encode (const Subscription& subscription);

/** @returns nullopt when the datagram isn't a valid subscription */
std::optional<Subscription> decodeSubscription (std::string_view bytes);

/** A subscription request that is to be sent. */
struct OutgoingSubscription
{
    std::string to;         /**< IP of the recipient. */
    std::string subscriber; /**< IP of the subscriber; empty means this node. */

    bool operator== (const OutgoingSubscription&) const = default;
};

using OutgoingSubscriptions = std::vector<OutgoingSubscription>;

/** A node's own subscription and the subscriptions that it has received. Not thread-safe. */
class Subscriptions
{
public:
    /** Number of nodes to contact per attempt while the reader is unknown. Some of them may not
        know the reader either, or may not receive the datagram.
    */
    static constexpr std::size_t peersPerAttempt = 3;

    /** Time after the last heartbeat at which a node no longer counts as the reader. Heartbeats are
        sent four times a second.
    */
    static constexpr Milliseconds readerTimeout{ 600 };

    static constexpr Milliseconds retryInterval{ 500 };    /**< While no reader is known. */
    static constexpr Milliseconds renewalInterval{ 2000 }; /**< While a reader is known. */
    static constexpr Milliseconds lifetime{ 5000 };        /**< Allows for two lost renewals. */

    /** Maximum number of subscribers, above the number of nodes that a zone may have. Further ones
        are rejected.
    */
    static constexpr std::size_t maxSubscribers = 4096;

    explicit Subscriptions (std::uint64_t seed)
        : random (static_cast<std::minstd_rand::result_type> (seed % std::minstd_rand::modulus))
    {
    }

    /** For a node that isn't listed, returns the requests to send for itself now, if any are due.
        They are assumed to be sent.
    */
    OutgoingSubscriptions takeDueRequests (Timestamp now,
                                           const std::vector<std::string>& zonePeers);

    /** Handles a heartbeat from a healthy reader of the zone.
        @param isReading  whether this node is a reader as well
        @returns the subscriptions to forward to that reader
    */
    OutgoingSubscriptions onReaderHeartbeat (Timestamp now, const std::string& ip, bool isReading);

    /** Adds or renews a node's subscription.
        @returns the subscriptions to forward immediately
    */
    OutgoingSubscriptions addSubscriber (Timestamp now, const std::string& ip, bool isReading);

    /** IPs of the subscribers to this node's heartbeats. Removes expired subscriptions. */
    std::vector<std::string> subscribers (Timestamp now);

    /** Whether a reader of the zone sent a heartbeat within the last `readerTimeout`. */
    bool knowsReader (Timestamp now) const { return heardAt && now - *heardAt <= readerTimeout; }

private:
    OutgoingSubscriptions forwardToReader (Timestamp now);

    std::minstd_rand random;
    std::string readerIp;
    std::optional<Timestamp> heardAt; /**< Time of the reader's last heartbeat. */
    std::optional<Timestamp> sentAt;  /**< Time of this node's last own request. */
    std::map<std::string, Timestamp> expiryByIp;
};

} // namespace copperlead::mesh
