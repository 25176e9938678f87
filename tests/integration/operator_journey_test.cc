// An operator's day with the real `copperlead` command line and a fleet of real nodes: edit, check,
// plan, publish, watch, step back, a refused edit, a silent node, a cut-off zone, a replay.

#include <gmock/gmock.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "process_harness.h"

namespace copperlead::standin {
namespace {

using testing::HasSubstr;
using testing::Not;

constexpr char kCutZone[] = "ank-c";
// The secret's value, and as the source's document holds it.
constexpr char kSecretValue[] = "s3cret-value";
constexpr char kEncodedSecret[] = "czNjcmV0LXZhbHVl";
constexpr char kErrorLog[] = "copperlead";

struct CommandResult {
  int exit_code = -1;
  std::string output;
  std::string errors;
};

// Two nodes in each of two zones and one in a third, each behind a fault proxy. Only the first
// zone reads the source. Each test starts from a settled fleet. The nodes give tables back with
// their rows by route: /permits stands in row 3.
class OperatorJourneyTest : public testing::Test {
 protected:
  static void SetUpTestSuite() {
    fleet_ = new LocalFleet(Binaries());
    auto& plan = fleet_->configuration();
    plan.slots_by_service = {{"permit-desk", 6}};
    plan.secrets = {{"permit-token", kEncodedSecret}};
    plan.routes = {Row("permit-desk", "/permits"), Row("permit-desk", "/licences")};
    plan.routes[0].secret = "permit-token";
    for (const char* id : {"ank-a-1", "ank-a-2", "ank-b-1", "ank-b-2", "ank-c-1"}) {
      const std::string zone = std::string(id).substr(0, 5);
      fleet_->AddNode(id, zone, zone == "ank-a", true).plan.arguments = PollEvery(200);
    }
    fleet_->StartSource();
    fleet_->StartNodes();
  }
  static void TearDownTestSuite() {
    delete fleet_;
    fleet_ = nullptr;
  }

  void SetUp() override {
    ASSERT_TRUE(WaitFor([] { return fleet_->AllRun(Revision()); }));
    ASSERT_TRUE(WaitFor([] { return fleet_->AllSeeEachOther(); }));
  }
  // Whatever was shown in a test, no secret value was in it.
  void TearDown() override {
    for (const auto& node : fleet_->nodes()) {
      for (const char* path : {"/status", "/metrics", "/journal"}) {
        ExpectNoSecret(Get(node.plan.admin, path).body, node.plan.id + path);
      }
      const std::string log = fleet_->workplace().ReadLog(node.plan.id);
      ExpectNoSecret(log, "log of " + node.plan.id);
      if (HasFailure()) ADD_FAILURE() << "log of " << node.plan.id << ":\n" << log;
    }
  }

  static void ExpectNoSecret(const std::string& text, const std::string& place) {
    EXPECT_THAT(text, Not(HasSubstr(kSecretValue))) << place;
    EXPECT_THAT(text, Not(HasSubstr(kEncodedSecret))) << place;
  }
  static std::uint64_t Revision() { return fleet_->configuration().revision; }
  static std::string Admin(const std::string& id) { return ToString(fleet_->Node(id).plan.admin); }
  static std::string Write(const std::string& name, const std::string& content) {
    return fleet_->workplace().WriteFile(name, content);
  }
  // Runs the command line to its end, at most for kPatience.
  static CommandResult Copperlead(std::vector<std::string> arguments) {
    const auto& workplace = fleet_->workplace();
    const std::size_t errors_before = workplace.ReadLog(kErrorLog).size();
    arguments.insert(arguments.begin(), workplace.Program("copperlead"));
    ChildProcess process(arguments, workplace.LogFile(kErrorLog));
    CommandResult result;
    const auto until = std::chrono::steady_clock::now() + kPatience;
    while (const auto line = process.ReadLine(kPatience)) {
      result.output += *line + "\n";
      const bool too_long = std::chrono::steady_clock::now() > until;
      if (too_long) process.Signal(SIGKILL);  // A watch that should have ended.
    }
    result.exit_code = process.Wait(kPatience).value_or(-1);
    result.errors = workplace.ReadLog(kErrorLog).substr(errors_before);
    ExpectNoSecret(result.output + result.errors, arguments[1]);
    return result;
  }
  // Watches until the fleet runs the latest revision.
  static CommandResult Watch(const std::string& id) {
    return Copperlead({"status", "--node", Admin(id), "--watch", "--json", "--revision",
                       std::to_string(Revision())});
  }
  // Asks `status` again and again. @return whether it once exits 1 and shows `text`.
  static bool StatusComesToShow(const std::string& id, const std::string& text) {
    return WaitFor([&] {
      const auto shown = Copperlead({"status", "--node", Admin(id)});
      return shown.exit_code == 1 && shown.output.find(text) != std::string::npos;
    });
  }
  // A table as an operator keeps it: the one that the fleet runs.
  static std::string RunningTable() {
    return Copperlead({"stepback", "--node", Admin("ank-b-1"), "--to", std::to_string(Revision())})
        .output;
  }
  // Makes `table` the source's, under the next revision.
  static void PublishTable(const std::string& table) {
    auto document = nlohmann::json::parse(ToJson(fleet_->configuration()));
    document["revision"] = ++fleet_->configuration().revision;
    document["table"] = table;
    fleet_->PutConfiguration(document.dump());
  }
  static std::string Replaced(std::string text, const std::string& what, const std::string& with) {
    const auto place = text.find(what);
    EXPECT_NE(place, std::string::npos) << what << " is not in " << text;
    return place == std::string::npos ? text : text.replace(place, what.size(), with);
  }
  static std::string DigestOf(const std::string& id) {
    const auto view = AskNode(fleet_->Node(id).plan.admin);
    return view ? view->digest : "";
  }
  // A node that reads the source.
  static std::string Reader() {
    std::string reader;
    EXPECT_TRUE(WaitFor([&] {
      for (const auto& node : fleet_->nodes()) {
        const auto view = AskNode(node.plan.admin);
        if (view && view->reader) reader = node.plan.id;
      }
      return !reader.empty();
    }));
    return reader;
  }

  static LocalFleet* fleet_;
};

LocalFleet* OperatorJourneyTest::fleet_ = nullptr;

TEST_F(OperatorJourneyTest, EditCheckDiffPlanPublishWatchAndStepBack) {
  const auto first_revision = Revision();
  const std::string old_table = RunningTable();
  const std::string old_digest = DigestOf("ank-b-1");
  const auto old_file = Write("old.csv", old_table);
  const auto bad_file = Write("bad.csv", Replaced(old_table, "/permits,100,0,", "/permits,60,30,"));
  const auto new_table = Replaced(old_table, "/permits,100,0,", "/permits,60,40,");
  const auto new_file = Write("new.csv", new_table);

  const auto bad = Copperlead({"check", "--table", bad_file});
  EXPECT_EQ(bad.exit_code, 1);
  EXPECT_THAT(bad.output, HasSubstr(bad_file + ":3:"));
  EXPECT_THAT(bad.output, HasSubstr("weights_sum"));
  EXPECT_EQ(Copperlead({"check", "--table", new_file}).exit_code, 0);

  const auto diff = Copperlead({"diff", old_file, new_file});
  EXPECT_EQ(diff.exit_code, 1);
  EXPECT_THAT(diff.output, HasSubstr("/permits"));
  EXPECT_THAT(diff.output, HasSubstr("old_weight: 100 -> 60"));

  const auto plan = Copperlead({"plan", "--from", old_file, "--to", new_file, "--max-step", "20"});
  EXPECT_EQ(plan.exit_code, 0);
  EXPECT_THAT(plan.output, HasSubstr("step 2 of 2"));
  EXPECT_THAT(plan.output, HasSubstr("old_weight 80 -> 60"));

  PublishTable(new_table);
  const auto watched = Watch("ank-c-1");
  EXPECT_EQ(watched.exit_code, 0) << watched.errors;
  const auto last_line = watched.output.rfind('\n', watched.output.size() - 2) + 1;
  const auto last_look = nlohmann::json::parse(watched.output.substr(last_line));
  EXPECT_TRUE(last_look["settled"]);
  EXPECT_EQ(last_look["newest_revision"], Revision());
  EXPECT_EQ(last_look["zones"].size(), 3U);
  EXPECT_NE(DigestOf("ank-b-1"), old_digest);

  const auto back =
      Copperlead({"stepback", "--node", Admin("ank-b-1"), "--to", std::to_string(first_revision)});
  EXPECT_EQ(back.exit_code, 0);
  EXPECT_EQ(back.output, old_table);
  EXPECT_THAT(back.errors, HasSubstr("as revision " + std::to_string(Revision() + 1)));
  PublishTable(back.output);
  EXPECT_EQ(Watch("ank-c-1").exit_code, 0);
  for (const auto& node : fleet_->nodes()) EXPECT_EQ(DigestOf(node.plan.id), old_digest);
  EXPECT_GT(Revision(), first_revision + 1);
}

TEST_F(OperatorJourneyTest, BadEditIsRefusedWholeAndEndsTheWatch) {
  const auto before = Revision();
  const std::string reader = Reader();
  const auto good_table = RunningTable();
  // Two faults, and a good change that must not be applied alone.
  auto bad_table = Replaced(good_table, "/permits,100,0,", "/permits,101,0,");
  bad_table = Replaced(bad_table, "/licences,100,0,", "/licences,50,50,");
  PublishTable(bad_table);
  const auto watched = Watch(reader);
  EXPECT_EQ(watched.exit_code, 1);
  const auto place = "row 3, column " + std::to_string(kOldWeightColumn);
  EXPECT_THAT(watched.output, HasSubstr(place));
  const auto shown =
      Copperlead({"status", "--node", Admin(reader), "--revision", std::to_string(Revision())});
  EXPECT_EQ(shown.exit_code, 1);
  EXPECT_THAT(shown.output, HasSubstr(place));
  EXPECT_THAT(shown.output, HasSubstr("was refused: correct it and publish a higher one"));
  for (const auto& node : fleet_->nodes()) {
    EXPECT_TRUE(WaitFor([&] {
      const auto told = Copperlead({"status", "--node", Admin(node.plan.id)});
      return told.output.find(place) != std::string::npos;
    })) << node.plan.id;
  }
  EXPECT_TRUE(fleet_->AllRun(before));
  PublishTable(Replaced(good_table, "/permits,100,0,", "/permits,99,1,"));
  EXPECT_EQ(Watch(reader).exit_code, 0);
  PublishTable(good_table);
  EXPECT_EQ(Watch(reader).exit_code, 0);
}

TEST_F(OperatorJourneyTest, StatusNamesAStoppedNodeAndASilentZone) {
  {
    const Paused paused(*fleet_->Node("ank-b-2").process);
    EXPECT_TRUE(StatusComesToShow("ank-a-1", "not answering: ank-b-2 (ank-b), suspect"));
  }
  EXPECT_EQ(Watch("ank-a-1").exit_code, 0);
  {
    const Paused paused(*fleet_->Node("ank-b-2").process);
    PublishTable(RunningTable());
    EXPECT_TRUE(StatusComesToShow("ank-a-1", "behind: ank-b-2 (ank-b)"));
  }
  EXPECT_EQ(Watch("ank-a-1").exit_code, 0);

  CutTowardsZone(*fleet_, kCutZone);
  CutFromZone(*fleet_, kCutZone);
  PublishTable(RunningTable());
  EXPECT_TRUE(StatusComesToShow("ank-a-1", "cut off: zone ank-c"));
  HealNodes(*fleet_);
  EXPECT_EQ(Watch("ank-a-1").exit_code, 0);
}

TEST_F(OperatorJourneyTest, ReplayOfAJournalAndOfOneAltered) {
  const std::string reader = Reader();
  const auto good_table = RunningTable();
  PublishTable(Replaced(good_table, "/permits,100,0,", "/permits,0,101,"));
  EXPECT_EQ(Watch(reader).exit_code, 1);
  const auto body = Get(fleet_->Node(reader).plan.admin, "/journal").body;
  const auto same = Copperlead({"replay", Write("journal.json", body)});
  EXPECT_EQ(same.exit_code, 0) << same.errors;
  EXPECT_THAT(same.output, HasSubstr("refused_faulty: "));
  EXPECT_THAT(same.output, HasSubstr("row 3, column "));
  EXPECT_THAT(same.output, HasSubstr("decisions, all the same again"));

  auto journal = nlohmann::json::parse(body);
  auto& entries = journal["entries"];
  const auto refused = std::find_if(entries.begin(), entries.end(), [](const auto& entry) {
    return entry["verdict"] == "refused_faulty";
  });
  ASSERT_NE(refused, entries.end());
  (*refused)["verdict"] = "taken";
  const auto altered = Copperlead({"replay", Write("altered.json", journal.dump())});
  EXPECT_EQ(altered.exit_code, 1);
  const auto number = std::to_string(refused - entries.begin() + 1);
  EXPECT_THAT(altered.output,
              HasSubstr("entry " + number + " differs: recorded taken, replayed refused_faulty"));
  PublishTable(good_table);
  EXPECT_EQ(Watch(reader).exit_code, 0);
}

TEST_F(OperatorJourneyTest, WrongUseSaysWhatToDoNext) {
  const std::string node = Admin("ank-a-1");
  const std::string nobody = ToString(fleet_->workplace().NewAddress());
  const std::string folder = fleet_->workplace().folder();
  auto broken = fleet_->configuration();
  broken.secrets["permit-token"] = std::string(kEncodedSecret) + "!";
  const std::string broken_file = Write("broken.json", ToJson(broken));
  const struct {
    std::vector<std::string> arguments;
    int exit_code;
    std::string says;
  } cases[] = {
      {{"status", "--node", nobody}, 3, "is the node running?"},
      {{"status", "--node", nobody, "--watch"}, 3, "is the node running?"},
      {{"stepback", "--node", nobody, "--to", "1"}, 3, "is the node running?"},
      {{"stepback", "--node", node, "--to", "999"},
       1,
       "revision 999 is not in this node's history"},
      {{"stepback", "--node", node, "--to", "-1"}, 2, "a whole number, 1 and up"},
      {{"stepback", "--node", node}, 2, "--help shows an example"},
      {{"status", "--nod", node}, 2, "--help lists the options"},
      {{"status", "--node", "here"}, 2, "not an IP:PORT"},
      {{"simulate", "--nodes", "many"}, 2, "--help lists the options"},
      {{"check"}, 2, "--help shows an example"},
      {{"check", "--table", folder + "/none.csv"}, 2, "check the path"},
      {{"check", "--configuration", broken_file}, 1, "permit-token"},
      {{"replay", folder}, 2, "check the path"},
      {{"replay", broken_file}, 2, "is no journal"},
      {{"plan", "--from", broken_file}, 2, "--help shows an example"},
      {{"nothing"}, 2, "copperlead --help"},
      {{"status", "-h"}, 0, "example:"},
  };
  for (const auto& test : cases) {
    const auto result = Copperlead(test.arguments);
    const auto shown = testing::PrintToString(test.arguments);
    EXPECT_EQ(result.exit_code, test.exit_code) << shown;
    EXPECT_THAT(result.output + result.errors, HasSubstr(test.says)) << shown;
  }
  for (const char* command :
       {"check", "diff", "plan", "simulate", "load", "status", "replay", "stepback"}) {
    const auto help = Copperlead({command, "--help"});
    EXPECT_EQ(help.exit_code, 0) << command;
    EXPECT_THAT(help.output, HasSubstr(std::string("example:\n  "))) << command;
    EXPECT_THAT(help.output, HasSubstr("Exit 0")) << command;
  }
}

}  // namespace
}  // namespace copperlead::standin
