#include "mesh/subscription.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "mesh/datagram_archive.h"

namespace copperlead::mesh
{
namespace
{

constexpr std::uint32_t subscriptionTag = 0x636f7073; // Distinguishes them from heartbeats.

} // namespace

template <typename Archive>
void serialize (Archive& archive, Subscription& subscription)
{
    archive (subscription.zone, subscription.ip);
}

std::string encode (const Subscription& subscription)
{
    return encodeDatagram (subscriptionTag, subscription);
}

std::optional<Subscription> decodeSubscription (std::string_view bytes)
{
    return decodeDatagram<Subscription> (subscriptionTag, bytes);
}

OutgoingSubscriptions Subscriptions::takeDueRequests (Timestamp now,
                                                      const std::vector<std::string>& zonePeers)
{
    const bool readerKnown = knowsReader (now);

    const auto interval = readerKnown ? renewalInterval : retryInterval;

    if ((sentAt && now - *sentAt < interval) || (! readerKnown && zonePeers.empty()))
        return {};

    sentAt = now;

    if (readerKnown)
        return { { readerIp, {} } };

    std::vector<std::string> recipients;
    std::sample (zonePeers.begin(), zonePeers.end(), std::back_inserter (recipients),
                 peersPerAttempt, random);
    OutgoingSubscriptions requests;

    for (auto& ip : recipients)
        requests.push_back ({ std::move (ip), {} });

    return requests;
}

OutgoingSubscriptions Subscriptions::onReaderHeartbeat (Timestamp now, const std::string& ip,
                                                        bool isReading)
{
    readerIp = ip;
    heardAt = now;
    return isReading ? OutgoingSubscriptions() : forwardToReader (now);
}

OutgoingSubscriptions Subscriptions::addSubscriber (Timestamp now, const std::string& ip,
                                                    bool isReading)
{
    if (expiryByIp.size() < maxSubscribers || expiryByIp.contains (ip))
        expiryByIp[ip] = now + lifetime;

    return isReading || ! knowsReader (now) ? OutgoingSubscriptions() : forwardToReader (now);
}

OutgoingSubscriptions Subscriptions::forwardToReader (Timestamp now)
{
    OutgoingSubscriptions requests;

    for (const auto& ip : subscribers (now))
        if (ip != readerIp)
            requests.push_back ({ readerIp, ip });

    expiryByIp.clear();
    return requests;
}

std::vector<std::string> Subscriptions::subscribers (Timestamp now)
{
    std::erase_if (expiryByIp, [&] (const auto& item) { return now >= item.second; });
    std::vector<std::string> ips;

    for (const auto& [ip, expiry] : expiryByIp)
        ips.push_back (ip);

    return ips;
}

} // namespace copperlead::mesh
