// Instances of one service ended one after the other, in pairs a quarter of a second apart, for as
// long as one client sent the same lookup again and again, each time to another machine. Each of
// its attempts had a new id, so no node knew it from any other request: the node that took it saw a
// connection end, took that for a lost answer and sent the request to a second instance, which
// ended as well; all that ran beside it failed with it. In the logs each pair had the same shape:
//
//   attempt_ended request=a10b77a0 instance=i-8df9 outcome=unknown cause=answer_lost
//   next=spend_retry attempt_ended request=a10b77a0 instance=i-021c outcome=unknown
//   cause=answer_lost next=give_up
//
// What settled it were the digests of what ran in each crash (instance_crashed): in a run of this
// test one digest stood in all of 30 crashes, 18 others in one each. Six instances for 12 s, before
// the mend: 30 crashes, 20 arrivals later than 3 s after the third, 721 of 3,120 ordinary requests
// served.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>

#include "tests/mesh_integration/mesh_fleet.h"

namespace copperlead::standin {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr char kCrashing[] = "/look/crashes";
constexpr int kMachines = 6;
constexpr auto kPause = milliseconds(250);  // Between two attempts of the client.
constexpr auto kConnected = std::chrono::seconds(3);
constexpr auto kDay = std::chrono::seconds(12);
constexpr std::size_t kMostLater = 3;

class CrashingRequest : public ::testing::TestWithParam<bool> {
 protected:
  void SetUp() override {
    fleet_.Configure(4);
    InstanceCrash crash;
    crash.target = kCrashing;
    crash.keeps_id = GetParam();
    for (int added = 0; added < kMachines; ++added) {
      fleet_.Add("desk", added % 2 == 0 ? "ank-a" : "ank-b").instance->SetCrash(crash);
    }
    ASSERT_TRUE(fleet_.StartAll());
    for (int call = 0; call < 12; ++call) Ordinary(call);
  }

  MeshMachine& Machine(int index) {
    return *fleet_.machines()[static_cast<std::size_t>(index % kMachines)];
  }

  int Ordinary(int number) {
    MeshRequest request;
    request.path = "/look/" + std::to_string(number);
    request.id = "o-" + std::to_string(number);
    return fleet_.Call(Machine(number), request).status;
  }

  // Lists instances that have started again, and strikes out those that have ended.
  void KeepListed() {
    for (auto& machine : fleet_.machines()) {
      const std::string id = machine->instance->id();
      auto& listed = listed_born_[machine.get()];
      if (id == machine->instance_id && machine->instance->born() == listed) continue;
      if (id != machine->instance_id) fleet_.store().Remove("servers/" + machine->instance_id);
      machine->instance_id = id;
      listed = machine->instance->born();
      fleet_.List(*machine);
    }
  }

  // Counts in how many crashes each digest stands, by what the nodes log.
  void ReadLogs() {
    for (const auto& machine : fleet_.machines()) {
      while (const auto line = machine->decisions->ReadLine(milliseconds(0))) {
        if (line->find("\"instance_crashed\"") == std::string::npos) continue;
        const auto fields = nlohmann::json::parse(*line);
        std::istringstream digests(fields["requests"].get<std::string>());
        for (std::string digest; digests >> digest;) {
          crashes_under_[digest].insert(fields["crash"].get<std::string>());
        }
      }
    }
  }

  std::size_t MostCrashesUnderOne() const {
    std::size_t most = 0;
    for (const auto& [digest, crashes] : crashes_under_) most = std::max(most, crashes.size());
    return most;
  }

  // One client that sends the crashing request to any machine, until the day's end.
  void SendAgainAndAgain() {
    const auto end = Clock::now() + kDay;
    for (int sent = 0; Clock::now() < end; ++sent) {
      MeshRequest request;
      request.path = kCrashing;
      request.id = "c-" + std::to_string(sent);
      request.deadline_ms = "500";
      statuses_.push_back(fleet_.Call(Machine(sent * 5 + 1), request).status);
      KeepListed();
      ReadLogs();
      std::this_thread::sleep_for(kPause);
    }
  }

  std::vector<Clock::time_point> Crashes() const {
    std::vector<Clock::time_point> all;
    for (const auto& machine : fleet_.machines()) {
      const auto crashes = machine->instance->crashes();
      all.insert(all.end(), crashes.begin(), crashes.end());
    }
    std::sort(all.begin(), all.end());
    return all;
  }

  std::size_t ArrivalsAfter(Clock::time_point when) const {
    std::size_t count = 0;
    for (const auto& machine : fleet_.machines()) {
      for (const auto& run : machine->instance->runs()) {
        if (run.target == kCrashing && run.ran_at > when) ++count;
      }
    }
    return count;
  }

  MeshFleet fleet_;
  std::vector<int> statuses_;
  std::map<const MeshMachine*, std::int64_t> listed_born_;
  std::map<std::string, std::set<std::string>> crashes_under_;  // By digest.
};

TEST_P(CrashingRequest, EndsFewInstancesHoweverOftenItComesAgain) {
  std::atomic<bool> over{false};
  std::atomic<int> sent{0};
  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  for (int client = 0; client < 3; ++client) {
    clients.emplace_back([&, client] {
      for (int number = 1000 * (client + 1); !over; ++number) {
        ++sent;
        if (Ordinary(number) == 200) ++served;
        std::this_thread::sleep_for(milliseconds(10));
      }
    });
  }
  SendAgainAndAgain();
  over = true;
  for (auto& client : clients) client.join();

  const auto crashes = Crashes();
  RecordProperty("crashes", static_cast<int>(crashes.size()));
  RecordProperty("sent", sent);
  RecordProperty("served", served);
  ASSERT_FALSE(crashes.empty());
  if (crashes.size() >= 3) {
    EXPECT_LE(ArrivalsAfter(crashes[2] + kConnected), kMostLater) << crashes.size() << " crashes";
  }
  EXPECT_LE(crashes.size(), 6U);
  // Whoever reads the logs finds the request by the crashes that it stands in.
  EXPECT_EQ(MostCrashesUnderOne(), crashes.size());
  EXPECT_GE(served, sent * 9 / 10) << served << " of " << sent;
}

// What everybody asks for runs in every crash, too, and is answered elsewhere all the while.
TEST_P(CrashingRequest, DoesNotTakePopularRequestsWithIt) {
  std::atomic<bool> over{false};
  std::atomic<int> sent{0};
  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  for (int client = 0; client < 6; ++client) {
    clients.emplace_back([&, client] {
      for (int number = 0; !over; ++number) {
        MeshRequest request;
        request.path = "/look/popular";
        request.id = "p-" + std::to_string(client) + "-" + std::to_string(number);
        ++sent;
        if (fleet_.Call(Machine(client + number), request).status == 200) ++served;
      }
    });
  }
  const auto end = Clock::now() + std::chrono::seconds(4);
  for (int round = 0; Clock::now() < end; ++round) {
    MeshRequest request;
    request.path = kCrashing;
    request.id = "c-" + std::to_string(round);
    request.deadline_ms = "500";
    fleet_.Call(Machine(round * 5 + 1), request);
    KeepListed();
    std::this_thread::sleep_for(kPause);
  }
  over = true;
  for (auto& client : clients) client.join();
  EXPECT_FALSE(Crashes().empty());
  EXPECT_GE(served, sent * 95 / 100) << served << " of " << sent;
}

// A lost answer is no crash: what is sent again and again to instances that live is always offered.
TEST_P(CrashingRequest, IsNotToldByLostAnswers) {
  for (auto& machine : fleet_.machines()) {
    machine->instance->SetFault({InstanceTrouble::kLost, UINT64_MAX});
  }
  for (int sent = 0; sent < 20; ++sent) {
    MeshRequest request;
    request.path = "/look/lost";
    request.id = "l-" + std::to_string(sent);
    EXPECT_EQ(fleet_.Call(Machine(sent), request).status, 502);
    EXPECT_GE(fleet_.RunsOf(request.id), 1);
    std::this_thread::sleep_for(milliseconds(50));
  }
}

// A node that started after all crashes, beside an instance of its own, doesn't send it there.
TEST_P(CrashingRequest, IsKnownToANodeThatStartsLater) {
  MeshRequest request;
  request.path = kCrashing;
  request.deadline_ms = "500";
  for (int sent = 0; sent < 4; ++sent) {
    request.id = "c-" + std::to_string(sent);
    fleet_.Call(Machine(sent), request);
  }
  InstanceCrash crash;
  crash.target = kCrashing;
  MeshMachine& late = fleet_.Add("desk");
  late.instance->SetCrash(crash);
  fleet_.Start(late);
  ASSERT_TRUE(fleet_.AwaitReady(late));
  std::this_thread::sleep_for(kConnected);
  request.id = "c-late";
  EXPECT_EQ(fleet_.Call(late, request).status, 503);
  EXPECT_TRUE(late.instance->crashes().empty());
  EXPECT_EQ(fleet_.RunsOf("c-late"), 0);
}

INSTANTIATE_TEST_SUITE_P(Ids, CrashingRequest, ::testing::Bool(),
                         [](const auto& info) { return info.param ? "SameId" : "NewId"; });

}  // namespace
}  // namespace copperlead::standin
