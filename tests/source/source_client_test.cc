#include "source/source_client.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

#include "snapshot/source_documents.h"
#include "tests/proxy/raw_socket.h"

namespace copperlead {
namespace {

constexpr auto kMaxTestWait = std::chrono::seconds(20);
constexpr char kConfiguration[] =
    R"({"revision":7,"table":"service,route,old_weight,new_weight,timeout_ms,requests_per_second,)"
    R"(max_in_flight,max_retries,repeatable,secret\npermit-desk,/permits,90,10,500,0,0,1,by-method,\n",)"
    R"("services":{"permit-desk":{"slots_per_instance":6,"connections_per_instance":130}},)"
    R"("secrets":{}})";
constexpr char kMachines[] =
    R"({"sequence":31,"machines":[{"id":"node-1","kind":"node","zone":"ank-a",)"
    R"("address":"127.0.0.1:7001","state":"leaving"}]})";

// Collects the results that the client reports.
class Answers {
 public:
  SourceClient::Receiver receiver() {
    return [this](SourceAnswered answered) {
      const std::lock_guard lock(mutex_);
      answers_.push_back(std::move(answered));
      changed_.notify_all();
    };
  }

  SourceAnswered Next() {
    std::unique_lock lock(mutex_);
    if (!changed_.wait_for(lock, kMaxTestWait, [&] { return !answers_.empty(); })) {
      ADD_FAILURE() << "no answer";
      return {};
    }
    SourceAnswered answered = std::move(answers_.front());
    answers_.pop_front();
    return answered;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<SourceAnswered> answers_;
};

SourceClientSettings SettingsFor(int port) {
  SourceClientSettings settings;
  settings.address = {"127.0.0.1", static_cast<std::uint16_t>(port)};
  settings.read_timeout = Milliseconds(400);
  return settings;
}

// A regular HTTP server.
class HttpSource {
 public:
  HttpSource() : port_(server.bind_to_any_port("127.0.0.1")) {}
  ~HttpSource() {
    server.stop();
    if (thread_.joinable()) thread_.join();
  }
  int Start() {
    thread_ = std::thread([this] { server.listen_after_bind(); });
    while (!server.is_running()) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return port_;
  }

  httplib::Server server;

 private:
  int port_;
  std::thread thread_;
};

// Accepts one connection, sends `start` at once and then `repeated` again and again, with a pause
// before each, until the client disconnects or the test ends. Reads no request before it has
// stopped sending.
class RawSource {
 public:
  RawSource(std::string start, std::string repeated, Milliseconds pause, bool close_after_start)
      : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    listen(listener_, 8);
    socklen_t size = sizeof(address);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    thread_ =
        std::thread([this, start = std::move(start), repeated = std::move(repeated), pause,
                     close_after_start] { Serve(start, repeated, pause, close_after_start); });
  }
  ~RawSource() {
    ending_ = true;
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }
  int port() const { return port_; }

 private:
  void Serve(const std::string& start, const std::string& repeated, Milliseconds pause,
             bool close_after_start) const {
    const int connection = accept(listener_, nullptr, nullptr);
    if (connection < 0) return;
    bool open = Write(connection, start) && !close_after_start;
    while (open && !ending_) {
      std::this_thread::sleep_for(pause);
      open = Write(connection, repeated);
    }
    shutdown(connection, SHUT_WR);
    char buffer[4096];
    while (recv(connection, buffer, sizeof(buffer), 0) > 0) {
    }
    close(connection);
  }
  static bool Write(int connection, const std::string& bytes) {
    return send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }

  int listener_;
  int port_ = 0;
  std::atomic<bool> ending_{false};
  std::thread thread_;
};

TEST(SourceClientTest, ReadsBothDocumentsAndAsksConditionally) {
  HttpSource source;
  const auto serve = [&](const char* path, const char* body, const char* etag) {
    source.server.Get(path, [=](const httplib::Request& request, httplib::Response& response) {
      response.set_header("ETag", etag);
      if (request.get_header_value("If-None-Match") == etag) {
        response.status = 304;
        return;
      }
      response.set_content(body, "application/json");
    });
  };
  serve("/v1/configuration", kConfiguration, "\"7\"");
  serve("/v1/machines", kMachines, "\"m31\"");
  Answers answers;
  const auto client = StartSourceClient(SettingsFor(source.Start()), answers.receiver());

  client->Fetch({StreamKind::kConfiguration, ""});
  const SourceAnswered configuration = answers.Next();
  ASSERT_EQ(configuration.status, SourceAnswered::Status::kNew) << ToString(configuration.error);
  EXPECT_EQ(configuration.etag, "\"7\"");
  EXPECT_EQ(configuration.configuration->bundle.revision, 7U);
  EXPECT_TRUE(configuration.configuration->faults.empty());

  client->Fetch({StreamKind::kConfiguration, "\"7\""});
  const SourceAnswered unchanged = answers.Next();
  EXPECT_EQ(unchanged.status, SourceAnswered::Status::kNotModified) << ToString(unchanged.error);
  EXPECT_EQ(unchanged.etag, configuration.etag);

  client->Fetch({StreamKind::kConfiguration, "\"6\""});
  EXPECT_EQ(answers.Next().status, SourceAnswered::Status::kNew);

  client->Fetch({StreamKind::kMachines, ""});
  const SourceAnswered machines = answers.Next();
  ASSERT_EQ(machines.status, SourceAnswered::Status::kNew) << ToString(machines.error);
  EXPECT_EQ(machines.stream, StreamKind::kMachines);
  EXPECT_EQ(machines.machines->sequence, 31U);
  client->Stop();
  client->Stop();
}

TEST(SourceClientTest, GivesATableWithFaultsAsNew) {
  HttpSource source;
  std::string body = kConfiguration;
  body.replace(body.find(",90,10,"), 7, ",90,20,");
  source.server.Get("/v1/configuration", [&](const httplib::Request&, httplib::Response& response) {
    response.set_content(body, "application/json");
  });
  Answers answers;
  const auto client = StartSourceClient(SettingsFor(source.Start()), answers.receiver());
  client->Fetch({StreamKind::kConfiguration, ""});
  const SourceAnswered answered = answers.Next();
  ASSERT_EQ(answered.status, SourceAnswered::Status::kNew) << ToString(answered.error);
  ASSERT_EQ(answered.configuration->faults.size(), 1U);
  EXPECT_EQ(answered.configuration->faults.front().kind, ErrorKind::kWeightsSum);
}

TEST(SourceClientTest, NamesWhatIsWrongWithAnAnswer) {
  struct Case {
    const char* name;
    int status;
    std::string body;
    ErrorKind expected;
    std::string expected_cause;  // Expected part of the cause.
  };
  const std::vector<Case> cases = {
      {"server error", 500, kConfiguration, ErrorKind::kSourceBadAnswer, "500"},
      {"not found", 404, "", ErrorKind::kSourceBadAnswer, "404"},
      {"empty success", 204, "", ErrorKind::kSourceBadAnswer, "204"},
      {"304 to an unconditional request", 304, "", ErrorKind::kSourceBadAnswer, "304"},
      {"redirect", 302, "", ErrorKind::kSourceBadAnswer, "302"},
      {"empty", 200, "", ErrorKind::kMalformedJson, ""},
      {"cut", 200, std::string(kConfiguration).substr(0, 90), ErrorKind::kMalformedJson, ""},
      {"revision 0", 200, R"({"revision":0,"table":"","services":{},"secrets":{}})",
       ErrorKind::kBadValue, ""},
      {"oversized", 200, std::string(kMaxSourceBodyBytes + 1, ' '), ErrorKind::kOversized, ""},
  };
  HttpSource source;
  std::atomic<int> requests{0};
  std::atomic<std::size_t> current{0};
  source.server.Get(".*", [&](const httplib::Request&, httplib::Response& response) {
    ++requests;
    response.status = cases[current].status;
    response.set_header("Location", "/elsewhere");
    response.set_content(cases[current].body, "application/json");
  });
  SourceClientSettings settings = SettingsFor(source.Start());
  settings.read_timeout = std::chrono::seconds(10);  // Leaves time to transfer the oversized body.
  Answers answers;
  const auto client = StartSourceClient(settings, answers.receiver());
  for (std::size_t index = 0; index < cases.size(); ++index) {
    current = index;
    client->Fetch({StreamKind::kConfiguration, ""});
    const SourceAnswered answered = answers.Next();
    EXPECT_EQ(answered.status, SourceAnswered::Status::kFailed) << cases[index].name;
    EXPECT_EQ(answered.error.kind, cases[index].expected)
        << cases[index].name << ": " << ToString(answered.error);
    EXPECT_NE(answered.error.cause.find(cases[index].expected_cause), std::string::npos)
        << cases[index].name << ": " << answered.error.cause;
    EXPECT_EQ(requests, static_cast<int>(index) + 1)
        << "a redirect was followed or a request repeated";
  }
}

TEST(SourceClientTest, IsBoundedAgainstAnySource) {
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n";
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string megabyte(1 << 20, ' ');
  const Milliseconds write_interval(20);
  struct Case {
    const char* name;
    std::string start;
    std::string repeated;
    Milliseconds pause;
    bool close_after_start;
    ErrorKind expected;
  };
  const std::vector<Case> cases = {
      {"sends nothing", "", "", write_interval, false, ErrorKind::kSourceTimeout},
      {"sends its status line slowly", "HTTP/1.1 200 O", "K", write_interval, false,
       ErrorKind::kSourceTimeout},
      {"sends its headers slowly", "HTTP/1.1 200 OK\r\n", "A: b\r\n", write_interval, false,
       ErrorKind::kSourceTimeout},
      {"sends its body slowly", head, " ", write_interval, false, ErrorKind::kSourceTimeout},
      {"sends chunks slowly", chunked, "1\r\n \r\n", write_interval, false,
       ErrorKind::kSourceTimeout},
      {"hangs within the body", head + "{", "", write_interval, false, ErrorKind::kSourceTimeout},
      {"sends endless chunks", chunked, "100000\r\n" + megabyte + "\r\n", Milliseconds(0), false,
       ErrorKind::kOversized},
      {"announces a body over the limit", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
       megabyte, Milliseconds(0), false, ErrorKind::kOversized},
      {"closes at once", "", "", write_interval, true, ErrorKind::kSourceBadAnswer},
      {"closes within the body", head + "{", "", write_interval, true, ErrorKind::kSourceBadAnswer},
      {"sends interim responses without end", "", "HTTP/1.1 100 Continue\r\n\r\n", Milliseconds(0),
       false, ErrorKind::kSourceTimeout},
      {"sends a line without end", "HTTP/1.1 200 OK\r\nA: ", megabyte, Milliseconds(0), false,
       ErrorKind::kSourceBadAnswer},
      {"sends headers without end", "HTTP/1.1 200 OK\r\n", "A: b\r\n", Milliseconds(0), false,
       ErrorKind::kSourceBadAnswer},
      {"sends a chunk extension without end", chunked + "1;", megabyte, Milliseconds(0), false,
       ErrorKind::kSourceBadAnswer},
      {"sends trailers without end", chunked + "0\r\n", "A: b\r\n", Milliseconds(0), false,
       ErrorKind::kSourceBadAnswer},
      {"sends status 000", "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}", "",
       write_interval, false, ErrorKind::kSourceBadAnswer},
      {"sends a blank in a name", "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 2\r\n\r\n{}", "",
       write_interval, false, ErrorKind::kSourceBadAnswer},
      {"sends a control byte in a name",
       "HTTP/1.1 200 OK\r\nA\x01b: c\r\nContent-Length: 2\r\n\r\n{}", "", write_interval, false,
       ErrorKind::kSourceBadAnswer},
      {"does not speak HTTP", "SSH-2.0-server\r\n\r\n", "", write_interval, true,
       ErrorKind::kSourceBadAnswer},
  };
  for (const Case& entry : cases) {
    const RawSource source(entry.start, entry.repeated, entry.pause, entry.close_after_start);
    Answers answers;
    SourceClientSettings settings = SettingsFor(source.port());
    if (entry.expected != ErrorKind::kSourceTimeout) settings.read_timeout = kMaxTestWait;
    const auto client = StartSourceClient(settings, answers.receiver());
    client->Fetch({StreamKind::kMachines, ""});
    const SourceAnswered answered = answers.Next();
    EXPECT_EQ(answered.status, SourceAnswered::Status::kFailed) << entry.name;
    EXPECT_EQ(answered.error.kind, entry.expected)
        << entry.name << ": " << ToString(answered.error);
    EXPECT_EQ(answered.error.place,
              "http://127.0.0.1:" + std::to_string(source.port()) + "/v1/machines");
  }
}

// Guards against a part of a document that is taken for all of it.
TEST(SourceClientTest, ADocumentThatAResetCutsOffIsNoAnswer) {
  const std::string whole = std::string("HTTP/1.1 200 OK\r\n\r\n") + kMachines;
  for (const bool is_reset : {true, false}) {
    RawServer source([&](RawSocket& socket, int) {
      socket.Read();
      socket.Send(whole);
      if (is_reset) socket.Reset();
    });
    Answers answers;
    const auto client = StartSourceClient(SettingsFor(source.address().port), answers.receiver());
    client->Fetch({StreamKind::kMachines, ""});
    EXPECT_EQ(answers.Next().status,
              is_reset ? SourceAnswered::Status::kFailed : SourceAnswered::Status::kNew);
  }
}

// Guards against a head that stops, at whichever byte, and counts as an empty document or as news.
TEST(SourceClientTest, AResponseWhoseHeadStopsIsNoAnswer) {
  for (const std::string head :
       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 304 Not Modified\r\n\r\n"}) {
    std::atomic<std::size_t> size = 0;
    RawServer source([&](RawSocket& socket, int) {
      socket.Read();
      socket.Send(head.substr(0, size));
    });
    for (; size < head.size(); ++size) {
      Answers answers;
      const auto client = StartSourceClient(SettingsFor(source.address().port), answers.receiver());
      client->Fetch({StreamKind::kMachines, ""});
      EXPECT_EQ(answers.Next().status, SourceAnswered::Status::kFailed) << size;
    }
  }
}

TEST(SourceClientTest, RefusedConnectionIsUnreachable) {
  int port = 0;
  {
    const RawSource gone("", "", Milliseconds(1), true);
    port = gone.port();
  }
  Answers answers;
  const auto client = StartSourceClient(SettingsFor(port), answers.receiver());
  client->Fetch({StreamKind::kConfiguration, ""});
  EXPECT_EQ(answers.Next().error.kind, ErrorKind::kSourceUnreachable);
}

TEST(SourceClientTest, SlowStreamDoesNotDelayTheOther) {
  HttpSource source;
  std::atomic<bool> release{false};
  source.server.Get("/v1/configuration", [&](const httplib::Request&, httplib::Response&) {
    while (!release) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  });
  source.server.Get("/v1/machines", [](const httplib::Request&, httplib::Response& response) {
    response.set_content(kMachines, "application/json");
  });
  SourceClientSettings settings = SettingsFor(source.Start());
  settings.read_timeout = kMaxTestWait;
  Answers answers;
  const auto client = StartSourceClient(settings, answers.receiver());
  client->Fetch({StreamKind::kConfiguration, ""});
  client->Fetch({StreamKind::kMachines, ""});
  EXPECT_EQ(answers.Next().stream, StreamKind::kMachines);
  client->Stop();  // Cancels the hanging request, for which no result is reported.
  release = true;
}

}  // namespace
}  // namespace copperlead
