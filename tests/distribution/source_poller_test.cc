// The intervals in which nodes read the source, by rank and zone.
#include "distribution/source_poller.h"

#include <gtest/gtest.h>

#include <set>

namespace copperlead {
namespace {

constexpr Timestamp kStart{std::chrono::seconds(1000)};

// Returns the intervals, of one second each, in which one node reads the source.
std::set<int> IntervalsRead(std::size_t zone_index, std::size_t rank, int intervals) {
  AgentSettings settings;
  SourcePoller poller(settings, 1, 1, kStart - std::chrono::seconds(100));
  PollSituation situation;
  situation.has_peer_contact = true;
  situation.has_document = true;
  situation.zone_index = zone_index;
  situation.zone_count = 5;
  situation.rank = rank;
  std::set<int> read;
  for (Timestamp now = poller.NextDeadline(); now < kStart + std::chrono::seconds(intervals);
       now = poller.NextDeadline()) {
    for (const FetchFromSource& fetch : poller.Check(now, situation)) {
      SourceAnswered answer;
      answer.stream = fetch.stream;
      answer.status = SourceAnswered::Status::kNotModified;
      poller.Accept(now, answer);
      if (now >= kStart) read.insert(static_cast<int>((now - kStart) / std::chrono::seconds(1)));
    }
  }
  return read;
}

TEST(SourcePollerTest, SomeStandbyReadsInEachIntervalWhenAllReadersFailed) {
  std::set<int> read;
  for (std::size_t zone = 0; zone < 5; ++zone) read.merge(IntervalsRead(zone, 1, 16));
  EXPECT_EQ(read.size(), 16U);
  EXPECT_EQ(IntervalsRead(0, 1, 16).size(), 4U);
  EXPECT_EQ(IntervalsRead(0, 4, 64).size(), 0U);
}

}  // namespace
}  // namespace copperlead
