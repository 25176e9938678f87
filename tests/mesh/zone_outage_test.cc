// Simulation of the nodes of one zone, each with a reader role and a follower, during failures of
// the source.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "mesh/reader_role.h"
#include "mesh/source_follower.h"
#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

constexpr int stepMs = 10;
constexpr std::int64_t heartbeatMs = 250, callMs = 10;

/** A zone whose heartbeats arrive immediately and whose source answers or refuses after 10 ms. */
class Zone
{
public:
    explicit Zone (int size)
    {
        for (int n = 0; n < size; ++n)
        {
            FollowerSettings settings;
            settings.firstListMayBeStale = true;
            settings.watchInterval = Milliseconds (750);
            const auto name = "n" + std::to_string (n);
            const auto seed = static_cast<std::uint64_t> (n + 1);
            auto node = std::make_unique<Node> (
                Node{ ReaderRole (name, { maxMachineStrength, seed }, {}, seed),
                      SourceFollower (settings, seed), name, seed });
            node->follower.pause();
            node->role.setZonePeers (static_cast<std::size_t> (size - 1));
            nodes.push_back (std::move (node));
        }
    }

    void runUntil (std::int64_t endMs)
    {
        for (; now < endMs; now += stepMs)
            for (auto& node : nodes)
                step (*node);
    }

    int readers() const
    {
        int count = 0;

        for (const auto& node : nodes)
            count += node->role.reading() ? 1 : 0;

        return count;
    }

    /** @returns the number of nodes that haven't been up to date with the source in the last second
     */
    int outOfDate() const
    {
        int count = 0;

        for (const auto& node : nodes)
        {
            const bool heard = at (now) - node->role.lastUpToDate() <= Milliseconds (1000);
            count += heard || node->follower.isSourceReachable (at (now)) ? 0 : 1;
        }

        return count;
    }

    /** Discards the history of the source, so that it rejects watches from earlier revisions. */
    void loseHistory() { discardedBefore = ++position.revision; }

    /** Restores the source from a backup that lacks its latest five changes. */
    void restore()
    {
        ++position.epoch;
        position.revision -= 5;
        discardedBefore = std::min (discardedBefore, position.revision);
    }

    void change() { ++position.revision; }

    /** @returns the number of nodes that lack the source's latest change */
    int behind() const
    {
        int count = 0;

        for (const auto& node : nodes)
            count += node->follower.position() == position ? 0 : 1;

        return count;
    }

    bool failing = false;
    int calls = 0, staleCalls = 0;

private:
    struct Node
    {
        ReaderRole role;
        SourceFollower follower;
        std::string name;
        std::uint64_t hash = 0;
        SourceRequest request{};
        std::int64_t answerAt = -1, heartbeatAt = -10'000;
        bool reportedHealthy = false;
    };

    void step (Node& node)
    {
        answer (node);
        decide (node);
        sendHeartbeat (node);

        if (const auto request = node.follower.poll (at (now)))
        {
            ++(request->mayBeStale ? staleCalls : calls);
            node.request = *request;
            const bool holds =
                request->call == SourceCall::watch && ! failing && ! isLost (*request);
            node.answerAt = now + callMs + (holds ? request->wait.count() : 0);
        }
    }

    bool isLost (const SourceRequest& request) const
    {
        return request.call == SourceCall::watch && (request.afterRevision < discardedBefore ||
                                                     request.afterRevision > position.revision);
    }

    void answer (Node& node)
    {
        if (node.answerAt < 0 || now < node.answerAt)
            return;

        node.answerAt = -1;
        SourceAnswer answer;
        answer.reply = failing                 ? SourceReply::refused
                       : isLost (node.request) ? SourceReply::historyLost
                                               : SourceReply::entries;
        answer.position = position;
        answer.entries = { { "a", "v", position.revision, 1, false } };
        node.follower.handleAnswer (at (now), std::move (answer));

        if (node.follower.position().isKnown())
        {
            node.role.positionReached (at (now), node.follower.position(), 1);
            node.role.listed (at (now));
        }
    }

    void decide (Node& node)
    {
        const bool before = node.role.reading();
        const bool reading =
            node.role.decide (at (now), node.follower.isSourceReachable (at (now)));
        node.follower.setMinRetryInterval (node.role.minRetryInterval (at (now)));

        if (reading == before)
            return;

        const bool dropped = reading ? node.follower.resume (at (now), node.follower.position())
                                     : node.follower.pause (node.follower.position());

        if (dropped)
            node.answerAt = -1;
    }

    void sendHeartbeat (Node& node)
    {
        const bool sound = node.follower.isSourceReachable (at (now));
        const auto interval =
            sound == node.reportedHealthy
                ? (sound ? heartbeatMs
                         : std::max<std::int64_t> (1000,
                                                   node.role.minRetryInterval (at (now)).count()))
                : 0;

        if (! node.role.reading() || now - node.heartbeatAt < interval)
            return;

        node.heartbeatAt = now;
        node.reportedHealthy = sound;
        const ReaderHeartbeat heartbeat{
            node.name, "z", { maxMachineStrength, node.hash }, node.follower.position(), 1, sound
        };

        for (auto& other : nodes)
            if (other.get() != &node)
                receive (*other, heartbeat);
    }

    void receive (Node& node, const ReaderHeartbeat& heartbeat)
    {
        node.role.heartbeatReceived (at (now), heartbeat);

        // The node fetches the changes from the reader.
        if (heartbeat.healthy && heartbeat.position > node.follower.position() &&
            ! node.role.reading())
        {
            node.follower.pause (heartbeat.position);
            node.role.positionReached (at (now), heartbeat.position, 1);
        }
    }

    std::vector<std::unique_ptr<Node>> nodes;
    std::int64_t now = 0;
    SourcePosition position{ 1, 19 };
    std::uint64_t discardedBefore = 0;
};

TEST (ZoneOfReaders, StartsWithOneStaleListingPerNodeAndFewOtherCalls)
{
    Zone zone (50);
    zone.runUntil (3000);
    EXPECT_EQ (zone.readers(), 1);
    EXPECT_EQ (zone.outOfDate(), 0);
    EXPECT_EQ (zone.staleCalls, 50);
    EXPECT_LE (zone.calls, 20);
}

TEST (ZoneOfReaders, SharesTheCallsOfAnOutageAndComesBackAtOnce)
{
    Zone zone (50);
    zone.runUntil (5000);
    zone.failing = true;
    zone.calls = 0;
    zone.runUntil (14'000);
    EXPECT_LE (zone.calls, 200);
    zone.failing = false;
    zone.runUntil (15'200);
    EXPECT_EQ (zone.outOfDate(), 0);
    zone.runUntil (17'000);
    EXPECT_EQ (zone.readers(), 1);
}

TEST (ZoneOfReaders, ALostHistoryIsListedOnceAZone)
{
    Zone zone (160);
    zone.runUntil (5000);
    zone.calls = 0;
    zone.loseHistory();
    zone.runUntil (9000);
    EXPECT_EQ (zone.readers(), 1);
    EXPECT_EQ (zone.outOfDate(), 0);
    EXPECT_LE (zone.calls, 8);
}

// Guards against readers that list a restored source in a loop until it reaches their revision.
TEST (ZoneOfReaders, ARestoredSourceIsListedOncePerZone)
{
    Zone zone (160);
    zone.runUntil (5000);
    zone.calls = 0;
    zone.restore();
    zone.runUntil (7000);
    EXPECT_EQ (zone.behind(), 0);
    zone.change();
    zone.runUntil (9000);
    EXPECT_EQ (zone.readers(), 1);
    EXPECT_EQ (zone.outOfDate(), 0);
    EXPECT_EQ (zone.behind(), 0);
    EXPECT_LE (zone.calls, 9);
}

TEST (ZoneOfReaders, ASourceThatIsRestoredInAnOutageIsListedByFewNodes)
{
    Zone zone (160);
    zone.runUntil (5000);
    zone.failing = true;
    zone.runUntil (8000);
    zone.restore();
    zone.restore();
    zone.calls = 0;
    zone.failing = false;
    zone.runUntil (10'000);
    zone.change();
    zone.runUntil (12'000);
    EXPECT_EQ (zone.readers(), 1);
    EXPECT_EQ (zone.behind(), 0);
    EXPECT_LE (zone.calls, 40);
}

TEST (ZoneOfReaders, ASmallZoneKeepsTheRetryRate)
{
    Zone zone (3);
    zone.runUntil (5000);
    zone.failing = true;
    zone.calls = 0;
    zone.runUntil (14'000);
    EXPECT_GE (zone.calls, 40);
}

} // namespace
} // namespace copperlead::mesh::test
