// Tests that a planned stop interrupts no request in flight, and that large bodies pass with
// bounded memory.
#include <algorithm>
#include <cstdio>
#include <future>
#include <vector>

#include "tests/proxy/proxy_fixture.h"

namespace copperlead {
namespace {

TEST_F(ProxyTest, DrainFinishesUploadsDownloadsAndLookupsInFlight) {
  std::promise<void> release;
  auto released = release.get_future().share();
  RawServer backend([&](RawSocket& socket, int) {
    const RawMessage request = socket.Read();
    if (request.head.find("/download") != std::string::npos) {
      socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf");
      released.wait();
      socket.Send("half");
    } else {
      released.wait();
      socket.Send(Ok(request.body));
    }
    socket.AwaitClosed();
  });
  StartProxy({{backend.address()}});
  RawSocket idle = Connect();
  RawSocket lookup = Connect();
  lookup.Send(Get("/lookup"));
  RawSocket download = Connect();
  download.Send(Get("/download"));
  RawSocket upload = Connect();
  upload.Send("PUT / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
  EXPECT_TRUE(Eventually([&] { return backend.connections() == 3; }));
  auto drained =
      std::async(std::launch::async, [&] { return proxy_->Drain(std::chrono::seconds(20)); });
  EXPECT_TRUE(idle.AwaitClosed());
  EXPECT_EQ(SendRequest(Get("/")).status(), 0) << "the listener is closed";
  upload.Send("4\r\nhalf\r\n0\r\n\r\n");
  release.set_value();
  const RawMessage lookup_answer = lookup.Read();
  EXPECT_EQ(lookup_answer.status(), 200);
  EXPECT_EQ(lookup_answer.Header("connection"), "close");
  EXPECT_EQ(download.Read().body, "halfhalf");
  EXPECT_EQ(upload.Read().body, "halfhalf");
  EXPECT_TRUE(drained.get());
  EXPECT_EQ(proxy_->counters().connections, 0U);
  EXPECT_EQ(proxy_->counters().upstream_connections, 0U);
}

TEST_F(ProxyTest, DrainAbortsVisiblyWhatOutlastsTheLimit) {
  RawServer backend([&](RawSocket& socket, int) {
    socket.Read();
    socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf");
    socket.AwaitClosed();
  });
  StartProxy({{backend.address()}});
  RawSocket download = Connect();
  download.Send(Get("/"));
  EXPECT_TRUE(Eventually([&] { return record_->Contains("answer:200"); }));
  EXPECT_FALSE(proxy_->Drain(std::chrono::milliseconds(200)));
  EXPECT_FALSE(download.Read().complete);
  EXPECT_TRUE(record_->Contains("finished:cut"));
}

TEST_F(ProxyTest, DrainServesWhatWaitsInTheBacklog) {
  RawServer backend(Answering([](const RawMessage&) { return Ok(""); }));
  StartProxy({{backend.address()}});
  std::vector<RawSocket> callers;
  for (int caller = 0; caller < 200; ++caller) {
    callers.push_back(Connect());
    callers.back().Send(Get("/"));
  }
  EXPECT_TRUE(proxy_->Drain(std::chrono::seconds(20)));
  for (auto& caller : callers) EXPECT_EQ(caller.Read().status(), 200);
}

std::size_t ResidentBytes() {
  std::size_t total = 0;
  std::size_t resident = 0;
  FILE* const file = fopen("/proc/self/statm", "r");
  if (fscanf(file, "%zu %zu", &total, &resident) != 2) resident = 0;
  fclose(file);
  return resident * 4096;
}

// The caller and the back end run in the measured process too, and hold little memory themselves.
TEST_F(ProxyTest, LargeBodiesPassWithBoundedMemory) {
  constexpr std::size_t kBytes = 300'000'000;
  constexpr std::size_t kMaxGrowth = 16'000'000;
  const std::string piece(100'000, 'x');
  RawServer backend([&](RawSocket& socket, int) {
    std::size_t read = 0;
    while (read < kBytes) read += socket.ReadToEnd(1).size();
    socket.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBytes) + "\r\n\r\n");
    for (std::size_t sent = 0; sent < kBytes; sent += piece.size()) socket.Send(piece);
    socket.AwaitClosed();
  });
  StartProxy({{backend.address()}});
  RawSocket caller = Connect();
  const std::size_t before = ResidentBytes();
  std::size_t peak = 0;
  caller.Send("PUT / HTTP/1.1\r\nHost: test\r\nContent-Length: " + std::to_string(kBytes) +
              "\r\n\r\n");
  for (std::size_t sent = 0; sent < kBytes; sent += piece.size()) {
    ASSERT_TRUE(caller.Send(piece));
    if (sent % 10'000'000 == 0) peak = std::max(peak, ResidentBytes());
  }
  std::size_t read = 0;
  for (std::size_t last = 1; last > 0 && read < kBytes; read += last) {
    last = caller.ReadToEnd(1).size();
    peak = std::max(peak, ResidentBytes());
  }
  EXPECT_GE(read, kBytes);
  EXPECT_LT(peak - std::min(peak, before), kMaxGrowth);
}

}  // namespace
}  // namespace copperlead
