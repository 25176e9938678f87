// Tests single requests through the proxy: responses are complete, refusals are correct and
// failures are visible to the caller.
#include <future>

#include "tests/proxy/proxy_fixture.h"

namespace copperlead {
namespace {

using testing::Test;

std::string Echo(const RawMessage& request) {
  const auto line = request.head.substr(0, request.head.find("\r\n"));
  return Ok(line + "\n" + request.body);
}

TEST_F(ProxyTest, PassesEveryMethodWithItsBody) {
  RawServer backend(Answering(Echo));
  StartProxy({{backend.address()}});
  RawSocket caller = Connect();
  for (const std::string method : {"GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}) {
    caller.Send(method + " /permits//7?a=%2F..&b HTTP/1.1\r\nHost: test\r\nContent-Length: 4\r\n" +
                "\r\nbody");
    const RawMessage answer = caller.Read();
    EXPECT_EQ(answer.status(), 200);
    EXPECT_EQ(answer.body, method + " /permits/7?a=%2F..&b HTTP/1.1\nbody");
  }
  EXPECT_EQ(backend.connections(), 1) << "the connection to the back end is kept";
  EXPECT_TRUE(Eventually([&] { return proxy_->counters().answered == 6; }));
  EXPECT_EQ(proxy_->counters().upstream_connections, 1U);
}

TEST_F(ProxyTest, PassesHeadersUnchanged) {
  const std::string fields =
      "ETag: \"a%41%0d%0ax: y\"\r\nX-Empty: \r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n";
  RawMessage seen;
  RawServer backend(Answering([&](const RawMessage& request) {
    seen = request;
    return Ok("", fields);
  }));
  StartProxy({{backend.address()}});
  const RawMessage answer = SendRequest(Get("/", "X-Note: a%0d%0aInjected: 1\r\nX-Empty: \r\n"));
  EXPECT_NE(answer.head.find(fields), std::string::npos) << answer.head;
  EXPECT_EQ(seen.Header("x-note"), "a%0d%0aInjected: 1");
  EXPECT_EQ(seen.Header("injected"), "");
  EXPECT_NE(seen.head.find("X-Empty: \r\n"), std::string::npos);
}

struct HeaderCase {
  const char* sent;
  const char* name;
  const char* expected;  // Value at the receiver; "" when it must not be forwarded.
};

TEST_F(ProxyTest, StopsHopByHopAndForgedHeaders) {
  const HeaderCase kCases[] = {
      {"Connection: close, X-Secret\r\nX-Secret: 1\r\n", "x-secret", ""},
      {"Connection: Keep-Alive\r\n", "connection", ""},
      {"Keep-Alive: timeout=5\r\n", "keep-alive", ""},
      {"TE: trailers\r\n", "te", ""},
      {"Trailer: X\r\n", "trailer", ""},
      {"Upgrade: websocket\r\n", "upgrade", ""},
      {"Proxy-Authorization: Basic x\r\n", "proxy-authorization", ""},
      {"Proxy-Connection: close\r\n", "proxy-connection", ""},
      {"Expect: 100-continue\r\n", "expect", ""},
      {"copperlead-outcome: not-run\r\n", "copperlead-outcome", ""},
      {"Copperlead-Anything: 1\r\n", "copperlead-anything", ""},
      {"Authorization: Bearer forged\r\n", "authorization", "Bearer the-secret"},
      {"copperlead-attempt: 2\r\n", "copperlead-attempt", "2"},
      {"copperlead-request-id: r-1\r\n", "copperlead-request-id", "r-1"},
      {"x-request-id: r-2\r\n", "copperlead-request-id", "r-2"},
      {"X-Plain: kept\r\n", "x-plain", "kept"},
  };
  RawMessage seen;
  RawServer backend(Answering([&](const RawMessage& request) {
    seen = request;
    return Ok("",
              "Keep-Alive: timeout=9\r\nProxy-Authenticate: x\r\nConnection: X-Hop\r\n"
              "X-Hop: 1\r\nX-Kept: 1\r\n");
  }));
  DeciderScript script{{backend.address()}};
  script.secret = "the-secret";
  StartProxy(script);
  for (const auto& row : kCases) {
    const RawMessage answer = SendRequest(Get("/", row.sent));
    EXPECT_EQ(answer.status(), 200) << row.sent;
    EXPECT_EQ(seen.Header(row.name), row.expected) << row.sent;
    EXPECT_EQ(answer.Header("keep-alive") + answer.Header("x-hop"), "") << answer.head;
    EXPECT_EQ(answer.Header("proxy-authenticate"), "");
    EXPECT_EQ(answer.Header("x-kept"), "1");
  }
}

TEST_F(ProxyTest, PassesTheDeadlineThatIsLeft) {
  RawMessage seen;
  RawServer backend(Answering([&](const RawMessage& request) {
    seen = request;
    return Ok("");
  }));
  StartProxy({{backend.address()}});
  SendRequest(Get("/", "copperlead-deadline-ms: 30000\r\ncopperlead-attempt: 2\r\n"));
  EXPECT_LE(std::stoi(seen.Header("copperlead-deadline-ms")), 30000);
  EXPECT_GT(std::stoi(seen.Header("copperlead-deadline-ms")), 10000);
  EXPECT_TRUE(record_->last_facts().already_retried);
  SendRequest(Get("/"));
  EXPECT_EQ(seen.Header("copperlead-deadline-ms"), "");
}

// A way in which a back end ends the first connection, and the response that the caller gets.
struct FaultCase {
  const char* name;
  RawServer::Serve first;
  int status;  // 0 when no head is received.
  bool whole;
  const char* outcome;
  const char* event;
};

// Sends the bytes to a request and no more until the proxy closes the connection.
RawServer::Serve Sending(const std::string& bytes) {
  return [bytes](RawSocket& socket, int) {
    socket.Read();
    socket.Send(bytes);
    socket.AwaitClosed();
  };
}

TEST_F(ProxyTest, TellsTheTruthAboutEveryFailure) {
  const auto reset = [](RawSocket& socket) { socket.Reset(); };
  const FaultCase kCases[] = {
      {"closed after the request", [](RawSocket& socket, int) { socket.Read(); }, 502, true,
       "unknown", "failed:2"},
      {"reset after the request",
       [&](RawSocket& socket, int) {
         socket.Read();
         reset(socket);
       },
       502, true, "unknown", "failed:2"},
      {"closed after half the head",
       [](RawSocket& socket, int) {
         socket.Read();
         socket.Send("HTTP/1.1 200 OK\r\nContent-Le");
       },
       502, true, "unknown", "failed:2"},
      {"answer that is no HTTP",
       [](RawSocket& socket, int) {
         socket.Read();
         socket.Send("220 smtp ready\r\n\r\n");
       },
       502, true, "unknown", "failed:2"},
      {"answer with two framings",
       [](RawSocket& socket, int) {
         socket.Read();
         socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
       },
       502, true, "unknown", "failed:2"},
      {"unsolicited 101 Switching Protocols",
       [](RawSocket& socket, int) {
         socket.Read();
         socket.Send("HTTP/1.1 101 Switching Protocols\r\n\r\n");
       },
       502, true, "unknown", "failed:2"},
      {"closed after half the answer",
       [](RawSocket& socket, int) {
         socket.Read();
         socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf-");
       },
       200, false, "", "finished:cut"},
      {"closed within the chunks",
       [](RawSocket& socket, int) {
         socket.Read();
         socket.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhalf-\r\n");
       },
       200, false, "", "finished:cut"},
      {"bad chunk in the answer",
       [](RawSocket& socket, int) {
         socket.Read();
         socket.Send(
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhalf-\r\n0\r\n\r\n");
       },
       200, false, "", "finished:cut"},
      {"reset within an answer without a length",
       [&](RawSocket& socket, int) {
         socket.Read();
         socket.Send("HTTP/1.1 200 OK\r\n\r\nhalf-");
         socket.ReadToEnd(1);  // Returns when the proxy closes the connection.
         reset(socket);
       },
       200, false, "", "finished:cut"},
      {"status 000", Sending("HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nok"), 502, true,
       "unknown", "failed:2"},
      {"status 999", Sending("HTTP/1.1 999 Trouble\r\nContent-Length: 2\r\n\r\nok"), 502, true,
       "unknown", "failed:2"},
      {"blank in the name of a field",
       Sending("HTTP/1.1 200 OK\r\nX Other: 1\r\nContent-Length: 2\r\n\r\nok"), 502, true,
       "unknown", "failed:2"},
      {"control byte in the name of a field",
       Sending("HTTP/1.1 200 OK\r\nX\x01Other: 1\r\nContent-Length: 2\r\n\r\nok"), 502, true,
       "unknown", "failed:2"},
      {"bytes that cannot become a head", Sending("220 smtp ready"), 502, true, "unknown",
       "failed:2"},
      {"line without a carriage return", Sending("HTTP/1.1 200 OK\n"), 502, true, "unknown",
       "failed:2"},
      {"trailer that is no field",
       Sending("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nno "
               "field\r\n\r\n"),
       200, false, "", "finished:cut"},
      {"control byte behind a chunk's size",
       Sending("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;\x01\r\nok\r\n0\r\n\r\n"),
       200, false, "", "finished:cut"},
      {"silent after the request",
       [](RawSocket& socket, int) {
         socket.Read();
         socket.AwaitClosed();
       },
       504, true, "unknown", "failed:3"},
      {"silent after half the answer",
       [](RawSocket& socket, int) {
         socket.Read();
         socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf-");
         socket.AwaitClosed();
       },
       200, false, "", "finished:cut"},
  };
  for (const auto& row : kCases) {
    SCOPED_TRACE(row.name);
    record_ = std::make_shared<DeciderRecord>();
    RawServer backend(row.first);
    DeciderScript script{{backend.address()}, 3};
    script.progress_timeout = std::chrono::milliseconds(300);
    StartProxy(script);
    const RawMessage answer = SendRequest(Post("/buy", "one permit"));
    EXPECT_EQ(answer.status(), row.status);
    EXPECT_EQ(answer.complete, row.whole);
    EXPECT_EQ(answer.Header("copperlead-outcome"), row.outcome);
    EXPECT_TRUE(Eventually([&] { return record_->Contains("released"); }));
    EXPECT_TRUE(record_->Contains(row.event));
    EXPECT_EQ(backend.connections(), 1) << "a purchase is sent at most once";
    proxy_.reset();
  }
}

TEST_F(ProxyTest, SaysNotRunWhenNothingWasWritten) {
  StartProxy({{RefusingAddress()}});
  const RawMessage answer = SendRequest(Post("/buy", "one permit"));
  EXPECT_EQ(answer.status(), 503);
  EXPECT_EQ(answer.Header("copperlead-outcome"), "not-run");
  EXPECT_EQ(answer.Header("retry-after"), "1");
  EXPECT_EQ(answer.body, "{\"cause\":\"scripted\",\"error\":\"connect_failed\"}\n");
  EXPECT_TRUE(record_->Contains("failed:0"));
}

TEST_F(ProxyTest, SendsTheWholeBodyAgainOnARetry) {
  RawServer shedding(Answering([](const RawMessage&) {
    return "HTTP/1.1 503 Busy\r\ncopperlead-outcome: not-run\r\nContent-Length: 4\r\n\r\nbusy";
  }));
  RawServer good(Answering(Echo));
  StartProxy({{RefusingAddress(), shedding.address(), good.address()}, 3});
  const RawMessage answer = SendRequest(Post("/buy", "one permit"));
  EXPECT_EQ(answer.body, "POST /buy HTTP/1.1\none permit");
  EXPECT_TRUE(record_->last_facts().body_can_be_resent);
}

// The first response stalls for longer than the timeout, after as many bytes as the parameter says.
// Its remainder must never be taken for the response to a later request.
class LateAnswerTest : public ProxyTest, public testing::WithParamInterface<std::size_t> {};

TEST_P(LateAnswerTest, IsNeverDeliveredToALaterRequest) {
  std::atomic<int> served = 0;
  RawServer backend([&](RawSocket& socket, int) {
    for (;;) {
      const RawMessage request = socket.Read();
      if (!request.complete) return;
      const std::string answer = Echo(request);
      const std::size_t at_once = served++ == 0 ? GetParam() : answer.size();
      socket.Send(std::string_view(answer).substr(0, at_once));
      if (at_once == answer.size()) continue;
      std::this_thread::sleep_for(std::chrono::milliseconds(400));
      if (!socket.Send(std::string_view(answer).substr(at_once))) return;
    }
  });
  DeciderScript script{{backend.address()}};
  script.progress_timeout = std::chrono::milliseconds(150);
  StartProxy(script);
  EXPECT_FALSE(SendRequest(Get("/first")).status() == 200 && record_->Contains("finished:whole"));
  RawSocket caller = Connect();
  for (int request = 0; request < 50; ++request) {
    const std::string path = "/next-" + std::to_string(request);
    caller.Send(Get(path));
    EXPECT_EQ(caller.Read().body, "GET " + path + " HTTP/1.1\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

// Stalls before the head, within the head, after the head and within the body.
INSTANTIATE_TEST_SUITE_P(StallAfter, LateAnswerTest, testing::Values(0, 10, 39, 45));

TEST_F(ProxyTest, NeverPoolsAConnectionWithSomethingLeftOver) {
  RawServer backend(Answering([](const RawMessage& request) {
    return Echo(request) + Ok("an answer that nobody asked for");
  }));
  StartProxy({{backend.address()}});
  RawSocket caller = Connect();
  for (const std::string path : {"/a", "/b", "/c"}) {
    caller.Send(Get(path));
    EXPECT_EQ(caller.Read().body, "GET " + path + " HTTP/1.1\n");
  }
}

// Guards against sending a request behind a body that the back end has refused without reading it.
TEST_F(ProxyTest, SentARequestBehindABodyThatTheBackEndHadNotRead) {
  RawServer backend(Answering([](const RawMessage& request) {
    return request.body.empty() ? Echo(request) : "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
  }));
  StartProxy({{backend.address()}});
  EXPECT_EQ(SendRequest(Get("/a")).status(), 200);
  EXPECT_EQ(SendRequest(Post("/a", "body")).status(), 503);
  EXPECT_EQ(backend.connections(), 1);
  EXPECT_EQ(SendRequest(Get("/a")).status(), 200);
  EXPECT_EQ(SendRequest(Get("/a")).status(), 200);
  EXPECT_EQ(backend.connections(), 2);
}

// Guards against a response that becomes one by the end of its connection, at whichever byte of its
// head that comes.
TEST_F(ProxyTest, AResponseWhoseHeadStopsIsNoResponse) {
  for (const std::string fields : {"Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
    const std::string head = "HTTP/1.1 200 OK\r\n" + fields + "\r\n";
    std::atomic<std::size_t> size = 0;
    RawServer backend([&](RawSocket& socket, int) {
      socket.Read();
      socket.Send(head.substr(0, size));
    });
    StartProxy({{backend.address()}});
    for (; size < head.size(); ++size) {
      const RawMessage answer = SendRequest(Get("/a"));
      EXPECT_EQ(answer.status(), 502) << size;
      EXPECT_TRUE(answer.complete) << size;
    }
  }
}

TEST_F(ProxyTest, TakesAFreshConnectionWhenThePooledOneWasClosed) {
  RawServer backend([](RawSocket& socket, int) {
    socket.Send(Echo(socket.Read()));  // Then closes without having announced it.
  });
  StartProxy({{backend.address()}});
  for (int request = 0; request < 5; ++request) {
    EXPECT_EQ(SendRequest(Post("/buy", "one")).status(), 200);
    EXPECT_TRUE(Eventually([&] { return backend.connections() == request + 1; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

struct BodylessCase {
  const char* request;
  const char* answer;
  const char* length;  // Content-Length of the relayed response.
};

TEST_F(ProxyTest, RelaysResponsesWithoutBody) {
  const BodylessCase kCases[] = {
      {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", "1000"},
      {"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ""},
      {"GET", "HTTP/1.1 204 No Content\r\n\r\n", ""},
      {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 55\r\n\r\n", "55"},
      {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "0"},
      {"GET", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", ""},
  };
  for (const auto& row : kCases) {
    SCOPED_TRACE(row.answer);
    RawServer backend(Answering([&](const RawMessage&) { return std::string(row.answer); }));
    StartProxy({{backend.address()}});
    RawSocket caller = Connect();
    for (int request = 0; request < 3; ++request) {
      caller.Send(std::string(row.request) + " / HTTP/1.1\r\nHost: test\r\n\r\n");
      const RawMessage answer = caller.Read(std::string_view(row.request) == "HEAD");
      EXPECT_NE(answer.status(), 0);
      EXPECT_EQ(answer.Header("content-length"), row.length);
      EXPECT_EQ(answer.Header("transfer-encoding"), "");
    }
    EXPECT_EQ(backend.connections(), 1);
    proxy_.reset();
  }
}

TEST_F(ProxyTest, AnswersPipelinedRequestsInOrder) {
  RawServer backend(Answering(Echo));
  StartProxy({{backend.address()}});
  RawSocket caller = Connect();
  caller.Send(Post("/1", "x") + Get("/2") + Post("/3", "yyy") + Get("/4"));
  for (const std::string expected :
       {"POST /1 HTTP/1.1\nx", "GET /2 HTTP/1.1\n", "POST /3 HTTP/1.1\nyyy", "GET /4 HTTP/1.1\n"}) {
    EXPECT_EQ(caller.Read().body, expected);
  }
}

TEST_F(ProxyTest, StreamsChunksBothWays) {
  const std::string chunked_answer =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n";
  RawMessage seen;
  RawServer backend(Answering([&](const RawMessage& request) {
    seen = request;
    return chunked_answer;
  }));
  StartProxy({{backend.address()}});
  RawSocket caller = Connect();
  for (int request = 0; request < 3; ++request) {
    caller.Send("PUT /plate HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nnigh");
    caller.Send("\r\n1\r\nt\r\n0\r\n\r\n");
    const RawMessage answer = caller.Read();
    EXPECT_EQ(seen.body, "night");
    EXPECT_EQ(answer.body, "abcde");
    EXPECT_TRUE(answer.complete);
  }
  EXPECT_EQ(backend.connections(), 1);
  EXPECT_FALSE(record_->last_facts().body_can_be_resent);
  const RawMessage old = SendRequest("GET / HTTP/1.0\r\n\r\n");
  EXPECT_EQ(old.body, "abcde") << "an HTTP/1.0 caller gets no chunks";
  EXPECT_EQ(old.Header("transfer-encoding") + old.Header("connection"), "close");
}

TEST_F(ProxyTest, PassesAnAnswerThatEndsWithTheConnection) {
  RawServer backend([](RawSocket& socket, int) {
    socket.Read();
    socket.Send("HTTP/1.1 200 OK\r\n\r\nall of it");
  });
  StartProxy({{backend.address()}});
  const RawMessage answer = SendRequest(Get("/"));
  EXPECT_EQ(answer.body, "all of it");
  EXPECT_TRUE(answer.complete);
}

// Without chunks or a length, an orderly end would make a partial response look complete.
TEST_F(ProxyTest, ResetsAnHttp10CallerWhoseResponseIsIncomplete) {
  RawServer backend([](RawSocket& socket, int) {
    socket.Read();
    socket.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhalf-\r\n");
  });
  StartProxy({{backend.address()}});
  RawSocket caller = Connect();
  caller.Send("GET / HTTP/1.0\r\n\r\n");
  caller.Read();
  EXPECT_TRUE(caller.was_reset());
}

// Guards against a response without end, which arrives so fast that the proxy never waits for it,
// and is relayed after its deadline for as long as the caller reads.
TEST_F(ProxyTest, ABodyWithoutEndIsBrokenOffAfterTheDeadline) {
  RawServer backend([](RawSocket& socket, int) {
    socket.Read();
    socket.Send("HTTP/1.1 200 OK\r\n\r\n");
    while (socket.Send(std::string(1 << 16, 'b'))) {
    }
  });
  StartProxy({{backend.address()}});
  for (const char* version : {"HTTP/1.1", "HTTP/1.0"}) {
    RawSocket caller = Connect();
    const auto begun = std::chrono::steady_clock::now();
    caller.Send(std::string("GET / ") + version +
                "\r\nHost: test\r\ncopperlead-deadline-ms: 500\r\n\r\n");
    std::string last;
    for (std::string piece = "-"; !piece.empty(); last = piece.empty() ? last : piece) {
      piece = caller.AwaitReadable(begun + std::chrono::seconds(5)) ? caller.ReadToEnd(1) : "";
    }
    EXPECT_LT(std::chrono::steady_clock::now() - begun, std::chrono::seconds(5)) << version;
    EXPECT_FALSE(last.ends_with("0\r\n\r\n"));
    EXPECT_TRUE(version == std::string("HTTP/1.1") || caller.was_reset());
  }
}

TEST_F(ProxyTest, ContinuesWhenTheCallerWaitsForIt) {
  RawServer backend(Answering(Echo));
  settings_.buffer_limit = 8;
  StartProxy({{backend.address()}});
  for (const std::string body : {"small", "larger than the buffer"}) {
    RawSocket caller = Connect();
    caller.Send("PUT / HTTP/1.1\r\nHost: test\r\nExpect: 100-continue\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n");
    EXPECT_EQ(caller.Read().status(), 100);
    caller.Send(body);
    EXPECT_EQ(caller.Read().body, "PUT / HTTP/1.1\n" + body);
    EXPECT_EQ(record_->last_facts().body_can_be_resent, body.size() <= settings_.buffer_limit);
  }
}

TEST_F(ProxyTest, PassesAnEarlyAnswerToAnUpload) {
  RawServer backend([](RawSocket& socket, int) {
    std::size_t read = socket.ReadToEnd(1).size();
    socket.Send("HTTP/1.1 100 Continue\r\n\r\n");
    while (read < 50'000) read += socket.ReadToEnd(1).size();
    socket.Send("HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nlarge");
    socket.AwaitClosed();
  });
  StartProxy({{backend.address()}});
  RawSocket caller = Connect();
  caller.Send("PUT / HTTP/1.1\r\nHost: test\r\nContent-Length: 100000000\r\n\r\n" +
              std::string(60'000, 'x'));
  const RawMessage answer = caller.Read();
  EXPECT_EQ(answer.status(), 413);
  EXPECT_EQ(answer.body, "large");
  EXPECT_EQ(answer.Header("connection"), "close");
  EXPECT_TRUE(caller.AwaitClosed());
}

TEST_F(ProxyTest, CallerThatLeavesEndsTheUpstreamCall) {
  std::promise<void> closed;
  RawServer backend([&](RawSocket& socket, int) {
    socket.Read();
    if (socket.AwaitClosed()) closed.set_value();
  });
  StartProxy({{backend.address()}});
  RawSocket caller = Connect();
  caller.Send(Get("/"));
  EXPECT_TRUE(Eventually([&] { return backend.connections() == 1; }));
  caller.Close();
  EXPECT_EQ(closed.get_future().wait_for(std::chrono::seconds(20)), std::future_status::ready);
  EXPECT_TRUE(Eventually([&] { return record_->Contains("failed:5"); }));
}

TEST_F(ProxyTest, CallerThatLeavesWithinItsUploadEndsTheUpstreamCall) {
  std::promise<void> closed;
  RawServer backend([&](RawSocket& socket, int) {
    if (!socket.Read().complete) closed.set_value();
  });
  StartProxy({{backend.address()}});
  RawSocket caller = Connect();
  caller.Send("PUT / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
  EXPECT_TRUE(Eventually([&] { return backend.connections() == 1; }));
  caller.Close();
  EXPECT_EQ(closed.get_future().wait_for(std::chrono::seconds(20)), std::future_status::ready);
  EXPECT_TRUE(Eventually([&] { return record_->Contains("failed:5"); }));
}

}  // namespace
}  // namespace copperlead
