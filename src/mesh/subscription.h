/** How a node whose instance isn't listed (yet) gets to hear the reader of its zone, which tells
    those beside listed instances: it subscribes to the reader's beats. Deciding code without I/O.

    In a fleet that starts together nobody is listed at first, and entries appear over seconds: the
    more nodes, the longer. Were each to read the source itself meanwhile, a start would cost calls
    in proportion to the nodes and to the time that their listing takes.

    A node that doesn't know who reads sends its subscription to some listed nodes of its zone; who
    doesn't read passes it on to the reader as soon as it hears one. Subscriptions lapse unless they
    are renewed.
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

/** Sent as a datagram. */
struct Subscription
{
    std::string zone;
    std::string ip; /**< Where beats go; empty: to the sender. */
};

std::string encode (const Subscription& subscription);

/** @returns nothing for a datagram that is none */
std::optional<Subscription> decodeSubscription (std::string_view bytes);

/** A subscription to send. */
struct SubscriptionSending
{
    std::string to;
    std::string subscriber; /**< Empty: this node itself. */

    bool operator== (const SubscriptionSending&) const = default;
};

using SubscriptionSendings = std::vector<SubscriptionSending>;

/** One node's subscription, and those that it holds for others. Not thread-safe. */
class Subscriptions
{
public:
    /** Some of which don't know the reader yet, or miss the datagram. */
    static constexpr std::size_t askedAtOnce = 3;

    /** A reader beats four times a second: one that was silent for so long no longer is one. */
    static constexpr Milliseconds readerMemory{ 600 };

    static constexpr Milliseconds retryInterval{ 500 };    /**< While no reader is heard. */
    static constexpr Milliseconds renewalInterval{ 2000 }; /**< To the reader that is heard. */
    static constexpr Milliseconds lifetime{ 5000 };        /**< Two renewals may be lost. */

    /** Those beyond are turned away: more nodes than a zone may have. */
    static constexpr std::size_t most = 4096;

    explicit Subscriptions (std::uint64_t seed)
        : random (static_cast<std::minstd_rand::result_type> (seed % std::minstd_rand::modulus))
    {
    }

    /** What a node that isn't listed sends for itself now; counts as done. */
    SubscriptionSendings due (Timestamp now, const std::vector<std::string>& zonePeers);

    /** A sound reader of the zone beats.
        @param isReading  this node reads as well
        @returns what that reader is told instead of this node
    */
    SubscriptionSendings heardReader (Timestamp now, const std::string& ip, bool isReading);

    /** Takes a node's subscription. @returns what is passed on at once */
    SubscriptionSendings take (Timestamp now, const std::string& ip, bool isReading);

    /** Who is to hear this node's beats. */
    std::vector<std::string> subscribers (Timestamp now);

    /** True while some reader of the zone was heard lately. */
    bool knowsReader (Timestamp now) const { return heardAt && now - *heardAt <= readerMemory; }

private:
    SubscriptionSendings passOn (Timestamp now);

    std::minstd_rand random;
    std::string readerIp;
    std::optional<Timestamp> heardAt; /**< The reader. */
    std::optional<Timestamp> sentAt;
    std::map<std::string, Timestamp> untilByIp;
};

} // namespace copperlead::mesh
