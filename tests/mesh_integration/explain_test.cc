// From a failed request's id to its cause, with real sidecars, their logs and `copperlead explain`;
// and the metrics of a sidecar.
#include <gtest/gtest.h>

#include <atomic>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

#include "sidecar/decision_log.h"
#include "tests/integration/process_harness.h"
#include "tests/mesh_integration/mesh_fleet.h"

namespace copperlead::standin {
namespace {

struct Explanation {
  int exit_code = -1;
  std::string text;
};

class Explain : public ::testing::Test {
 protected:
  void SetUp() override {
    fleet_.Configure(4);
    fleet_.Add("desk", "ank-a", 0);
    fleet_.Add("hub", "ank-a", 1);
    ASSERT_TRUE(fleet_.StartAll());
  }

  MeshMachine& desk() { return *fleet_.machines()[0]; }
  MeshMachine& hub() { return *fleet_.machines()[1]; }

  // Writes what each sidecar has logged so far into a file of its own.
  std::vector<std::string> GatherLogs() {
    std::vector<std::string> names;
    for (const auto& machine : fleet_.machines()) {
      names.push_back(::testing::TempDir() + "copperlead-" + machine->ip + ".log");
      std::ofstream file(names.back());
      file << "a foreign line\n{\"time\":1,\"node\":\"n\",\"event\":\"unheard_of\"}\n";
      while (const auto line = machine->decisions->ReadLine(std::chrono::milliseconds(600))) {
        file << *line << "\n";
      }
      file << R"({"time":1,"t":2,"node":"cut)";
    }
    return names;
  }

  Explanation Run(std::vector<std::string> arguments) {
    std::vector<std::string> command = {Binaries() + "/copperlead", "explain"};
    command.insert(command.end(), arguments.begin(), arguments.end());
    ChildProcess process(command, ::testing::TempDir() + "copperlead-explain.err");
    Explanation explanation;
    while (const auto line = process.ReadLine(std::chrono::seconds(5))) {
      explanation.text += *line + "\n";
    }
    explanation.exit_code = process.Wait(std::chrono::seconds(5)).value_or(-1);
    return explanation;
  }

  // Each line must have the fields that its kind declares, in that order.
  static void ExpectDeclaredFields(const std::vector<std::string>& logs) {
    for (const auto& name : logs) {
      std::ifstream file(name);
      for (std::string text; std::getline(file, text);) {
        const auto line = nlohmann::ordered_json::parse(text, nullptr, false);
        if (line.is_discarded()) continue;
        const auto declared = DeclaredFields(line.at("event"));
        if (!declared) continue;
        std::string written;
        for (const auto& [key, value] : line.items()) {
          if (key == "time" || key == "t" || key == "node" || key == "event") continue;
          written += (written.empty() ? "" : " ") + key;
        }
        EXPECT_EQ(written, *declared) << text;
      }
    }
  }

  // @return nothing for an unknown kind
  static std::optional<std::string> DeclaredFields(const std::string& event) {
    for (int kind = 0; kind < static_cast<int>(sidecar::EventKind::count); ++kind) {
      const auto& description = sidecar::describe(static_cast<sidecar::EventKind>(kind));
      if (description.name == event) return std::string(description.fields);
    }
    return std::nullopt;
  }

  // Lines of that event in all logs.
  static int CountLines(const std::vector<std::string>& logs, const std::string& event) {
    int count = 0;
    for (const auto& name : logs) {
      std::ifstream file(name);
      for (std::string text; std::getline(file, text);) {
        if (text.find("\"event\":\"" + event + "\"") != std::string::npos) ++count;
      }
    }
    return count;
  }

  // Explains a request by all logs and checks that each of `parts` appears, in this order.
  void ExpectStory(const std::string& id, const std::vector<std::string>& parts) {
    std::vector<std::string> arguments = {id};
    const auto logs = GatherLogs();
    ExpectDeclaredFields(logs);
    arguments.insert(arguments.end(), logs.begin(), logs.end());
    const Explanation explanation = Run(arguments);
    EXPECT_EQ(explanation.exit_code, 0);
    std::size_t at = 0;
    for (const std::string& part : parts) {
      const auto found = explanation.text.find(part, at);
      EXPECT_NE(found, std::string::npos) << part << " in\n" << explanation.text;
      if (found != std::string::npos) at = found;
    }
    EXPECT_NE(explanation.text.find("4 foreign or cut, 2 of unknown kinds"), std::string::npos)
        << explanation.text;
  }

  MeshFleet fleet_;
};

TEST_F(Explain, ARefusalUnderLoad) {
  desk().instance->SetWork(std::chrono::milliseconds(900));
  std::mutex mutex;
  std::string refused;  // Guarded by mutex.
  std::vector<std::thread> clients;
  for (int client = 0; client < 24; ++client) {
    clients.emplace_back([&, client] {
      MeshRequest request;
      request.method = "POST";
      request.path = "/buy/1";
      request.id = "load-" + std::to_string(client);
      request.body = "b";
      const int status = fleet_.Call(hub(), request).status;
      const std::lock_guard lock(mutex);
      if (status == 503) refused = request.id;
    });
  }
  for (auto& client : clients) client.join();
  ASSERT_FALSE(refused.empty());
  ExpectStory(refused,
              {"admission_refused", "cause=", "running=6", "request_refused", "status=503"});
}

TEST_F(Explain, ALeavingInstanceIsLoggedOnceBesideIt) {
  fleet_.List(desk(), "draining");
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  fleet_.Configure(5);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const auto logs = GatherLogs();
  EXPECT_EQ(CountLines(logs, "instance_leaving"), 1);
  ExpectDeclaredFields(logs);
}

TEST_F(Explain, AnAnswerThatWasLost) {
  desk().instance->SetFault({InstanceTrouble::kLost, 1});
  MeshRequest request;
  request.method = "POST";
  request.path = "/buy/1";
  request.id = "lost";
  request.body = "b";
  EXPECT_EQ(fleet_.Call(hub(), request).status, 502);
  ExpectStory("lost", {"attempt_ended", "instance=i-1", "outcome=unknown", "cause=answer_lost",
                       "next=give_up", "request_failed", "status=502", "arrivals=1"});
}

TEST_F(Explain, ARequestThatWentByAnOlderConfiguration) {
  fleet_.store().SetFault(1, {StoreTrouble::kSilent, {}});
  fleet_.Configure(9, ExtraRoute("new", "/new/", "desk"));
  MeshRequest request;
  request.path = "/new/1";
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(3);
  int sent = 0;
  do {
    request.id = "early-" + std::to_string(++sent);
  } while (fleet_.Call(desk(), request).status != 200 && std::chrono::steady_clock::now() < until);
  request.id = "older";
  EXPECT_NE(fleet_.Call(hub(), request).status, 200);
  const auto logs = GatherLogs();
  const Explanation story = Run({"older", logs[0], logs[1]});
  EXPECT_NE(story.text.find("request_unrouted"), std::string::npos) << story.text;
  EXPECT_NE(story.text.find("version=4"), std::string::npos) << story.text;
  EXPECT_NE(story.text.find("word_age_ms="), std::string::npos) << story.text;
  const Explanation version = Run({"--version", "9", logs[0], logs[1]});
  EXPECT_EQ(version.exit_code, 0);
  EXPECT_NE(version.text.find("configuration_taken"), std::string::npos);
  EXPECT_NE(version.text.find("node-" + desk().ip), std::string::npos);
  EXPECT_EQ(version.text.find("node-" + hub().ip), std::string::npos);
}

TEST_F(Explain, NothingFoundAndBadUsage) {
  EXPECT_EQ(Run({"nobody", "/dev/null"}).exit_code, 1);
  EXPECT_EQ(Run({"nobody"}).exit_code, 2);
  EXPECT_EQ(Run({"nobody", "/nowhere/log"}).exit_code, 2);
  EXPECT_EQ(Run({"--version", "x", "/dev/null"}).exit_code, 2);
}

TEST(Metrics, ShowOutcomesLatenciesVersionsAndAges) {
  MeshFleet fleet;
  fleet.Configure(4);
  MeshMachine& machine = fleet.Add("desk");
  const SocketAddress metrics{machine.ip, fleet.metrics_port()};
  fleet.Start(machine, {"--metrics", std::to_string(metrics.port) + "/figures"});
  ASSERT_TRUE(fleet.AwaitReady(machine));
  EXPECT_EQ(fleet.Call(machine, {}).status, 200);
  MeshRequest unrouted;
  unrouted.path = "/none/1";
  EXPECT_EQ(fleet.Call(machine, unrouted).status, 404);
  const HttpAnswer answer = Get(metrics, "/figures");
  EXPECT_EQ(answer.status, 200);
  for (const char* line :
       {"copperlead_requests_total 2", "copperlead_requests_served_total 1",
        "copperlead_requests_without_route_total 1", "copperlead_running_version 4",
        "copperlead_ready 1", "copperlead_attempts_ended_total{cause=\"none\"} 1",
        "copperlead_request_milliseconds_count 1", "copperlead_instance_run_milliseconds_bucket",
        "copperlead_instance_connect_milliseconds_count 1",
        "copperlead_source_word_age_milliseconds ", "copperlead_retry_budget_left "}) {
    EXPECT_NE(answer.body.find(line), std::string::npos) << line << "\n" << answer.body;
  }
  EXPECT_EQ(Get(metrics, "/other").status, 404);
}

}  // namespace
}  // namespace copperlead::standin
