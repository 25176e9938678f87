// Answers that break off or never end, through two real sidecars.
#include <gtest/gtest.h>

#include "tests/mesh_integration/mesh_fleet.h"
#include "tests/proxy/raw_socket.h"

namespace copperlead::standin {
namespace {

constexpr std::size_t kUploadBytes = 6'000'000;
constexpr int kUploads = 20;

// Clients at a machine without an instance of `desk`.
class BrokenAnswers : public ::testing::Test {
 protected:
  void SetUp() override {
    fleet_.AllowBodies(2 * kUploadBytes);
    fleet_.Configure(4, RouteOfKind("up", "/up/", "upload", 4000, "desk"));
    fleet_.Add("desk");
    fleet_.Add("hub");
    ASSERT_TRUE(fleet_.StartAll());
  }

  MeshMachine& desk() { return *fleet_.machines()[0]; }
  MeshMachine& hub() { return *fleet_.machines()[1]; }

  static std::string Head(const std::string& method, const std::string& path, const std::string& id,
                          const std::string& framing) {
    return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: 4000\r\n" + framing + "\r\n";
  }

  RawMessage Upload(const std::string& id) {
    RawSocket socket = RawSocket::Connect(fleet_.outbound(hub()));
    socket.Send(
        Head("POST", "/up/1", id, "Content-Length: " + std::to_string(kUploadBytes) + "\r\n"));
    socket.Send(std::string(kUploadBytes, 'u'));
    return socket.Read();
  }

  // Uploads while the instance has a trouble. @return those that got a complete 200
  int UploadWith(InstanceTrouble trouble) {
    int served = 0;
    for (int number = 0; number < kUploads; ++number) {
      const std::string id = "up-" + std::to_string(number);
      desk().instance->SetFault({trouble, 1});
      const RawMessage answer = Upload(id);
      const bool is_complete = answer.status() == 200 && answer.complete;
      if (is_complete && trouble == InstanceTrouble::kEarlyWhole) {
        EXPECT_EQ(answer.body, "answer to " + id);
      }
      served += is_complete ? 1 : 0;
      EXPECT_LE(fleet_.RunsOf(id), 1);
      EXPECT_TRUE(answer.status() != 503 || fleet_.RunsOf(id) == 0) << id;
    }
    return served;
  }

  MeshFleet fleet_;
};

// Guards against a partial answer that reaches the client as a complete one: an instance answers an
// upload at once, without a length, and resets the connection amid its answer.
TEST_F(BrokenAnswers, AnUploadThatIsAnsweredInPartAndResetIsNotServed) {
  EXPECT_EQ(UploadWith(InstanceTrouble::kEarlyCut), 0);
}

TEST_F(BrokenAnswers, AnUploadThatIsAnsweredWholeBeforeItsEndIsServed) {
  EXPECT_EQ(UploadWith(InstanceTrouble::kEarlyWhole), kUploads);
}

}  // namespace
}  // namespace copperlead::standin
