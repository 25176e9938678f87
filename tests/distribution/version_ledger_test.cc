// The contract of the version ledger as a table of cases. A second test breaks each rule on purpose
// and requires that at least one case then fails.
#include "distribution/version_ledger.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>

namespace copperlead {
namespace {

using V = VersionVerdict;

Offer Of(std::uint64_t revision, std::uint32_t epoch, std::uint64_t content, std::uint8_t table) {
  Offer offer;
  offer.origin = "peer-1";
  offer.version = {revision, epoch, content};
  offer.table_digest.fill(table);
  return offer;
}

Offer Faulty(Offer offer) {
  offer.faulty = true;
  return offer;
}

Offer Incomplete(Offer offer) {
  offer.missing = {"secret permit-token"};
  return offer;
}

// A version that is offered, and the verdict that it must get.
struct LedgerStep {
  Offer offer;
  VersionVerdict expected;
};

struct LedgerCase {
  std::string name;
  DocumentVersion floor;
  bool joining = false;
  std::vector<LedgerStep> steps;
};

std::vector<LedgerCase> Contract() {
  return {
      {"first", {}, false, {{Of(7, 0, 1, 1), V::kTaken}}},
      {"higher revision", {}, false, {{Of(7, 0, 1, 1), V::kTaken}, {Of(9, 0, 2, 2), V::kTaken}}},
      {"repeated", {}, false, {{Of(7, 0, 1, 1), V::kTaken}, {Of(7, 0, 1, 1), V::kAlreadyRunning}}},
      {"older revision",
       {},
       false,
       {{Of(7, 0, 1, 1), V::kTaken},
        {Of(6, 0, 2, 2), V::kRefusedOlder},
        {Of(6, 9, 9, 2), V::kRefusedOlder}}},
      {"older after a late one",
       {},
       false,
       {{Of(6, 0, 1, 1), V::kTaken},
        {Of(8, 0, 2, 2), V::kTaken},
        {Of(7, 0, 3, 3), V::kRefusedOlder},
        {Of(8, 0, 2, 2), V::kAlreadyRunning}}},
      {"other secrets",
       {},
       false,
       {{Of(7, 0, 1, 1), V::kTaken},
        {Of(7, 1, 5, 1), V::kTaken},
        {Of(7, 0, 1, 1), V::kRefusedOlder}}},
      {"one epoch, other content: the higher value wins",
       {},
       false,
       {{Of(7, 1, 5, 1), V::kTaken},
        {Of(7, 1, 4, 1), V::kRefusedOlder},
        {Of(7, 1, 6, 1), V::kTaken}}},
      {"conflict",
       {},
       false,
       {{Of(7, 0, 5, 1), V::kTaken},
        {Of(7, 0, 9, 2), V::kRefusedConflict},
        {Of(7, 3, 9, 2), V::kRefusedConflict},
        {Of(7, 0, 1, 2), V::kRefusedConflict},
        {Of(8, 0, 1, 2), V::kTaken}}},
      {"below the floor",
       {9, 1, 3},
       false,
       {{Of(8, 0, 1, 1), V::kRefusedFloor},
        {Of(9, 0, 1, 1), V::kRefusedFloor},
        {Of(9, 1, 3, 1), V::kTaken}}},
      {"floor reached by a higher one", {9, 0, 3}, false, {{Of(10, 0, 1, 1), V::kTaken}}},
      {"faulty",
       {},
       false,
       {{Of(7, 0, 1, 1), V::kTaken},
        {Faulty(Of(8, 0, 2, 2)), V::kRefusedFaulty},
        {Of(8, 0, 3, 3), V::kTaken}}},
      {"incomplete, then complete",
       {},
       false,
       {{Incomplete(Of(7, 0, 1, 1)), V::kHeldIncomplete}, {Of(7, 0, 2, 1), V::kTaken}}},
      {"faulty and incomplete",
       {},
       false,
       {{Faulty(Incomplete(Of(7, 0, 1, 1))), V::kRefusedFaulty}}},
      {"joining", {}, true, {{Of(7, 0, 1, 1), V::kHeldJoining}, {Of(8, 0, 1, 1), V::kHeldJoining}}},
      {"joining, below the floor", {9, 0, 1}, true, {{Of(7, 0, 1, 1), V::kRefusedFloor}}},
  };
}

// @return the names of the cases that a ledger with these faults gets wrong.
std::vector<std::string> FailingCases(const LedgerFaults& faults) {
  std::vector<std::string> failing;
  for (const LedgerCase& contract : Contract()) {
    VersionLedger ledger(faults);
    ledger.SetJoining(contract.joining);
    ledger.RaiseFloor(contract.floor);
    bool passed = true;
    for (const LedgerStep& step : contract.steps) {
      if (ledger.Decide(Timestamp{}, step.offer) != step.expected) passed = false;
    }
    if (!passed) failing.push_back(contract.name);
  }
  return failing;
}

TEST(VersionLedgerTest, KeepsItsContract) { EXPECT_THAT(FailingCases({}), testing::IsEmpty()); }

TEST(VersionLedgerTest, EveryBrokenVariantIsCaught) {
  const std::vector<std::pair<bool LedgerFaults::*, std::string>> variants = {
      {&LedgerFaults::accept_older, "older revision"},
      {&LedgerFaults::ignore_floor, "below the floor"},
      {&LedgerFaults::accept_incomplete, "incomplete, then complete"},
      {&LedgerFaults::accept_faulty, "faulty"},
      {&LedgerFaults::replace_on_conflict, "conflict"},
  };
  for (const auto& [variant, caught_by] : variants) {
    LedgerFaults faults;
    faults.*variant = true;
    EXPECT_THAT(FailingCases(faults), testing::Contains(caught_by));
  }
}

TEST(VersionLedgerTest, ShowsWhatWaitsAndWhatConflictsUntilItEnds) {
  VersionLedger ledger;
  ledger.SetJoining(false);
  ledger.Decide(Timestamp{}, Of(7, 0, 1, 1));
  ledger.Decide(Timestamp{}, Of(7, 0, 2, 2));
  ASSERT_TRUE(ledger.conflict().has_value());
  EXPECT_THAT(ledger.conflict()->explanation, testing::HasSubstr("same revision"));
  ledger.Decide(Timestamp{}, Incomplete(Of(8, 0, 3, 3)));
  ASSERT_TRUE(ledger.waiting().has_value());
  EXPECT_THAT(ledger.waiting()->explanation, testing::HasSubstr("secret permit-token"));
  EXPECT_EQ(ledger.running().major, 7U);
  ledger.Decide(Timestamp{}, Of(8, 0, 4, 3));
  EXPECT_FALSE(ledger.waiting().has_value());
  EXPECT_FALSE(ledger.conflict().has_value());
}

TEST(VersionLedgerTest, FloorOnlyRisesAndEntriesAreBounded) {
  VersionLedger ledger;
  ledger.RaiseFloor({9, 0, 1});
  ledger.RaiseFloor({8, 5, 1});
  EXPECT_EQ(ledger.floor().major, 9U);
  for (std::size_t count = 0; count < kMaxLedgerEntries + 10; ++count) {
    ledger.Decide(Timestamp{}, Of(1, 0, 1, 1));
  }
  EXPECT_EQ(ledger.entries().size(), kMaxLedgerEntries);
}

}  // namespace
}  // namespace copperlead
