// A store in which another writer has put an entry that can't be read, with a real sidecar. One
// such item made the node give up the whole answer, ask again from the same revision and learn
// nothing more for as long as it lay there: a node that started then was never ready, one that ran
// took no later configuration.
#include <gtest/gtest.h>

#include "tests/mesh_integration/mesh_fleet.h"
#include "tests/proxy/raw_socket.h"

namespace copperlead::standin {
namespace {

struct ForeignItem {
  const char* name;
  const char* fields;  // In place of the usual ones of an item of the store.
};

// "e30=" is {}, "gICA" are three bytes that are no UTF-8, "W10=" is [].
constexpr ForeignItem kItems[] = {
    {"NotBase64", R"({"value":"%%%"})"},
    {"NumberAsValue", R"({"value":7})"},
    {"ListAsValue", R"({"value":[]})"},
    {"NoValue", R"({"value":null})"},
    {"TextAsCreation", R"({"value":"e30=","created_at":"now"})"},
    {"TextAsRevision", R"({"value":"e30=","revision":"4"})"},
    {"NoFields", R"({"value":"e30="})"},
    {"NoText", R"({"value":"gICA"})"},
    {"List", R"({"value":"W10="})"},
};

class ForeignEntries : public ::testing::TestWithParam<ForeignItem> {
 protected:
  void SetUp() override { fleet_.Configure(4); }

  int Call(const std::string& path) {
    MeshRequest request;
    request.path = path;
    return fleet_.Call(*fleet_.machines()[0], request).status;
  }

  void Write(const std::string& key) { fleet_.store().PutForeign(key, GetParam().fields); }

  MeshFleet fleet_;
};

TEST_P(ForeignEntries, DoNotKeepANodeFromStarting) {
  fleet_.Add("desk");
  Write("servers/foreign");
  ASSERT_TRUE(fleet_.StartAll());
  EXPECT_EQ(Call("/look/1"), 200);
}

TEST_P(ForeignEntries, DoNotKeepANodeFromLearningWhatComesLater) {
  fleet_.Add("desk");
  ASSERT_TRUE(fleet_.StartAll());
  Write("servers/foreign");
  fleet_.Configure(5, ExtraRoute("new", "/new/", "desk"));
  EXPECT_TRUE(Eventually([&] { return Call("/new/1") == 200; }));
}

TEST_P(ForeignEntries, TakeTheInstanceWhoseEntryTheyReplaceOutOfUse) {
  MeshMachine& replaced = fleet_.Add("desk");
  fleet_.Add("desk");
  ASSERT_TRUE(fleet_.StartAll());
  Write("servers/" + replaced.instance_id);
  const auto runs_at_replaced = [&] {
    const auto before = replaced.instance->runs().size();
    for (int call = 0; call < 10; ++call) EXPECT_EQ(Call("/look/1"), 200);
    return replaced.instance->runs().size() - before;
  };
  EXPECT_TRUE(Eventually([&] { return runs_at_replaced() == 0; }));
  fleet_.List(replaced);
  EXPECT_TRUE(Eventually([&] { return runs_at_replaced() > 0; }));
}

INSTANTIATE_TEST_SUITE_P(Items, ForeignEntries, ::testing::ValuesIn(kItems),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace copperlead::standin
