// The simulator's own parts: a check is worth no more than the world that it is made in.

#include <gtest/gtest.h>

#include "simulation/convergence.h"
#include "simulation/documents.h"
#include "simulation/event_queue.h"
#include "simulation/network_model.h"
#include "simulation/source_model.h"

namespace copperlead::simulation {
namespace {

constexpr Timestamp kStart{std::chrono::seconds(1000)};

TEST(EventQueueTest, OrdersByTimeThenByInsertion) {
  EventQueue<int> queue;
  queue.Push(kStart + Milliseconds(2), 1);
  queue.Push(kStart, 2);
  queue.Push(kStart + Milliseconds(2), 3);
  queue.Push(kStart + Milliseconds(1), 4);
  std::vector<int> order;
  while (!queue.empty()) order.push_back(queue.Pop());
  EXPECT_EQ(order, (std::vector<int>{2, 4, 1, 3}));
}

TEST(TopologyTest, AddressesLeadBackToTheirNodes) {
  const Topology topology(1000, 5, 2);
  for (NodeIndex node = 0; node < topology.node_count(); ++node) {
    EXPECT_EQ(topology.NodeAt(topology.Address(node)), node);
  }
  EXPECT_EQ(topology.NodesInZone(4).size(), 200u);
  EXPECT_EQ(topology.RegionOfZone(2), 0u);
  EXPECT_EQ(topology.RegionOfZone(3), 1u);
}

class NetworkModelTest : public ::testing::Test {
 protected:
  std::size_t Arrivals(NodeIndex from, NodeIndex to, bool stream = false) {
    return network_.Send(kStart, from, to, 100, stream).size();
  }

  Topology topology_{10, 5, 2};
  NetworkModel network_{topology_, LatencyProfile{}, 1};
};

TEST_F(NetworkModelTest, LatencyFollowsZonesAndRegions) {
  struct Case {
    NodeIndex to;
    Duration least;
  };
  const LatencyProfile profile;
  for (const Case& test : {Case{5, profile.within_zone}, Case{1, profile.between_zones},
                           Case{4, profile.between_regions}}) {
    const auto arrivals = network_.Send(kStart, 0, test.to, 100, false);
    ASSERT_EQ(arrivals.size(), 1u);
    EXPECT_GE(arrivals[0], kStart + test.least);
    EXPECT_LE(arrivals[0], kStart + test.least * 13 / 10 + Milliseconds(1));
  }
}

TEST_F(NetworkModelTest, CutsStopMessagesUntilHealed) {
  network_.CutZones(0, 1);
  EXPECT_EQ(Arrivals(0, 1), 0u);
  EXPECT_EQ(Arrivals(1, 0), 1u);
  EXPECT_EQ(Arrivals(1, 0, /*stream=*/true), 0u);  // TCP needs both directions.
  network_.PartRegions();
  EXPECT_EQ(Arrivals(2, 3), 0u);
  EXPECT_EQ(Arrivals(3, 4), 1u);
  network_.SetDeaf(3, true);
  EXPECT_EQ(Arrivals(4, 3), 0u);
  network_.Heal();
  EXPECT_EQ(Arrivals(0, 1), 1u);
  EXPECT_EQ(Arrivals(4, 3), 1u);
}

TEST_F(NetworkModelTest, LosesAndDuplicatesAboutAsOftenAsAsked) {
  network_.SetFaults({.loss = 0.1, .duplication = 0.1});
  std::size_t lost = 0;
  std::size_t doubled = 0;
  for (int message = 0; message < 10'000; ++message) {
    const std::size_t arrivals = Arrivals(0, 1);
    lost += arrivals == 0 ? 1 : 0;
    doubled += arrivals == 2 ? 1 : 0;
    EXPECT_EQ(Arrivals(0, 1, /*stream=*/true), 1u);
  }
  EXPECT_NEAR(static_cast<double>(lost), 1000, 150);
  EXPECT_NEAR(static_cast<double>(doubled), 900, 150);
}

class SourceModelTest : public ::testing::Test {
 protected:
  SourceAnswered Read(NodeIndex node, const std::string& etag = "") {
    return source_.Read(kStart, node, {StreamKind::kConfiguration, etag}).answer;
  }

  Topology topology_{10, 5, 2};
  DocumentFactory documents_{topology_, 8, 1};
  SourceModel source_{topology_, 1};
};

TEST_F(SourceModelTest, AnswersConditionalReads) {
  const PublishedConfiguration first = documents_.NextEdit();
  source_.Publish(first);
  EXPECT_EQ(Read(0).configuration, first.document);
  EXPECT_EQ(Read(0, first.etag).status, SourceAnswered::Status::kNotModified);
  source_.SetOutage(true);
  EXPECT_EQ(Read(0, first.etag).status, SourceAnswered::Status::kFailed);
  EXPECT_EQ(source_.load().reads, 3u);
  EXPECT_EQ(source_.load().peak_per_second, 3u);
}

TEST_F(SourceModelTest, GoesBackAndConflicts) {
  const PublishedConfiguration first = documents_.NextEdit();
  const PublishedConfiguration second = documents_.NextEdit();
  source_.Publish(first);
  source_.Publish(second);
  source_.GoBack(1);
  EXPECT_EQ(Read(0).configuration, first.document);
  source_.GoBack(0);
  const PublishedConfiguration other = documents_.ConflictWithLatest();
  source_.BeginConflict(other);
  EXPECT_EQ(Read(0).configuration, second.document);
  EXPECT_EQ(Read(1).configuration, other.document);
  EXPECT_EQ(other.revision(), second.revision());
  EXPECT_NE(other.document->bundle.table_digest, second.document->bundle.table_digest);
}

TEST_F(SourceModelTest, KnowsWhatIsAcceptable) {
  const PublishedConfiguration good = documents_.NextEdit();
  const PublishedConfiguration bad = documents_.NextBadTable();
  const PublishedConfiguration incomplete = documents_.NextIncompleteTable();
  EXPECT_TRUE(good.acceptable);
  EXPECT_FALSE(bad.acceptable);
  EXPECT_FALSE(incomplete.acceptable);
  for (const auto& published : {good, bad, incomplete}) source_.Publish(published);
  EXPECT_EQ(source_.newest_acceptable(), good.revision());
  const Bundle& faulty = bad.document->bundle;
  EXPECT_TRUE(source_.WasPublished(faulty.revision, faulty.table_digest));
  EXPECT_FALSE(source_.WasFaultless(faulty.revision, faulty.table_digest));
  source_.Publish(documents_.CompleteLatest());
  EXPECT_EQ(source_.newest_acceptable(), incomplete.revision());
}

TEST(ConvergenceTrackerTest, CountsFromPublicationOrRestoration) {
  ConvergenceTracker tracker(2);
  tracker.Published(kStart, 7);
  tracker.Activated(kStart + Milliseconds(100), 0, 7);
  tracker.Restored(kStart + Milliseconds(500), 1);
  tracker.Activated(kStart + Milliseconds(540), 1, 8);
  tracker.Activated(kStart + Milliseconds(900), 1, 9);
  EXPECT_EQ(tracker.samples().count(), 2u);
  EXPECT_EQ(tracker.samples().InMilliseconds().max, 100);
  EXPECT_EQ(tracker.samples().InMilliseconds().p50, 40);
}

}  // namespace
}  // namespace copperlead::simulation
