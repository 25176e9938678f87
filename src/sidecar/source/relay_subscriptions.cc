/** The part of the relay that subscribes to the zone's reader and accepts the subscriptions of
    other nodes.
*/
#include "mesh/reader_heartbeat_codec.h"
#include "sidecar/source/relay.h"

namespace copperlead::sidecar
{

void Relay::subscribe (Timestamp now)
{
    if (listed || resigned)
        return;

    const auto subscriptionsToSend = subscriptions.takeDueRequests (now, peers.sameZone);

    if (subscriptionsToSend.empty())
        return;

    send (subscriptionsToSend);
    role.subscribed (now);
    log->write (now, EventKind::subscribed,
                { { "to", subscriptionsToSend.front().to },
                  { "asked", static_cast<std::int64_t> (subscriptionsToSend.size()) },
                  { "peers", static_cast<std::int64_t> (peers.sameZone.size()) },
                  { "epoch", static_cast<std::int64_t> (ownPosition.epoch) },
                  { "revision", static_cast<std::int64_t> (ownPosition.revision) } });
}

void Relay::onSubscription (const std::string& from, const mesh::Subscription& subscription)
{
    // Only listed nodes may forward the subscriptions of others. Otherwise an unknown sender could
    // direct heartbeats to any address.
    const bool isForwarded = ! subscription.ip.empty();

    if (subscription.zone != settings.zone || (isForwarded && ! isZonePeer (from)))
        return;

    const auto now = SteadyClock().Now();
    const auto& subscriber = isForwarded ? subscription.ip : from;
    ++counts.subscriptionsReceived;
    send (subscriptions.addSubscriber (now, subscriber, role.reading()));

    if (role.reading() && hooks.isSourceReachable (now))
        sendHeartbeat (subscriber, encodeHeartbeat (true, true));
    else if (! subscriptions.knowsReader (now))
        // The sender considers this node listed. No reader is known yet, and this node may read
        // soon.
        role.listed (now);
}

void Relay::send (const mesh::OutgoingSubscriptions& subscriptionsToSend)
{
    for (const auto& sending : subscriptionsToSend)
    {
        ++counts.subscriptionsSent;
        channel->Send ({ sending.to, settings.address.port },
                       mesh::encode (mesh::Subscription{ settings.zone, sending.subscriber }));
    }
}

} // namespace copperlead::sidecar
