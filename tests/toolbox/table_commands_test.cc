// The commands check, diff and plan as an operator runs them: files in, lines and exit code out.

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "toolbox/command.h"

namespace copperlead {
namespace {

using ::testing::HasSubstr;
using ::testing::IsEmpty;
using ::testing::Not;
using ::testing::StartsWith;

const std::string kHeader =
    "service,route,old_weight,new_weight,timeout_ms,requests_per_second,max_in_flight,max_retries,"
    "repeatable,secret\n";
const std::string kNow =
    kHeader + "permit-desk,/permits,100,0,2000,0,24,1,by-method,permit-token\n";
const std::string kGoal =
    kHeader + "permit-desk,/permits,0,100,2000,0,24,1,by-method,permit-token\n";

// A configuration whose secret's value is "s3cret-value".
std::string Configuration(const std::string& table, const std::string& secret = "permit-token") {
  const nlohmann::json document = {
      {"revision", 7},
      {"table", table},
      {"services",
       {{"permit-desk", {{"slots_per_instance", 6}, {"connections_per_instance", 130}}}}},
      {"secrets", {{secret, "czNjcmV0LXZhbHVl"}}}};
  return document.dump();
}

// `old_count` and `new_count` live back ends of permit-desk, and a leaving one at the new site.
std::string Machines(int old_count, int new_count) {
  nlohmann::json machines = nlohmann::json::array();
  for (int index = 0; index <= old_count + new_count; ++index) {
    machines.push_back({{"id", "permit-desk-" + std::to_string(index)},
                        {"kind", "backend"},
                        {"service", "permit-desk"},
                        {"site", index < old_count ? "old" : "new"},
                        {"zone", "ank-a"},
                        {"address", "127.0.0.1:" + std::to_string(9000 + index)},
                        {"state", index < old_count + new_count ? "live" : "leaving"}});
  }
  return nlohmann::json{{"sequence", 1}, {"machines", machines}}.dump();
}

struct CommandResult {
  int exit_code = 0;
  std::string output;
  std::string errors;
};

// Files of one test, removed after it.
class TableCommandsTest : public ::testing::Test {
 protected:
  TableCommandsTest() {
    directory_ = std::filesystem::temp_directory_path() /
                 ("copperlead-table-commands-" + std::to_string(getpid()));
    std::filesystem::create_directory(directory_);
  }
  ~TableCommandsTest() override { std::filesystem::remove_all(directory_); }

  std::string Write(const std::string& name, const std::string& content) {
    const std::string path = (directory_ / name).string();
    std::ofstream(path, std::ios::binary) << content;
    return path;
  }

  static CommandResult Run(const std::string& name, const std::vector<std::string>& arguments) {
    std::ostringstream output;
    std::ostringstream errors;
    auto* const real_output = std::cout.rdbuf(output.rdbuf());
    auto* const real_errors = std::cerr.rdbuf(errors.rdbuf());
    CommandResult result;
    for (const auto& command : AllCommands()) {
      if (command.name == name) result.exit_code = command.run(arguments);
    }
    std::cout.rdbuf(real_output);
    std::cerr.rdbuf(real_errors);
    result.output = output.str();
    result.errors = errors.str();
    return result;
  }

 private:
  std::filesystem::path directory_;
};

TEST_F(TableCommandsTest, CheckPrintsEveryFaultWithItsPlace) {
  const std::string bad =
      kHeader + "permit-desk,/a,60,50,0,0,0,1,maybe,\nrecords-hub,/b,50,50,1,0,0,0,no,lost\n";
  const std::string table = Write("bad.csv", bad);
  const auto result = Run("check", {"--table", table});
  EXPECT_EQ(result.exit_code, kExitNotSo);
  EXPECT_EQ(result.output,
            table + ":2:4: weights_sum: old_weight 60 + new_weight 50 = 110, must be 100\n" +
                table + ":2:5: out_of_range: \"0\" must be 1 to 4294967295\n" + table +
                ":2:9: bad_value: \"maybe\" must be yes, no or by-method\n");
  const std::string configuration = Write("bad.json", Configuration(bad));
  const auto full = Run("check", {"--configuration", configuration, "--json"});
  EXPECT_EQ(full.exit_code, kExitNotSo);
  std::vector<std::string> kinds;
  const auto document = nlohmann::json::parse(full.output);
  for (const auto& fault : document.at("faults")) {
    kinds.push_back(fault.at("kind").get<std::string>());
  }
  EXPECT_THAT(kinds, ::testing::ElementsAre("weights_sum", "out_of_range", "bad_value",
                                            "unknown_service", "unknown_secret"));
}

TEST_F(TableCommandsTest, CheckPassesGoodFilesAndPlacesJsonFaults) {
  EXPECT_EQ(Run("check", {"--table", Write("good.csv", kNow)}).exit_code, kExitGood);
  const std::string good = Write("good.json", Configuration(kNow));
  EXPECT_EQ(Run("check", {"--configuration", good}).exit_code, kExitGood);
  const std::string cut = Write("cut.json", "{\n\"revision\": 7,}");
  const auto result = Run("check", {"--configuration", cut});
  EXPECT_EQ(result.exit_code, kExitNotSo);
  EXPECT_THAT(result.output, StartsWith(cut + ":0:0: malformed_json: line 2, byte 17: "));
}

TEST_F(TableCommandsTest, DiffShowsCellsAndNoSecretValue) {
  const std::string now = Write("now.json", Configuration(kNow));
  const std::string goal = Write("goal.csv", kGoal);
  const auto result = Run("diff", {now, goal});
  EXPECT_EQ(result.exit_code, kExitNotSo);
  EXPECT_EQ(result.output,
            "changed /permits (service permit-desk)\n  old_weight: 100 -> 0\n"
            "  new_weight: 0 -> 100\n");
  EXPECT_EQ(Run("diff", {now, now}).exit_code, kExitGood);
  const std::string table = kHeader + "permit-desk,/permits,100,0,2000,0,24,1,by-method,other\n";
  const std::string renamed = Write("renamed.json", Configuration(table, "other"));
  const auto json = Run("diff", {now, renamed, "--json"});
  EXPECT_EQ(json.exit_code, kExitNotSo);
  EXPECT_EQ(nlohmann::json::parse(json.output).at("resources").size(), 2U);
  EXPECT_THAT(json.output, Not(HasSubstr("s3cret")));
  EXPECT_THAT(json.output, Not(HasSubstr("czNj")));
}

TEST_F(TableCommandsTest, PlanFitsTheSlotsOrNamesWhatIsMissing) {
  const std::string now = Write("now.json", Configuration(kNow));
  const std::string goal = Write("goal.json", Configuration(kGoal));
  std::vector<std::string> arguments = {
      "--from",     now,  "--to",       goal,
      "--max-step", "40", "--machines", Write("m.json", Machines(4, 4))};
  const auto good = Run("plan", arguments);
  EXPECT_EQ(good.exit_code, kExitGood) << good.errors;
  EXPECT_THAT(good.output, StartsWith("step 1 of 3\n"));
  EXPECT_THAT(good.output, HasSubstr("needs 0 of 24 slots on the old site, 24 of 24 on the new"));
  arguments.back() = Write("few.json", Machines(4, 3));
  const auto refused = Run("plan", arguments);
  EXPECT_EQ(refused.exit_code, kExitNotSo);
  EXPECT_THAT(refused.output, IsEmpty());
  EXPECT_THAT(refused.errors, HasSubstr("impossible_plan: service permit-desk: after step 3 of 3 "
                                        "the new site needs 24 slots and has 18: 6 missing"));
  arguments.insert(arguments.end(), {"--load", Write("l.json", "{\"permit-desk\": 18}"), "--json"});
  const auto measured = Run("plan", arguments);
  EXPECT_EQ(measured.exit_code, kExitGood) << measured.errors;
  EXPECT_EQ(nlohmann::json::parse(measured.output).at("steps").size(), 3U);
}

TEST_F(TableCommandsTest, BadInputExitsWith2AndSaysWhatToDo) {
  const std::string now = Write("now.csv", kNow);
  const std::string goal = Write("goal.csv", kGoal);
  const std::string faulty = Write("faulty.csv", kHeader + "x,/x,1,1,1,0,0,0,no,\n");
  const std::string machines = Write("machines.json", Machines(1, 1));
  const std::string load = Write("load.json", "{\"permit-desk\": -1}");
  const std::string configuration = Write("configuration.json", Configuration(kNow));
  const std::string missing = now + ".missing";
  struct Case {
    std::string command;
    std::vector<std::string> arguments;
    std::string hint;
  };
  const Case cases[] = {
      {"check", {}, "--configuration FILE or --table FILE"},
      {"check", {"--table", now, "--configuration", now}, "either"},
      {"check", {"--table", missing}, "No such file or directory; check the path"},
      {"check", {"--colour"}, "--help"},
      {"diff", {now}, "two files"},
      {"diff", {now, faulty}, "copperlead check --table " + faulty},
      {"diff", {now, missing}, "check the path"},
      {"plan", {"--from", now}, "--to"},
      {"plan", {"--from", now, "--to", goal}, "--max-step: required"},
      {"plan", {"--from", now, "--to", goal, "--max-step", "-1"}, "whole number"},
      {"plan", {"--from", now, "--to", goal, "--max-step", "0"}, "1 to 100"},
      {"plan",
       {"--from", now, "--to", goal, "--max-step", "9", "--machines", machines},
       "--configuration FILE"},
      {"plan",
       {"--from", now, "--to", goal, "--max-step", "9", "--load", load},
       "add --machines FILE"},
      {"plan",
       {"--from", now, "--to", goal, "--max-step", "9", "--machines", machines, "--configuration",
        configuration, "--load", load},
       "/permit-desk"},
  };
  for (const auto& test_case : cases) {
    const auto result = Run(test_case.command, test_case.arguments);
    EXPECT_EQ(result.exit_code, kExitUsage) << test_case.hint;
    EXPECT_THAT(result.errors, HasSubstr(test_case.hint));
    EXPECT_THAT(result.output, IsEmpty()) << test_case.hint;
  }
}

TEST_F(TableCommandsTest, HelpShowsAnExample) {
  for (const char* name : {"check", "diff", "plan"}) {
    const auto result = Run(name, {"--help"});
    EXPECT_EQ(result.exit_code, kExitGood) << name;
    EXPECT_THAT(result.output, HasSubstr("example:\n  copperlead " + std::string(name))) << name;
  }
}

}  // namespace
}  // namespace copperlead
