#include <gtest/gtest.h>

#include "admin/metrics.h"
#include "admin/node_status.h"

namespace copperlead {
namespace {

LedgerEntry SomeEntry() {
  LedgerEntry entry;
  entry.when = Timestamp(Duration(1234567));
  entry.origin = "node-2";
  entry.offered = {8, 1, 0xFFFFFFFFFFFFFFFFU};
  entry.missing = {"secret permit-token"};
  entry.running_before = {7, 0, 42};
  entry.floor = {6, 0, 41};
  entry.joining = true;
  entry.verdict = VersionVerdict::kHeldIncomplete;
  entry.explanation = "waits for \"permit-token\"\n";
  return entry;
}

TEST(JournalTest, ReadsBackWhatItWrote) {
  const std::deque<LedgerEntry> entries = {SomeEntry(), LedgerEntry{}};
  const auto read = Resolve([&] { return JournalFromJson(JournalToJson("node-1", entries)); });
  ASSERT_TRUE(read.ok()) << ToString(read.error());
  ASSERT_EQ(read.value().size(), 2U);
  const auto& entry = read.value()[0];
  EXPECT_EQ(entry.when, entries[0].when);
  EXPECT_EQ(entry.origin, entries[0].origin);
  EXPECT_EQ(entry.offered, entries[0].offered);
  EXPECT_EQ(entry.missing, entries[0].missing);
  EXPECT_EQ(entry.running_before, entries[0].running_before);
  EXPECT_EQ(entry.floor, entries[0].floor);
  EXPECT_EQ(entry.joining, entries[0].joining);
  EXPECT_EQ(entry.verdict, entries[0].verdict);
  EXPECT_EQ(entry.explanation, entries[0].explanation);
}

TEST(JournalTest, NamesThePlaceOfABadEntry) {
  const auto malformed = Resolve([] { return JournalFromJson("{\"entries\": [}"); });
  EXPECT_EQ(malformed.error().kind, ErrorKind::kMalformedJson);
  const auto bad = Resolve([] { return JournalFromJson("{\"entries\": [{\"when_us\": 1}]}"); });
  EXPECT_EQ(bad.error().kind, ErrorKind::kBadValue);
  EXPECT_EQ(bad.error().place, "entry 1");
}

TEST(MetricsTest, ShowsEveryDeclaredStat) {
  MetricValues values;
  values.control_bytes_sent = 12;
  values.errors[static_cast<std::size_t>(ErrorKind::kNoRoute)] = 3;
  const std::string text = MetricsToText(values);
  EXPECT_NE(text.find("copperlead_control_bytes_sent_total 12"), std::string::npos);
  EXPECT_NE(text.find("copperlead_errors_total{kind=\"no_route\"} 3"), std::string::npos);
  EXPECT_EQ(text.find("bad_setting"), std::string::npos) << "never reaches a caller";
}

}  // namespace
}  // namespace copperlead
