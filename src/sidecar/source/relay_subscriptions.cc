/** How the relay subscribes to its zone's reader, and takes others' subscriptions. */
#include "mesh/reader_beat_codec.h"
#include "sidecar/source/relay.h"

namespace copperlead::sidecar
{

void Relay::subscribe (Timestamp now)
{
    if (listed || resigned)
        return;

    const auto sendings = subscriptions.due (now, peers.inZone);

    if (sendings.empty())
        return;

    send (sendings);
    role.subscribed (now);
    log->write (now, EventKind::subscribed,
                { { "to", sendings.front().to },
                  { "asked", static_cast<std::int64_t> (sendings.size()) },
                  { "peers", static_cast<std::int64_t> (peers.inZone.size()) },
                  { "epoch", static_cast<std::int64_t> (ownAt.epoch) },
                  { "revision", static_cast<std::int64_t> (ownAt.revision) } });
}

void Relay::takeSubscription (const std::string& from, const mesh::Subscription& subscription)
{
    // Only a listed node passes on others' subscriptions: a stranger's word would send beats to
    // anybody.
    const bool passedOn = ! subscription.ip.empty();

    if (subscription.zone != settings.zone || (passedOn && ! isZonePeer (from)))
        return;

    const auto now = SteadyClock().Now();
    const auto& subscriber = passedOn ? subscription.ip : from;
    ++counts.subscriptionsTaken;
    send (subscriptions.take (now, subscriber, role.reading()));

    if (role.reading() && hooks.sourceSound (now))
        sendBeat (subscriber, beatBytes (true, true));
    else if (! subscriptions.knowsReader (now))
        role.listed (now); // Its sender has seen so: nobody reads yet, and this node soon may.
}

void Relay::send (const mesh::SubscriptionSendings& sendings)
{
    for (const auto& sending : sendings)
    {
        ++counts.subscriptionsSent;
        channel->Send ({ sending.to, settings.address.port },
                       mesh::encode (mesh::Subscription{ settings.zone, sending.subscriber }));
    }
}

} // namespace copperlead::sidecar
