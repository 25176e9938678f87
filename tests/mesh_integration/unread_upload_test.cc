// An instance that refuses uploads before it has read them and reads on later, beside lookups whose
// clients leave soon.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include "tests/mesh_integration/mesh_fleet.h"
#include "tests/proxy/raw_socket.h"

namespace copperlead::standin {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr auto kTroubleTime = milliseconds(4000);
constexpr auto kLookupDeadline = milliseconds(200);
constexpr auto kLate = milliseconds(500);  // After its client has left, a request must not arrive.

std::string Head(const std::string& start, const std::string& id, milliseconds deadline,
                 const std::string& more) {
  return start + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n" + more + "\r\n";
}

// The size of the uploads' bodies.
struct UploadKind {
  const char* name;
  std::size_t bytes;
};

const UploadKind kUploads[] = {{"Long", 60'000}, {"Short", 300}};

class UnreadUploads : public ::testing::TestWithParam<UploadKind> {
 protected:
  void SetUp() override {
    fleet_.Configure(4, RouteOfKind("up", "/up/", "upload", 800, "desk"));
    for (int machine = 0; machine < 2; ++machine) fleet_.Add("desk");
    ASSERT_TRUE(fleet_.StartAll());
  }

  void RunLookups(std::size_t machine, const std::string& name) {
    for (int sent = 0; !stopping_; ++sent) {
      const std::string id = name + "-" + std::to_string(sent);
      {
        RawSocket socket = RawSocket::Connect(fleet_.outbound(*fleet_.machines()[machine]));
        socket.Send(Head("GET /look/1", id, kLookupDeadline, ""));
        if (socket.AwaitReadable(Clock::now() + kLookupDeadline)) socket.Read();
      }
      const std::lock_guard lock(mutex_);
      left_at_[id] = Clock::now();
    }
  }

  void RunUploads(std::size_t machine, const std::string& name) {
    const std::string body(GetParam().bytes, 'u');
    for (int sent = 0; !stopping_; ++sent) {
      RawSocket socket = RawSocket::Connect(fleet_.outbound(*fleet_.machines()[machine]));
      socket.Send(Head("POST /up/1", name + "-" + std::to_string(sent), milliseconds(800),
                       "Content-Length: " + std::to_string(body.size()) + "\r\n") +
                  body);
      socket.Read();
      std::this_thread::sleep_for(milliseconds(30));
    }
  }

  std::size_t LateArrivals() const {
    std::size_t late = 0;
    for (const auto& machine : fleet_.machines()) {
      for (const auto& run : machine->instance->runs()) {
        const auto left = left_at_.find(run.request_id);
        late += left != left_at_.end() && run.came_at > left->second + kLate ? 1 : 0;
      }
    }
    return late;
  }

  MeshFleet fleet_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::map<std::string, Clock::time_point> left_at_;
};

// Guards against sending a request behind a body that the instance hasn't read: it arrives when its
// client has long left.
TEST_P(UnreadUploads, KeptALaterRequestWaitingUntilItsClientHadLeft) {
  fleet_.machines()[0]->instance->SetFault({InstanceTrouble::kLeaveUnread});
  std::vector<std::thread> clients;
  for (std::size_t machine = 0; machine < 2; ++machine) {
    for (int client = 0; client < 4; ++client) {
      const auto name = std::to_string(machine) + "-" + std::to_string(client);
      clients.emplace_back([this, machine, name] { RunLookups(machine, "look-" + name); });
      clients.emplace_back([this, machine, name] { RunUploads(machine, "up-" + name); });
    }
  }
  std::this_thread::sleep_for(kTroubleTime);
  stopping_ = true;
  for (auto& client : clients) client.join();
  std::this_thread::sleep_for(kUnreadTime + milliseconds(300));
  EXPECT_EQ(LateArrivals(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Bodies, UnreadUploads, ::testing::ValuesIn(kUploads),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace copperlead::standin
