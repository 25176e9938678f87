// Instances that state in their answers how many requests a second they take, or that they leave.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "tests/integration/process_harness.h"
#include "tests/mesh_integration/statement_checks.h"
#include "tests/proxy/raw_socket.h"

namespace copperlead::standin {
namespace {

using std::chrono::milliseconds;

// Three machines with an instance of `desk` and one with `hub`, all of which get clients.
class InstanceStatements : public ::testing::Test {
 protected:
  void SetUp() override {
    fleet_.UseRelay();
    fleet_.Configure(4);
    for (int desks = 0; desks < 3; ++desks) fleet_.Add("desk");
    fleet_.Add("hub");
    ASSERT_TRUE(fleet_.StartAll());
    // So that every machine is known to the others.
    std::this_thread::sleep_for(milliseconds(1000));
  }

  MeshMachine& Desk(std::size_t index) { return *fleet_.machines()[index]; }
  Instance& At(std::size_t index) { return *Desk(index).instance; }

  HttpAnswer Call(const MeshMachine& machine, const std::string& deadline_ms = "500") {
    MeshRequest request;
    request.id = "q-" + std::to_string(++sent_);
    request.deadline_ms = deadline_ms;
    return checks_.Call(fleet_, machine, request);
  }

  // Sends requests to all machines from as many clients. @return the share that was served
  double Load(milliseconds duration, milliseconds pause = milliseconds(8)) {
    const auto until = std::chrono::steady_clock::now() + duration;
    std::atomic<int> all{0}, served{0};
    std::vector<std::thread> clients;
    for (const auto& machine : fleet_.machines()) {
      clients.emplace_back([&, machine = machine.get()] {
        while (std::chrono::steady_clock::now() < until) {
          ++all;
          if (Call(*machine).status == 200) ++served;
          std::this_thread::sleep_for(pause);
        }
      });
    }
    for (auto& client : clients) client.join();
    return static_cast<double>(served) / all;
  }

  void ExpectKept() const {
    for (const std::string& broken : checks_.BrokenLimits(fleet_)) ADD_FAILURE() << broken;
    for (const std::string& late : checks_.LateToLeaving(fleet_)) ADD_FAILURE() << late;
  }

  MeshFleet fleet_;
  StatementChecks checks_;
  std::atomic<int> sent_{0};
};

// Guards against limits that nobody reads: instances got whatever their slots took.
TEST_F(InstanceStatements, AnInstanceGetsNoMoreThanTheLimitThatItStates) {
  At(0).StateLimit("12.5");
  At(1).StateLimit("1.9");
  EXPECT_GE(Load(milliseconds(9000)), 0.99);
  ExpectKept();
}

// Guards against requests for an instance that leaves and whose entry doesn't say so.
TEST_F(InstanceStatements, AnInstanceThatStatesThatItLeavesGetsNothingNew) {
  At(0).StateLeaving();
  EXPECT_GE(Load(milliseconds(4000)), 0.99);
  ExpectKept();
}

}  // namespace
}  // namespace copperlead::standin
