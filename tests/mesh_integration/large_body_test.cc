// Large bodies and answers through real sidecars whose platform watches their memory.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <thread>

#include "tests/mesh_integration/memory_watch.h"
#include "tests/mesh_integration/mesh_fleet.h"
#include "tests/proxy/raw_socket.h"

namespace copperlead::standin {
namespace {

constexpr std::size_t kMegabyte = 1'000'000;
constexpr std::size_t kMaxBodyBytes = 64 << 20;
constexpr std::size_t kLargeBytes = 60 << 20;
constexpr std::size_t kPieceBytes = 256 << 10;
// Ample for what the test's machine and the link of 1,000 Mbps carry.
constexpr int kTimeoutMs = 15'000;
constexpr auto kSlowPause = std::chrono::milliseconds(5);
constexpr int kShortOnes = 20;
constexpr auto kShortOnesInterval = std::chrono::milliseconds(20);

enum class Framing { kLength, kChunked };

// Two machines, of `desk` and `hub`, with the memory that the platform gives them.
class LargeBodies : public ::testing::Test {
 protected:
  // @param memory_mb  0: the sidecars are not told, and the platform's smallest machines are meant
  void Start(int memory_mb) {
    limit_ = static_cast<std::size_t>(memory_mb == 0 ? 160 : memory_mb) * kMegabyte;
    fleet_.Add("desk");
    fleet_.Add("hub");
    fleet_.AllowBodies(kMaxBodyBytes);
    fleet_.Configure(4, RouteOfKind("up", "/up-desk/", "upload", kTimeoutMs, "desk") +
                            RouteOfKind("back", "/up-hub/", "upload", kTimeoutMs, "hub") +
                            RouteOfKind("down", "/down-desk/", "download", kTimeoutMs, "desk"));
    std::vector<std::string> flags;
    if (memory_mb != 0) flags = {"--memory-mb", std::to_string(memory_mb)};
    for (auto& machine : fleet_.machines()) fleet_.Start(*machine, flags);
    for (auto& machine : fleet_.machines()) ASSERT_TRUE(fleet_.AwaitReady(*machine));
    watch_ = std::make_unique<MemoryWatch>([this] {
      std::vector<WatchedProcess> processes;
      for (const auto& machine : fleet_.machines()) {
        processes.push_back({machine->ip, machine->sidecar->pid(), limit_});
      }
      return processes;
    });
  }

  MeshMachine& desk() { return *fleet_.machines()[0]; }
  MeshMachine& hub() { return *fleet_.machines()[1]; }

  static std::string Head(const std::string& method, const std::string& path, const std::string& id,
                          const std::string& framing) {
    return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(kTimeoutMs) + "\r\n" + framing + "\r\n";
  }

  // @param pause  before each piece
  static bool SendBody(RawSocket& socket, const std::string& body, Framing framing,
                       std::chrono::milliseconds pause) {
    for (std::size_t at = 0; at < body.size(); at += kPieceBytes) {
      if (pause.count() > 0) std::this_thread::sleep_for(pause);
      const auto piece = std::string_view(body).substr(at, kPieceBytes);
      char size[20];
      std::snprintf(size, sizeof(size), "%zx\r\n", piece.size());
      if (framing == Framing::kChunked && !socket.Send(size)) return false;
      if (!socket.Send(piece)) return false;
      if (framing == Framing::kChunked && !socket.Send("\r\n")) return false;
    }
    return framing == Framing::kLength || socket.Send("0\r\n\r\n");
  }

  // Uploads `times` bodies through a machine on one connection. @return those that were served
  int Upload(const MeshMachine& machine, const std::string& path, const std::string& name,
             const std::string& body, Framing framing, int times,
             std::chrono::milliseconds pause = {}) {
    RawSocket socket = RawSocket::Connect(fleet_.outbound(machine));
    int served = 0;
    for (int number = 0; number < times; ++number) {
      const std::string id = name + "-" + std::to_string(number);
      const std::string length = framing == Framing::kChunked
                                     ? "Transfer-Encoding: chunked\r\n"
                                     : "Content-Length: " + std::to_string(body.size()) + "\r\n";
      const bool sent =
          socket.Send(Head("POST", path, id, length)) && SendBody(socket, body, framing, pause);
      const RawMessage answer = socket.Read();
      EXPECT_EQ(answer.status(), 200) << id << (sent ? "" : " (not sent whole)") << answer.body;
      if (answer.status() != 200) return served;
      EXPECT_EQ(answer.body, "answer to " + id);
      ++served;
    }
    return served;
  }

  // Several clients upload at once, each on a connection of its own.
  void UploadAtOnce(const MeshMachine& machine, const std::string& path, std::size_t bytes,
                    Framing framing, int clients, int times) {
    const std::string body(bytes, 'm');
    std::atomic<int> served{0};
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; ++client) {
      threads.emplace_back([&, client] {
        served +=
            Upload(machine, path, machine.service + std::to_string(client), body, framing, times);
      });
    }
    for (auto& thread : threads) thread.join();
    EXPECT_EQ(served, clients * times);
    ExpectWhole(body);
  }

  void ExpectWhole(const std::string& body) {
    const auto hash = std::hash<std::string>()(body);
    for (const auto& machine : fleet_.machines()) {
      for (const InstanceRun& run : machine->instance->runs()) {
        if (run.method != "POST") continue;
        EXPECT_EQ(run.body_bytes, body.size()) << run.request_id;
        EXPECT_EQ(run.body_hash, hash) << run.request_id;
      }
    }
  }

  // Reads an answer of `bytes` bytes in pieces. @return whether it came whole
  bool Download(const MeshMachine& machine, const std::string& id, std::size_t bytes,
                std::chrono::milliseconds pause) {
    RawSocket socket = RawSocket::Connect(fleet_.outbound(machine));
    socket.Send(Head("GET", "/down-desk/?" + std::string(kAnswerBytes) + std::to_string(bytes), id,
                     "Connection: close\r\n"));
    std::string received = socket.ReadToEnd(kPieceBytes);
    const auto end = received.find("\r\n\r\n");
    EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received.substr(0, 200);
    if (end == std::string::npos) return false;
    std::string body = received.substr(end + 4);
    for (std::string piece = "-"; !piece.empty() && body.size() < bytes; body += piece) {
      if (pause.count() > 0) std::this_thread::sleep_for(pause);
      piece = socket.ReadToEnd(kPieceBytes);
    }
    return body == LargeAnswerBody(id, bytes);
  }

  void DownloadAtOnce(int clients, int times, std::size_t bytes, std::chrono::milliseconds pause) {
    std::atomic<int> whole{0};
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; ++client) {
      threads.emplace_back([&, client] {
        for (int number = 0; number < times; ++number) {
          const auto id = "get-" + std::to_string(client) + "-" + std::to_string(number);
          whole += Download(hub(), id, bytes, pause);
        }
      });
    }
    for (auto& thread : threads) thread.join();
    EXPECT_EQ(whole, clients * times);
  }

  // Requests of others that go on meanwhile.
  void KeepLooking(const std::function<void()>& meanwhile) {
    std::atomic<bool> stopping{false};
    std::atomic<int> served{0};
    std::vector<std::thread> threads;
    for (int client = 0; client < 4; ++client) {
      threads.emplace_back([&, client] {
        RawSocket socket = RawSocket::Connect(fleet_.outbound(hub()));
        for (int number = 0; !stopping; ++number) {
          const auto id = "look-" + std::to_string(client) + "-" + std::to_string(number);
          socket.Send(Head("GET", "/look/1", id, ""));
          const int status = socket.Read().status();
          EXPECT_EQ(status, 200) << id;
          if (status != 200) return;
          ++served;
        }
      });
    }
    meanwhile();
    stopping = true;
    for (auto& thread : threads) thread.join();
    EXPECT_GT(served, 0);
  }

  void ExpectWithinMemory() {
    EXPECT_EQ(watch_->kills(), 0);
    EXPECT_LE(watch_->Peak(), limit_);
    RecordProperty("peak_near_mb", static_cast<int>(watch_->PeakOf(hub().ip) / kMegabyte));
    RecordProperty("peak_far_mb", static_cast<int>(watch_->PeakOf(desk().ip) / kMegabyte));
    std::printf("peak memory in MB: %zu at the client's machine, %zu at the instance's\n",
                watch_->PeakOf(hub().ip) / kMegabyte, watch_->PeakOf(desk().ip) / kMegabyte);
  }

  MeshFleet fleet_;
  std::size_t limit_ = 0;
  std::unique_ptr<MemoryWatch> watch_;
};

struct UploadCase {
  const char* name;
  int memory_mb;
  Framing framing;
  std::size_t bytes;
  int clients;
  int times;
};

class Uploads : public LargeBodies, public ::testing::WithParamInterface<UploadCase> {};

// Guards against uploads within the limits that take the process over its machine's memory, or that
// are refused for it.
TEST_P(Uploads, AreServedWithinTheMemoryOfTheMachine) {
  const UploadCase& wanted = GetParam();
  ASSERT_NO_FATAL_FAILURE(Start(wanted.memory_mb));
  KeepLooking([&] {
    UploadAtOnce(hub(), "/up-desk/1", wanted.bytes, wanted.framing, wanted.clients, wanted.times);
  });
  ExpectWithinMemory();
}

INSTANTIATE_TEST_SUITE_P(
    Sizes, Uploads,
    ::testing::Values(UploadCase{"one", 0, Framing::kLength, kLargeBytes, 1, 3},
                      UploadCase{"one_on_260", 260, Framing::kLength, kLargeBytes, 1, 3},
                      UploadCase{"several", 0, Framing::kLength, kLargeBytes, 4, 2},
                      UploadCase{"several_on_260", 260, Framing::kLength, kLargeBytes, 4, 2},
                      UploadCase{"one_chunked", 0, Framing::kChunked, kLargeBytes, 1, 3},
                      UploadCase{"several_chunked", 0, Framing::kChunked, kLargeBytes, 4, 2},
                      UploadCase{"several_chunked_on_260", 260, Framing::kChunked, kLargeBytes, 4,
                                 2},
                      UploadCase{"ten_of_12_mb", 0, Framing::kLength, 12 * kMegabyte, 10, 4},
                      UploadCase{"many_of_600_kb", 0, Framing::kLength, 600'000, 30, 4}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against bodies on their way in both directions that wait for each other's memory.
TEST_F(LargeBodies, UploadsInBothDirectionsDontWaitForEachOther) {
  ASSERT_NO_FATAL_FAILURE(Start(0));
  std::thread other(
      [&] { UploadAtOnce(desk(), "/up-hub/1", kLargeBytes, Framing::kLength, 3, 2); });
  UploadAtOnce(hub(), "/up-desk/1", kLargeBytes, Framing::kLength, 3, 2);
  other.join();
  ExpectWithinMemory();
}

// Guards against a client that sends slowly and keeps others from being served meanwhile.
TEST_F(LargeBodies, AClientThatSendsSlowlyDoesntHoldUpOthers) {
  ASSERT_NO_FATAL_FAILURE(Start(0));
  const std::string body(kLargeBytes, 'm');
  const auto begun = std::chrono::steady_clock::now();
  std::chrono::steady_clock::duration slow{};
  std::thread other([&] {
    EXPECT_EQ(Upload(hub(), "/up-desk/1", "slow", body, Framing::kLength, 1,
                     std::chrono::milliseconds(25)),
              1);
    slow = std::chrono::steady_clock::now() - begun;
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  UploadAtOnce(hub(), "/up-desk/1", kLargeBytes, Framing::kLength, 2, 1);
  const auto quick = std::chrono::steady_clock::now() - begun;
  other.join();
  EXPECT_LT(quick, slow);
  ExpectWithinMemory();
}

// Guards against short bodies of unknown length that are refused, because each keeps the memory for
// the largest one while its request runs.
TEST_F(LargeBodies, ShortOnesInChunksRunAtTheSameTime) {
  ASSERT_NO_FATAL_FAILURE(Start(260));
  desk().instance->SetWork(std::chrono::milliseconds(300));
  const std::string body(kMegabyte, 'm');
  std::atomic<int> served{0};
  std::vector<std::thread> threads;
  for (int client = 0; client < kShortOnes; ++client) {
    std::this_thread::sleep_for(kShortOnesInterval);
    threads.emplace_back([&, client] {
      const auto name = "short-" + std::to_string(client);
      served += Upload(hub(), "/up-desk/1", name, body, Framing::kChunked, 1);
    });
  }
  for (auto& thread : threads) thread.join();
  EXPECT_EQ(served, kShortOnes);
  ExpectWhole(body);
  ExpectWithinMemory();
}

// Guards against answers, of which nothing bounds the number, that take a process over its memory.
TEST_F(LargeBodies, LargeAnswersArriveWholeWithinTheMemoryOfTheMachine) {
  ASSERT_NO_FATAL_FAILURE(Start(0));
  KeepLooking([&] { DownloadAtOnce(16, 2, 15 * kMegabyte, {}); });
  ExpectWithinMemory();
}

// Guards against answers that pile up for clients that read them slowly.
TEST_F(LargeBodies, AnswersToClientsThatReadSlowlyArriveWholeWithinTheMemoryOfTheMachine) {
  ASSERT_NO_FATAL_FAILURE(Start(0));
  DownloadAtOnce(30, 1, 15 * kMegabyte, kSlowPause);
  ExpectWithinMemory();
}

}  // namespace
}  // namespace copperlead::standin
