#include <gtest/gtest.h>

#include "admin/metrics.h"
#include "admin/node_status.h"

namespace copperlead {
namespace {

LedgerEntry SomeEntry() {
  LedgerEntry entry;
  entry.when = Timestamp(Duration(1234567));
  entry.offer = {"node-2", {8, 1, 0xFFFFFFFFFFFFFFFFU}, true, {"secret permit-token"}, {}};
  entry.offer.table_digest.fill(0xAB);
  entry.before = {true, {7, 0, 42}, {}, {6, 0, 41}};
  entry.before.running_table.fill(0x0F);
  entry.verdict = VersionVerdict::kHeldIncomplete;
  entry.offer.fault = "row 3, column 4: bad_number";
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
  EXPECT_EQ(entry.offer.origin, entries[0].offer.origin);
  EXPECT_EQ(entry.offer.version, entries[0].offer.version);
  EXPECT_EQ(entry.offer.faulty, entries[0].offer.faulty);
  EXPECT_EQ(entry.offer.fault, entries[0].offer.fault);
  EXPECT_EQ(entry.offer.missing, entries[0].offer.missing);
  EXPECT_EQ(entry.offer.table_digest, entries[0].offer.table_digest);
  EXPECT_EQ(entry.before.running, entries[0].before.running);
  EXPECT_EQ(entry.before.running_table, entries[0].before.running_table);
  EXPECT_EQ(entry.before.floor, entries[0].before.floor);
  EXPECT_EQ(entry.before.joining, entries[0].before.joining);
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
