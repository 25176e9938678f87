#include "distribution/fleet_refusal.h"

#include <gtest/gtest.h>

namespace copperlead {
namespace {

DocumentVersion Version(std::uint64_t revision, std::uint64_t content = 1) {
  DocumentVersion version;
  version.major = revision;
  version.content_hash = content;
  return version;
}

TEST(FleetRefusalTest, KeepsTheLatestRefusedVersion) {
  FleetRefusal refusal;
  refusal.SetRunning(Version(4));
  refusal.Record({Version(6), "n1", "row 3"});
  refusal.Record({Version(5), "n2", "row 2"});
  ASSERT_TRUE(refusal.known());
  EXPECT_EQ(refusal.known()->node, "n1");
  refusal.Record({Version(7), "n2", "row 9"});
  EXPECT_EQ(refusal.known()->explanation, "row 9");
}

TEST(FleetRefusalTest, DropsRefusalsThatTheRunningVersionSupersedes) {
  FleetRefusal refusal;
  refusal.Record({Version(6), "n1", "row 3"});
  refusal.SetRunning(Version(5));
  EXPECT_TRUE(refusal.known());
  refusal.SetRunning(Version(7));
  EXPECT_FALSE(refusal.known());
  refusal.Record({Version(6), "n1", "row 3"});
  EXPECT_FALSE(refusal.known());
}

TEST(FleetRefusalTest, AnotherTableUnderTheRunningRevisionStaysKnown) {
  FleetRefusal refusal;
  refusal.SetRunning(Version(5, 1));
  refusal.Record({Version(5, 1), "n1", "its own"});
  EXPECT_FALSE(refusal.known());
  refusal.Record({Version(5, 2), "n1", "conflict"});
  refusal.SetRunning(Version(5, 1));
  EXPECT_TRUE(refusal.known());
}

}  // namespace
}  // namespace copperlead
