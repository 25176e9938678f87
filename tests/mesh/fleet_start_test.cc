// Simulation of many nodes that start together while their instances are listed one after the
// other. The tests check which nodes read the source, how many calls they make, and when each node
// is up to date.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "mesh/reader_role.h"
#include "mesh/source_follower.h"
#include "mesh/subscription.h"
#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

constexpr int stepMs = 10;
constexpr std::int64_t heartbeatMs = 250, callMs = 20, pageSize = 200;
constexpr int entriesPerSecond = 140, firstEntryMs = 800;
constexpr std::size_t zones = 6;

/** Nodes and their source, which lists the configuration at revision 1 and the n-th instance at
    n + 2.
*/
class StartingFleet
{
public:
    explicit StartingFleet (std::size_t size)
    {
        for (std::size_t n = 0; n < size; ++n)
            nodes.push_back (std::make_unique<Node> (n, n % 16 < zones ? maxMachineStrength : 0));
    }

    void runUntil (std::int64_t endMs)
    {
        for (; now < endMs; now += stepMs)
            for (auto& node : nodes)
                step (*node);
    }

    /** @returns the number of nodes that haven't been up to date with the source in the last second
     */
    std::size_t outOfDate() const
    {
        return countIf ([&] (const Node& n) { return isLate (n); });
    }

    std::size_t withoutConfiguration() const
    {
        return countIf ([] (const Node& n) { return n.reached == 0; });
    }

    std::size_t readers() const
    {
        return countIf ([] (const Node& n) { return n.role.reading(); });
    }

    bool listsNothing = false; /**< True if instances are never listed. */
    bool fails = false;
    std::size_t calls = 0, staleCalls = 0;

private:
    struct Node
    {
        Node (std::size_t number, int strength)
            : index (number)
            , rank{ strength, (number * 7919) % 10'007 }
            , role (nameOf (number), rank, settings(), seedOf (number))
            , follower (followerSettings(), seedOf (number))
            , subscriptions (seedOf (number))
        {
            follower.pause();
        }

        static ReaderRoleSettings settings()
        {
            ReaderRoleSettings made;
            made.canListPeers = true;
            return made;
        }

        static FollowerSettings followerSettings()
        {
            FollowerSettings made;
            made.firstListMayBeStale = true;
            made.watchInterval = Milliseconds (1000);
            return made;
        }

        std::size_t index;
        ReaderRank rank;
        ReaderRole role;
        SourceFollower follower;
        Subscriptions subscriptions;
        std::uint64_t reached = 0;
        std::int64_t answerAt = -1, fetchAt = -1, heartbeatAt = -10'000;
        SourceRequest request;
        std::uint64_t fetchRevision = 0;
        std::vector<std::string> peers;
        std::uint64_t peersAt = 0; /**< Revision of the listing from which `peers` was computed. */
    };

    static std::uint64_t seedOf (std::size_t index) { return (index + 1) * 2'654'435'761; }
    static std::string nameOf (std::size_t index) { return "n" + std::to_string (index); }

    template <typename Predicate>
    std::size_t countIf (Predicate predicate) const
    {
        return static_cast<std::size_t> (std::count_if (
            nodes.begin(), nodes.end(), [&] (const auto& node) { return predicate (*node); }));
    }

    bool isLate (const Node& node) const
    {
        const bool heard = at (now) - node.role.lastUpToDate() <= Milliseconds (1000);
        return ! heard && ! node.follower.isSourceReachable (at (now));
    }

    /** @returns the number of listed instances */
    std::uint64_t listed() const
    {
        const auto count =
            std::max<std::int64_t> ((now - firstEntryMs) * entriesPerSecond / 1000, 0);
        return listsNothing ? 0 : std::min<std::uint64_t> (count, nodes.size());
    }

    std::uint64_t revision() const { return listed() + 1; }
    bool isListedAt (std::size_t index, std::uint64_t seen) const { return seen >= index + 2; }

    const std::vector<std::string>& peersOf (Node& node) const
    {
        auto& names = node.peers;

        if (std::exchange (node.peersAt, node.reached) == node.reached)
            return names;

        names.clear();

        for (auto n = node.index % zones; n < nodes.size() && isListedAt (n, node.reached);
             n += zones)
            if (n != node.index)
                names.push_back (nameOf (n));

        std::sort (names.begin(), names.end());
        return names;
    }

    void learn (Node& node, std::uint64_t seen)
    {
        node.reached = std::max (node.reached, seen);
        node.role.positionReached (at (now), { 0, node.reached }, 1);

        if (isListedAt (node.index, node.reached))
            node.role.listed (at (now));

        if (node.role.lastUpToDate() != Timestamp{} && ! node.role.reading())
            node.follower.pause ({ 0, node.reached });
    }

    void step (Node& node)
    {
        if (node.answerAt >= 0 && now >= node.answerAt)
            answer (node);

        if (node.fetchAt >= 0 && now >= node.fetchAt)
        {
            node.fetchAt = -1;
            learn (node, node.fetchRevision);
        }

        decide (node);
        subscribe (node);
        sendHeartbeat (node);

        if (const auto request = node.follower.poll (at (now)))
            call (node, *request);
    }

    void call (Node& node, const SourceRequest& request)
    {
        ++(request.mayBeStale ? staleCalls : calls);
        const bool holds = request.call == SourceCall::watch && ! fails &&
                           node.follower.position().revision >= revision();
        node.request = request;
        node.answerAt = now + callMs + (holds ? request.wait.count() : 0);
    }

    void answer (Node& node)
    {
        node.answerAt = -1;
        SourceAnswer answer;
        answer.reply = fails ? SourceReply::refused : SourceReply::entries;
        answer.position = { 0, revision() };

        // Each entry's key is derived from its revision with a fixed number of digits, so that keys
        // sort by revision.
        const auto key = [] (std::uint64_t r) { return std::to_string (10'000 + r); };
        const auto from =
            node.request.call == SourceCall::watch
                ? node.request.afterRevision + 1
                : (node.request.afterKey.empty() ? 1 : std::stoull (node.request.afterKey) - 9'999);

        for (auto r = from; r <= revision() && ! answer.hasMore; ++r)
        {
            answer.entries.push_back ({ key (r), "v", r, 1, false });
            answer.hasMore = node.request.call == SourceCall::list &&
                             answer.entries.size() == pageSize && r < revision();
        }

        if (const auto update = node.follower.handleAnswer (at (now), std::move (answer)))
            learn (node, update->position.revision);
    }

    void decide (Node& node)
    {
        const bool before = node.role.reading();
        const bool reading =
            node.role.decide (at (now), node.follower.isSourceReachable (at (now)));
        node.follower.setMinRetryInterval (node.role.minRetryInterval (at (now)));

        if (node.role.takePeerListingRequest())
            node.follower.refreshListing (at (now));

        if (reading == before)
            return;

        const bool dropped = reading ? node.follower.resume (at (now), { 0, node.reached })
                                     : node.follower.pause ({ 0, node.reached });

        if (dropped)
            node.answerAt = -1;
    }

    void subscribe (Node& node)
    {
        if (isListedAt (node.index, node.reached))
            return;

        const auto sendings = node.subscriptions.takeDueRequests (at (now), peersOf (node));

        if (! sendings.empty())
            node.role.subscribed (at (now));

        send (node, sendings);
    }

    void send (const Node& from, const OutgoingSubscriptions& sendings)
    {
        for (const auto& sending : sendings)
        {
            auto& to = *nodes[std::stoull (sending.to.substr (1))];
            const auto& subscriber =
                sending.subscriber.empty() ? nameOf (from.index) : sending.subscriber;
            send (to, to.subscriptions.addSubscriber (at (now), subscriber, to.role.reading()));

            if (! to.role.reading() && ! to.subscriptions.knowsReader (at (now)))
                to.role.listed (at (now));
        }
    }

    void sendHeartbeat (Node& node)
    {
        if (! node.role.reading() || now - node.heartbeatAt < heartbeatMs)
            return;

        node.heartbeatAt = now;
        const bool sound = node.follower.isSourceReachable (at (now));
        const ReaderHeartbeat heartbeat{ nameOf (node.index), "z", node.rank,
                                         { 0, node.reached }, 1,   sound };
        auto receivers = peersOf (node);

        for (const auto& name : node.subscriptions.subscribers (at (now)))
            receivers.push_back (name);

        for (const auto& name : receivers)
            receive (*nodes[std::stoull (name.substr (1))], heartbeat);
    }

    void receive (Node& node, const ReaderHeartbeat& heartbeat)
    {
        node.role.heartbeatReceived (at (now), heartbeat);

        if (heartbeat.healthy)
            send (node, node.subscriptions.onReaderHeartbeat (at (now), heartbeat.node,
                                                              node.role.reading()));

        if (heartbeat.position.revision > node.reached && node.fetchAt < 0)
        {
            node.fetchAt = now + callMs;
            node.fetchRevision = heartbeat.position.revision;
        }
    }

    std::vector<std::unique_ptr<Node>> nodes;
    std::int64_t now = 0;
};

TEST (FleetStart, CallsPerNodeDoNotGrowWithTheNumberOfNodes)
{
    for (const std::size_t size : { 50, 200, 1000, 2000 })
    {
        StartingFleet fleet (size);
        fleet.runUntil (16'000);
        // Stale answers cost a tenth of a call. The readers of six zones make calls continuously.
        const auto cost = fleet.calls + fleet.staleCalls / 10;
        EXPECT_LE (cost, 16 * 2 * zones + size / 2) << size << " nodes";
        EXPECT_EQ (fleet.outOfDate(), 0) << size << " nodes";
        EXPECT_LE (fleet.readers(), 2 * zones) << size << " nodes";
    }
}

TEST (FleetStart, EveryNodeIsReadyAndUpToDateBeforeMostAreListed)
{
    for (const std::size_t size : { 12, 50, 200, 1000 })
    {
        StartingFleet fleet (size);
        fleet.runUntil (1000);
        EXPECT_EQ (fleet.withoutConfiguration(), 0) << size << " nodes";
        fleet.runUntil (5000);
        EXPECT_EQ (fleet.outOfDate(), 0) << size << " nodes";
    }
}

TEST (FleetStart, NodesThatAreNeverListedReadTheSourceThemselves)
{
    StartingFleet fleet (12);
    fleet.listsNothing = true;
    fleet.runUntil (5000);
    EXPECT_EQ (fleet.outOfDate(), 0);
}

TEST (FleetStart, NodesCatchUpSoonAfterASourceThatRefusedCallsAnswers)
{
    StartingFleet fleet (200);
    fleet.fails = true;
    fleet.runUntil (6000);
    fleet.fails = false;
    fleet.runUntil (7500);
    EXPECT_EQ (fleet.withoutConfiguration(), 0);
    fleet.runUntil (10'000);
    EXPECT_EQ (fleet.outOfDate(), 0);
}

} // namespace
} // namespace copperlead::mesh::test
