#include "snapshot/bundle.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

#include "tests/snapshot/fixtures.h"

namespace copperlead {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

TEST(SealTest, VersionConsistsOfRevisionAndEpoch) {
  Bundle bundle = MakeBundle(2, 2);
  bundle.resource_epoch = 3;
  Seal(bundle);
  EXPECT_EQ(bundle.version.major, 7U);
  EXPECT_EQ(bundle.version.minor, 3U);
  EXPECT_EQ(bundle.table_digest, DigestOf(bundle.table));
}

TEST(SealTest, ContentHashIgnoresRowOrderAndVersion) {
  const Bundle original = MakeBundle(3, 3);
  Bundle shuffled = original;
  std::ranges::reverse(shuffled.table.rows);
  shuffled.revision = 8;
  shuffled.resource_epoch = 1;
  Seal(shuffled);
  EXPECT_EQ(shuffled.version.content_hash, original.version.content_hash);
  EXPECT_EQ(shuffled.table, original.table);
}

TEST(SealTest, ContentHashDependsOnEveryPart) {
  const Bundle original = MakeBundle(2, 2);
  struct Case {
    const char* name;
    void (*change)(Bundle&);
    bool table_changes;
  };
  const Case cases[] = {
      {"cell", [](Bundle& bundle) { bundle.table.rows[0].max_retries = 9; }, true},
      {"row", [](Bundle& bundle) { bundle.table.rows.pop_back(); }, true},
      {"slots", [](Bundle& bundle) { bundle.services["service-0"].slots_per_instance = 7; }, false},
      {"service",
       [](Bundle& bundle) {
         bundle.services["another"] = {6, 130};
       },
       false},
      {"secret", [](Bundle& bundle) { bundle.secrets["token-of-service-0"] = "new"; }, false},
      {"name", [](Bundle& bundle) { bundle.secrets["another"] = ""; }, false},
  };
  for (const auto& test_case : cases) {
    Bundle changed = original;
    test_case.change(changed);
    Seal(changed);
    EXPECT_NE(changed.version.content_hash, original.version.content_hash) << test_case.name;
    EXPECT_EQ(changed.table_digest != original.table_digest, test_case.table_changes)
        << test_case.name;
    EXPECT_TRUE(IsConflict(changed.version, original.version)) << test_case.name;
  }
}

TEST(SealTest, ContentHashDependsOnStringBoundaries) {
  Bundle left = MakeBundle(1, 1);
  Bundle right = left;
  left.secrets = {{"ab", "c"}};
  right.secrets = {{"a", "bc"}};
  Seal(left);
  Seal(right);
  EXPECT_NE(left.version.content_hash, right.version.content_hash);
}

TEST(MachineListSealTest, SortsByIdAndHashesTheState) {
  const MachineList original = MakeMachines(3);
  MachineList reversed = original;
  std::ranges::reverse(reversed.machines);
  Seal(reversed);
  EXPECT_EQ(reversed.version, original.version);
  MachineList leaving = original;
  leaving.machines[1].state = MachineState::kLeaving;
  Seal(leaving);
  EXPECT_NE(leaving.version.content_hash, original.version.content_hash);
}

TEST(MissingResourcesTest, ListsEachServiceAndSecretOnce) {
  Bundle bundle = MakeBundle(2, 3);
  EXPECT_THAT(FindMissingResources(bundle), IsEmpty());
  bundle.services.erase("service-1");
  bundle.secrets.erase("token-of-service-0");
  EXPECT_THAT(FindMissingResources(bundle),
              ElementsAre("service service-1", "secret token-of-service-0"));
}

TEST(MissingResourcesTest, AnEmptySecretIsNotMissing) {
  Bundle bundle = MakeBundle(1, 1);
  bundle.table.rows[0].secret.clear();
  bundle.secrets.clear();
  EXPECT_THAT(FindMissingResources(bundle), IsEmpty());
}

TEST(RetainReferencedResourcesTest, RetainsOnlyWhatTheTableReferences) {
  const Bundle running = MakeBundle(3, 1);
  Bundle next = running;
  next.services.clear();
  next.secrets = {{"token-of-service-0", "rotated"}};
  std::erase_if(next.table.rows, [](const RouteRow& row) { return row.service == "service-2"; });
  next.table.rows[0].service = "nowhere";
  RetainReferencedResources(next, running);
  EXPECT_THAT(next.services,
              ElementsAre(std::pair<const std::string, ServiceSettings>("service-1", {6, 130})));
  EXPECT_EQ(next.secrets.at("token-of-service-0"), "rotated");
  EXPECT_EQ(next.secrets.at("token-of-service-1"), "secret value of service-1");
  EXPECT_FALSE(next.secrets.contains("token-of-service-2"));
  EXPECT_THAT(FindMissingResources(next), ElementsAre("service nowhere"));
}

}  // namespace
}  // namespace copperlead
