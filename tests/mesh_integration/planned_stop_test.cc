// The planned stop of the node that clients use, while the one beside the instance goes on.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "tests/mesh_integration/mesh_fleet.h"
#include "tests/proxy/raw_socket.h"

namespace copperlead::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Two machines; the clients are at that of `hub`, which stops, and ask for `desk`.
class MeshStop : public ::testing::Test {
 protected:
  // @param flags  of the node that stops
  void Start(const std::vector<std::string>& flags = {}) {
    fleet_.Configure(4);
    fleet_.Add("desk");
    fleet_.Add("hub");
    fleet_.Start(desk());
    fleet_.Start(hub(), flags);
    ASSERT_TRUE(fleet_.AwaitReady(desk()) && fleet_.AwaitReady(hub()));
  }

  MeshMachine& desk() { return *fleet_.machines()[0]; }
  MeshMachine& hub() { return *fleet_.machines()[1]; }
  RawSocket Connect() { return RawSocket::Connect(fleet_.outbound(hub())); }

  MeshFleet fleet_;
};

TEST_F(MeshStop, ARequestThatCannotEndBeforeTheNodeDoesStillGetsItsAnswer) {
  ASSERT_NO_FATAL_FAILURE(Start({"--grace-s", "4"}));
  desk().instance->SetWork(milliseconds(1700));
  // A kept connection: by then no new one is accepted.
  auto kept = Connect();
  hub().sidecar->Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(2500));
  kept.Send(
      "GET /look/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: late\r\n"
      "X-Deadline-Ms: 2000\r\n\r\n");
  const RawMessage answer = kept.Read();
  EXPECT_TRUE(answer.complete);
  EXPECT_TRUE(answer.status() == 503 || answer.status() == 504) << answer.head;
  EXPECT_EQ(answer.Header("connection"), "close");
  EXPECT_EQ(hub().sidecar->Wait(seconds(3)), 0);
}

TEST_F(MeshStop, ARequestThatWasBegunBeforeTheStopGetsItsAnswerBeforeTheNodeEnds) {
  ASSERT_NO_FATAL_FAILURE(Start({"--grace-s", "1"}));
  desk().instance->SetWork(milliseconds(1800));
  auto kept = Connect();
  kept.Send(
      "GET /look/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: begun\r\n"
      "X-Deadline-Ms: 5000\r\n\r\n");
  std::this_thread::sleep_for(milliseconds(100));
  hub().sidecar->Signal(SIGTERM);
  const RawMessage answer = kept.Read();
  EXPECT_TRUE(answer.complete);
  EXPECT_EQ(answer.status(), 504) << answer.head;
  EXPECT_EQ(answer.Header("connection"), "close");
  EXPECT_EQ(hub().sidecar->Wait(seconds(3)), 0);
}

// Guards against requests that are passed on late in the grace and then cut off while their
// instance is at work: uploads whose last byte comes when a usual run doesn't fit any more.
TEST_F(MeshStop, ARequestThatComesTooLateForAUsualRunIsRefusedAndNeverRuns) {
  ASSERT_NO_FATAL_FAILURE(Start());
  desk().instance->SetWork(milliseconds(800));
  const std::string body(20'000, 'u');
  const auto begin = [&](const std::string& id) {
    RawSocket socket = Connect();
    socket.Send("POST /buy/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
                "\r\nX-Deadline-Ms: 5000\r\nContent-Length: " + std::to_string(body.size()) +
                "\r\n\r\n" + body.substr(1));
    return socket;
  };
  // So that the usual time is known.
  for (int sent = 0; sent < 3; ++sent) {
    RawSocket socket = begin("before-" + std::to_string(sent));
    socket.Send(body.substr(0, 1));
    EXPECT_EQ(socket.Read().status(), 200);
  }
  std::vector<RawSocket> clients;
  constexpr int kClients = 10;
  for (int client = 0; client < kClients; ++client) {
    clients.push_back(begin("late-" + std::to_string(client)));
  }
  const auto signalled = std::chrono::steady_clock::now();
  hub().sidecar->Signal(SIGTERM);
  for (int client = 0; client < kClients; ++client) {
    std::this_thread::sleep_until(signalled + milliseconds(3500 + 200 * client));
    clients[client].Send(body.substr(0, 1));
  }
  for (int client = 0; client < kClients; ++client) {
    const std::string id = "late-" + std::to_string(client);
    const RawMessage answer = clients[client].Read();
    EXPECT_TRUE(answer.complete) << id;
    EXPECT_EQ(answer.status(), fleet_.RunsOf(id) == 0 ? 503 : 200) << id << answer.body;
    EXPECT_EQ(answer.Header("connection"), "close") << id;
  }
  EXPECT_EQ(fleet_.RunsOf("late-0"), 1) << "there was enough time";
  EXPECT_EQ(fleet_.RunsOf("late-9"), 0);
  EXPECT_EQ(hub().sidecar->Wait(seconds(8)), 0);
}

// Guards against requests that were read behind another one and get no answer, because the
// connection closes after the answer before them.
TEST_F(MeshStop, APipelinedRequestThatWasReadIsAnsweredBeforeTheConnectionCloses) {
  ASSERT_NO_FATAL_FAILURE(Start());
  desk().instance->SetWork(milliseconds(300));
  const auto purchase = [](const std::string& id) {
    return "POST /buy/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 1\r\n\r\nb";
  };
  auto kept = Connect();
  kept.Send(purchase("before-1") + purchase("before-2"));
  std::this_thread::sleep_for(milliseconds(100));
  hub().sidecar->Signal(SIGTERM);
  EXPECT_EQ(kept.Read().status(), 200);
  const RawMessage last = kept.Read();
  EXPECT_EQ(last.status(), 200);
  EXPECT_EQ(last.Header("connection"), "close");
  EXPECT_TRUE(kept.AwaitClosed());

  auto late = Connect();
  late.Send(purchase("after-1") + purchase("after-2") + purchase("after-3"));
  for (const char* connection : {"", "", "close"}) {
    const RawMessage answer = late.Read();
    EXPECT_EQ(answer.status(), 200);
    EXPECT_EQ(answer.Header("connection"), connection);
  }
  EXPECT_TRUE(late.AwaitClosed());
  EXPECT_EQ(hub().sidecar->Wait(seconds(8)), 0);
}

// Each of the pipelined requests that was passed on gets its answer, and so does what is read
// behind them after the signal; the last answer closes the connection.
TEST_F(MeshStop, PipelinedRequestsThatWerePassedOnAreAllAnswered) {
  ASSERT_NO_FATAL_FAILURE(Start());
  desk().instance->SetWork(milliseconds(700));
  const auto request = [](const std::string& id) {
    return "GET /look/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: 3000\r\n\r\n";
  };
  auto kept = Connect();
  kept.Send(request("first") + request("second"));
  std::this_thread::sleep_for(milliseconds(200));
  EXPECT_EQ(fleet_.RunsOf("second"), 1) << "it ran beside the first";
  hub().sidecar->Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(50));
  kept.Send(request("third"));
  const RawMessage first = kept.Read();
  const RawMessage second = kept.Read();
  const RawMessage third = kept.Read();
  EXPECT_EQ(first.status(), 200);
  EXPECT_NE(first.Header("connection"), "close");
  EXPECT_EQ(second.status(), 200);
  EXPECT_NE(second.Header("connection"), "close");
  EXPECT_EQ(third.status(), 200);
  EXPECT_EQ(third.Header("connection"), "close");
  EXPECT_TRUE(kept.AwaitClosed());
  EXPECT_EQ(fleet_.RunsOf("third"), 1);
  EXPECT_EQ(hub().sidecar->Wait(seconds(8)), 0);
}

}  // namespace
}  // namespace copperlead::standin
