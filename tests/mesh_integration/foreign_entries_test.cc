// A store in which another writer has put an entry that can't be read, with a real sidecar. One
// such item made the node give up the whole answer, ask again from the same revision and learn
// nothing more for as long as it lay there: a node that started then was never ready, one that ran
// took no later configuration.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "tests/mesh_integration/mesh_fleet.h"
#include "tests/proxy/raw_socket.h"

namespace copperlead::standin {
namespace {

struct ForeignItem {
  const char* name;
  std::string fields;      // In place of the usual ones of an item of the store.
  std::string entry = "";  // The text that the item holds, if it has the usual fields.
};

// JSON that is nested so deeply that a recursive reader runs out of stack.
std::string DeeplyNested() {
  constexpr std::size_t kDepth = 100'000;
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

// An entry that is sound but for one field.
std::string EntryWith(const std::string& name, const std::string& value) {
  std::map<std::string, std::string> fields = {{"service", "\"desk\""},
                                               {"address", "\"127.0.0.1:8145\""},
                                               {"zone", "\"ank-a\""},
                                               {"version", "\"v1\""},
                                               {"slots", "6"},
                                               {"state", "\"ready\""},
                                               {"cold_remaining_ms", "0"},
                                               {"call_seq", "1"},
                                               {"born", "1"}};
  fields[name] = value;
  std::string text;
  for (const auto& [key, field] : fields) text += ",\"" + key + "\":" + field;
  return "{" + text.substr(1) + "}";
}

// "e30=" is {}, "gICA" are three bytes that are no UTF-8, "W10=" is [].
const ForeignItem kItems[] = {
    {"NotBase64", R"({"value":"%%%"})"},
    {"NumberAsValue", R"({"value":7})"},
    {"ListAsValue", R"({"value":[]})"},
    {"NoValue", R"({"value":null})"},
    {"TextAsCreation", R"({"value":"e30=","created_at":"now"})"},
    {"TextAsRevision", R"({"value":"e30=","revision":"4"})"},
    {"NoFields", R"({"value":"e30="})"},
    {"NoText", R"({"value":"gICA"})"},
    {"List", R"({"value":"W10="})"},
    {"NestedEntry", "", DeeplyNested()},
    {"NestedField", "", EntryWith("slots", DeeplyNested())},
    {"RevisionTooLarge", R"({"value":"e30=","revision":1e300})"},
    {"SlotsTooLarge", "", EntryWith("slots", "99999999999999999999999")},
    {"SlotsBeyondDouble", "", EntryWith("slots", "1e400")},
    {"SlotsBeyondInteger", "", EntryWith("slots", "1e300")},
    {"NegativeSlots", "", EntryWith("slots", "-1")},
    {"BornTooLarge", "", EntryWith("born", "18446744073709551616")},
    {"ColdTimeTooLarge", "", EntryWith("cold_remaining_ms", "9223372036854775808")},
    {"ColdTimeBeyondInteger", "", EntryWith("cold_remaining_ms", "1e300")},
    {"CallsTooLarge", "", EntryWith("call_seq", "1e300")},
    {"PortTooLarge", "", EntryWith("address", "\"127.0.0.1:65536\"")},
    {"PortFarTooLarge", "", EntryWith("address", "\"127.0.0.1:99999999999999999999\"")},
    {"PortZero", "", EntryWith("address", "\"127.0.0.1:0\"")},
    {"NegativePort", "", EntryWith("address", "\"127.0.0.1:-1\"")},
    {"NoPort", "", EntryWith("address", "\"127.0.0.1\"")},
};

class ForeignEntries : public ::testing::TestWithParam<ForeignItem> {
 protected:
  void SetUp() override { fleet_.Configure(4); }

  int Call(const std::string& path) {
    MeshRequest request;
    request.path = path;
    return fleet_.Call(*fleet_.machines()[0], request).status;
  }

  void Write(const std::string& key) {
    if (GetParam().fields.empty()) {
      fleet_.store().Put(key, GetParam().entry);
    } else {
      fleet_.store().PutForeign(key, GetParam().fields);
    }
  }

  // No process has ended by itself.
  void TearDown() override {
    for (const auto& machine : fleet_.machines()) EXPECT_TRUE(machine->sidecar->running());
  }

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
