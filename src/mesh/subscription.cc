#include "mesh/subscription.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "mesh/datagram_archive.h"

namespace copperlead::mesh
{
namespace
{

constexpr std::uint32_t subscriptionMark = 0x636f7073; // Tells these from beats.

} // namespace

template <typename Archive>
void serialize (Archive& archive, Subscription& subscription)
{
    archive (subscription.zone, subscription.ip);
}

std::string encode (const Subscription& subscription)
{
    return encodeDatagram (subscriptionMark, subscription);
}

std::optional<Subscription> decodeSubscription (std::string_view bytes)
{
    return decodeDatagram<Subscription> (subscriptionMark, bytes);
}

SubscriptionSendings Subscriptions::due (Timestamp now, const std::vector<std::string>& zonePeers)
{
    const bool heard = knowsReader (now);

    const auto interval = heard ? renewalInterval : retryInterval;

    if ((sentAt && now - *sentAt < interval) || (! heard && zonePeers.empty()))
        return {};

    sentAt = now;

    if (heard)
        return { { readerIp, {} } };

    std::vector<std::string> drawn;
    std::sample (zonePeers.begin(), zonePeers.end(), std::back_inserter (drawn), askedAtOnce,
                 random);
    SubscriptionSendings sendings;

    for (auto& ip : drawn)
        sendings.push_back ({ std::move (ip), {} });

    return sendings;
}

SubscriptionSendings Subscriptions::heardReader (Timestamp now, const std::string& ip,
                                                 bool isReading)
{
    readerIp = ip;
    heardAt = now;
    return isReading ? SubscriptionSendings() : passOn (now);
}

SubscriptionSendings Subscriptions::take (Timestamp now, const std::string& ip, bool isReading)
{
    if (untilByIp.size() < most || untilByIp.contains (ip))
        untilByIp[ip] = now + lifetime;

    return isReading || ! knowsReader (now) ? SubscriptionSendings() : passOn (now);
}

SubscriptionSendings Subscriptions::passOn (Timestamp now)
{
    SubscriptionSendings sendings;

    for (const auto& ip : subscribers (now))
        if (ip != readerIp)
            sendings.push_back ({ readerIp, ip });

    untilByIp.clear();
    return sendings;
}

std::vector<std::string> Subscriptions::subscribers (Timestamp now)
{
    std::erase_if (untilByIp, [&] (const auto& item) { return now >= item.second; });
    std::vector<std::string> ips;

    for (const auto& [ip, until] : untilByIp)
        ips.push_back (ip);

    return ips;
}

} // namespace copperlead::mesh
