// Tests callers that violate the protocol: they get a 4xx, cannot bypass the routes and cannot
// occupy every thread.
#include <future>
#include <vector>

#include "tests/proxy/proxy_fixture.h"

namespace copperlead {
namespace {

using std::string_literals::operator""s;

struct BadRequestCase {
  const char* name;
  std::string request;
  int status;
};

TEST_F(ProxyTest, RefusesBadRequests) {
  const std::string post = "POST / HTTP/1.1\r\nHost: test\r\n";
  const std::string chunked = post + "Transfer-Encoding: chunked\r\n";
  const BadRequestCase kCases[] = {
      {"both framings", chunked + "Content-Length: 3\r\n\r\n0\r\n\r\n", 400},
      {"several lengths", post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400},
      {"listed lengths", post + "Content-Length: 3, 3\r\n\r\nabc", 400},
      {"signed length", post + "Content-Length: +3\r\n\r\nabc", 400},
      {"negative length", post + "Content-Length: -3\r\n\r\nabc", 400},
      {"huge length", post + "Content-Length: 99999999999999999999\r\n\r\n", 400},
      {"empty length", post + "Content-Length: \r\n\r\n", 400},
      {"unknown coding", post + "Transfer-Encoding: gzip, chunked\r\n\r\n", 400},
      {"chunked twice", chunked + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {"chunked in 1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {"disguised coding", post + "Transfer-Encoding: xchunked\r\n\r\n", 400},
      {"space before the colon", post + "Transfer-Encoding : chunked\r\n\r\n", 400},
      {"folded line", "GET / HTTP/1.1\r\nHost: test\r\nX: a\r\n b\r\n\r\n", 400},
      {"no colon", "GET / HTTP/1.1\r\nHost: test\r\nnonsense\r\n\r\n", 400},
      {"bare line feeds", "GET / HTTP/1.1\nHost: test\n\n", 400},
      {"carriage return in a value", "GET / HTTP/1.1\r\nHost: test\r\nX: a\rb\r\n\r\n", 400},
      {"NUL in a value", "GET / HTTP/1.1\r\nHost: t\r\nX: a\0b\r\n\r\n"s, 400},
      {"no host", "GET / HTTP/1.1\r\n\r\n", 400},
      {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
      {"path that climbs", Get("/permits/../admin"), 400},
      {"fragment", Get("/permits#part"), 400},
      {"no path", Get("permits"), 400},
      {"asterisk", "OPTIONS * HTTP/1.1\r\nHost: test\r\n\r\n", 400},
      {"user in the URL", Get("http://user@test/"), 400},
      {"other scheme", Get("ftp://test/"), 400},
      {"tunnel", "CONNECT test:80 HTTP/1.1\r\nHost: test\r\n\r\n", 400},
      {"trace", "TRACE / HTTP/1.1\r\nHost: test\r\n\r\n", 400},
      {"space in the target", Get("/a b"), 400},
      {"byte over 127 in the target", Get("/\xc3\xa9"), 400},
      {"other version", "GET / HTTP/2.0\r\nHost: test\r\n\r\n", 400},
      {"nonsense", "\x16\x03\x01\r\n\r\n", 400},
      {"bad deadline", Get("/", "copperlead-deadline-ms: soon\r\n"), 400},
      {"two deadlines", Get("/", "copperlead-deadline-ms: 1\r\ncopperlead-deadline-ms: 9\r\n"),
       400},
      {"bad attempt", Get("/", "copperlead-attempt: 0\r\n"), 400},
      {"bad request id", Get("/", "copperlead-request-id: a b\r\n"), 400},
      {"long request id", Get("/", "x-request-id: " + std::string(200, 'x') + "\r\n"), 400},
      {"other expectation", Get("/", "Expect: miracles\r\n"), 400},
      {"huge header", Get("/", "X: " + std::string(20'000, 'x') + "\r\n"), 431},
      {"huge target", Get("/" + std::string(20'000, 'x')), 431},
  };
  RawServer backend(Answering([](const RawMessage&) { return Ok("reached"); }));
  StartProxy({{backend.address()}});
  for (const auto& row : kCases) {
    RawSocket caller = Connect();
    caller.Send(row.request);
    const RawMessage answer = caller.Read();
    EXPECT_EQ(answer.status(), row.status) << row.name;
    EXPECT_EQ(answer.Header("copperlead-outcome"), "not-run") << row.name;
    EXPECT_TRUE(caller.AwaitClosed()) << row.name;
  }
  EXPECT_EQ(backend.connections(), 0);
  EXPECT_EQ(record_->events().size(), 0U) << "none reached a route";
}

struct BadBodyCase {
  const char* name;
  const char* chunks;
};

TEST_F(ProxyTest, NeverCompletesAMalformedChunkedUpload) {
  const BadBodyCase kCases[] = {
      {"no size", "4\r\ngood\r\nzz\r\n"},
      {"negative size", "4\r\ngood\r\n-1\r\nx\r\n0\r\n\r\n"},
      {"data longer than its size", "4\r\ngood\r\n1\r\ntoo much\r\n0\r\n\r\n"},
      {"bare line feed", "4\r\ngood\r\n0\n\r\n\r\n"},
      {"size beyond 60 bits", "4\r\ngood\r\nffffffffffffffffff\r\n"},
      {"words after the size", "4\r\ngood\r\n1 x\r\nx\r\n0\r\n\r\n"},
  };
  for (const auto& row : kCases) {
    SCOPED_TRACE(row.name);
    std::atomic<int> cut = 0;
    RawServer backend([&](RawSocket& socket, int) { cut += socket.Read().complete ? 0 : 1; });
    StartProxy({{backend.address()}});
    const RawMessage answer =
        SendRequest("PUT / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n" +
                    std::string(row.chunks));
    EXPECT_EQ(answer.status(), 400);
    EXPECT_EQ(answer.Header("copperlead-outcome"), "unknown") << "a part was sent";
    EXPECT_TRUE(Eventually([&] { return cut == 1; })) << "the back end saw no end of the body";
    proxy_.reset();
  }
}

struct TargetCase {
  const char* target;
  const char* path;      // Path given to routing.
  const char* upstream;  // Target sent to the back end.
  const char* host;
};

TEST_F(ProxyTest, ForwardsThePathThatWasRouted) {
  const TargetCase kCases[] = {
      {"/a//b", "/a/b", "/a/b", "test"},
      {"/a//b?x=//y%20z", "/a/b", "/a/b?x=//y%20z", "test"},
      {"http://other:81/a?b", "/a", "/a?b", "other:81"},
      {"HTTP://other", "/", "/", "other"},
      {"http://other?q", "/", "/?q", "other"},
  };
  RawMessage seen;
  RawServer backend(Answering([&](const RawMessage& request) {
    seen = request;
    return Ok("");
  }));
  StartProxy({{backend.address()}});
  for (const auto& row : kCases) {
    EXPECT_EQ(SendRequest(Get(row.target)).status(), 200) << row.target;
    EXPECT_EQ(record_->last_facts().path, row.path) << row.target;
    EXPECT_EQ(seen.head.substr(0, seen.head.find("\r\n")),
              "GET " + std::string(row.upstream) + " HTTP/1.1");
    EXPECT_EQ(seen.Header("host"), row.host) << row.target;
  }
}

TEST_F(ProxyTest, EndsSlowHeadsAndSlowSmallBodies) {
  settings_.header_timeout = std::chrono::milliseconds(300);
  StartProxy({{RefusingAddress()}});
  for (const std::string start : {"GET / HTTP/1.1\r\nHost: te",
                                  "PUT / HTTP/1.1\r\nHost: test\r\nContent-Length: 9\r\n\r\n12"}) {
    RawSocket caller = Connect();
    std::thread dribble([&] {
      while (caller.Send("3")) std::this_thread::sleep_for(std::chrono::milliseconds(100));
    });
    EXPECT_EQ(caller.Read().status(), 400);
    dribble.join();
  }
  EXPECT_EQ(record_->events().size(), 0U);
}

TEST_F(ProxyTest, EndsAStreamedUploadThatStalls) {
  settings_.idle_timeout = std::chrono::milliseconds(300);
  RawServer backend([](RawSocket& socket, int) { socket.AwaitClosed(); });
  StartProxy({{backend.address()}});
  const RawMessage answer =
      SendRequest("PUT / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nha");
  EXPECT_EQ(answer.status(), 400);
  EXPECT_EQ(answer.Header("copperlead-outcome"), "unknown");
}

TEST_F(ProxyTest, RefusesConnectionsBeyondTheLimitImmediately) {
  std::promise<void> release;
  auto released = release.get_future().share();
  RawServer backend([&](RawSocket& socket, int) {
    socket.Read();
    released.wait();
    socket.Send(Ok(""));
  });
  settings_.max_connections = 4;
  StartProxy({{backend.address()}});
  std::vector<RawSocket> busy;
  for (int caller = 0; caller < 4; ++caller) {
    busy.push_back(Connect());
    busy.back().Send(Get("/"));
  }
  EXPECT_TRUE(Eventually([&] { return backend.connections() == 4; }));
  const RawMessage answer = SendRequest(Get("/"));
  EXPECT_EQ(answer.status(), 503);
  EXPECT_EQ(answer.Header("retry-after"), "1");
  EXPECT_EQ(answer.Header("copperlead-outcome"), "not-run");
  release.set_value();
  for (auto& caller : busy) EXPECT_EQ(caller.Read().status(), 200);
}

TEST_F(ProxyTest, EvictsIdleAndSlowCallersForNewOnes) {
  RawServer backend(Answering([](const RawMessage&) { return Ok(""); }));
  settings_.max_connections = 4;
  settings_.header_timeout = settings_.idle_timeout = std::chrono::minutes(5);
  StartProxy({{backend.address()}});
  std::vector<RawSocket> waiting;
  for (int caller = 0; caller < 4; ++caller) {
    waiting.push_back(Connect());
    if (caller % 2 == 0) waiting.back().Send("GET / HT");
  }
  for (int caller = 0; caller < 8; ++caller) {
    RawSocket fresh = Connect();
    int status = 0;
    EXPECT_TRUE(Eventually([&] {
      fresh = Connect();
      fresh.Send(Get("/"));
      status = fresh.Read().status();
      return status == 200;
    }));
    waiting.push_back(std::move(fresh));
  }
}

TEST_F(ProxyTest, ServesAllOfManySimultaneousConnections) {
  RawServer backend(Answering([](const RawMessage&) { return Ok(""); }));
  StartProxy({{backend.address()}});
  std::vector<RawSocket> callers;
  for (int caller = 0; caller < 300; ++caller) callers.push_back(Connect());
  for (const auto& caller : callers) EXPECT_TRUE(caller.Send(Get("/")));
  for (auto& caller : callers) EXPECT_EQ(caller.Read().status(), 200);
}

}  // namespace
}  // namespace copperlead
