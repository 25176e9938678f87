// The stand-ins themselves: what other tests rely on.

#include <gtest/gtest.h>
#include <httplib.h>

#include <cstdlib>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include "standin/child_process.h"
#include "standin/content.h"
#include "standin/http_client.h"

namespace copperlead::standin {
namespace {

constexpr auto kLimit = std::chrono::seconds(20);

// One stand-in as a process, with the addresses that it printed.
struct Standin {
  std::unique_ptr<ChildProcess> process;
  SocketAddress listen;
  SocketAddress control;
};

SocketAddress Address(const std::string& text) {
  return Resolve([&] { return ParseSocketAddress(text); }).value();
}

Standin Start(std::vector<std::string> arguments) {
  const char* binaries = std::getenv("COPPERLEAD_BINARIES");
  std::vector<std::string> command{std::string(binaries ? binaries : "build/bin") +
                                   "/copperlead-standin"};
  command.insert(command.end(), arguments.begin(), arguments.end());
  Standin standin;
  standin.process = std::make_unique<ChildProcess>(command, "/dev/null");
  const auto line = standin.process->ReadLine(kLimit);
  if (!line) throw std::runtime_error("the stand-in is not ready");
  const auto ready = nlohmann::json::parse(*line);
  standin.listen = Address(ready["listen"]);
  standin.control = Address(ready["control"]);
  return standin;
}

nlohmann::json JournalOf(const Standin& backend) {
  return nlohmann::json::parse(Get(backend.control, "/control/journal").body);
}

HttpCall CallWithId(const SocketAddress& address, const std::string& method,
                    const std::string& path, const std::string& id, const std::string& body = "") {
  HttpCall call;
  call.address = address;
  call.method = method;
  call.path = path;
  call.headers["copperlead-request-id"] = id;
  call.body = body;
  return call;
}

class SourceStandinTest : public testing::Test {
 protected:
  SourceStandinTest() {
    const std::string file = testing::TempDir() + "standin_document.json";
    std::ofstream(file) << "one";
    source_ = Start({"source", "--configuration", file, "--machines", file});
  }
  HttpAnswer Read(const std::string& tag = "") {
    HttpCall call;
    call.address = source_.listen;
    call.path = "/v1/configuration";
    call.timeout = std::chrono::milliseconds(500);
    if (!tag.empty()) call.headers["If-None-Match"] = tag;
    return Send(call);
  }
  Standin source_;
};

TEST_F(SourceStandinTest, ServesWithTagsAndFailsOnDemand) {
  const auto first = Read();
  EXPECT_EQ(first.body, "one");
  EXPECT_EQ(Read(first.Header("etag")).status, 304);
  EXPECT_EQ(Put(source_.control, "/v1/configuration", "two").status, 200);
  EXPECT_EQ(Read(first.Header("etag")).body, "two");
  EXPECT_EQ(Post(source_.control, "/control/mode?mode=stale").status, 200);
  Put(source_.control, "/v1/configuration", "three");
  EXPECT_EQ(Read().body, "two");
  Post(source_.control, "/control/mode?mode=back&versions=2");
  EXPECT_EQ(Read().body, "one");
  for (const char* mode : {"down", "hang"}) {
    Post(source_.control, std::string("/control/mode?mode=") + mode);
    EXPECT_FALSE(Read().whole) << mode;
  }
  Post(source_.control, "/control/mode?mode=oversized&bytes=100000");
  EXPECT_EQ(Read().body.size(), 100000U);
  Post(source_.control, "/control/mode?mode=up");
  EXPECT_EQ(Read().body, "three");
  const auto counters = nlohmann::json::parse(Get(source_.control, "/control/counters").body);
  EXPECT_EQ(counters["reads"]["/v1/configuration"]["304"], 1);
  EXPECT_GE(counters["total"], 9);
}

TEST(StoreStandinTest, RestoresABackupAndReusesRevisions) {
  const auto store = Start({"store"});
  const auto put = [&](const std::string& value) {
    return nlohmann::json::parse(Put(store.control, "/control/key?key=a", value).body)["revision"];
  };
  EXPECT_EQ(put("one"), 1);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  EXPECT_EQ(put("two"), 2);
  EXPECT_EQ(put("three"), 3);
  EXPECT_EQ(Get(store.listen, "/v1/kv-key?private_key=a").Header("store-era"), "1");

  Post(store.control, "/control/restore?age_ms=100");
  const auto restored = Get(store.listen, "/v1/kv-key?private_key=a");
  EXPECT_EQ(restored.Header("store-era"), "2");
  EXPECT_EQ(nlohmann::json::parse(restored.body)["revision"], 1);
  const auto lost = Get(store.listen, "/v1/kv-watch?path_prefix=&after=3&wait_ms=0");
  EXPECT_EQ(lost.status, 410);
  EXPECT_EQ(lost.Header("store-era"), "2");
  EXPECT_EQ(put("four"), 2);
  EXPECT_EQ(Get(store.listen, "/v1/kv-watch?path_prefix=&after=1&wait_ms=0").status, 200);
}

TEST(BackendStandinTest, CountsRunsAndRefusesTruly) {
  const auto backend = Start({"backend", "--id", "b1", "--slots", "1", "--drain-ms", "0"});
  const std::string body = ContentFor("u1", 0, 300000);
  const auto upload = Send(CallWithId(backend.listen, "PUT", "/upload", "u1", body));
  ASSERT_TRUE(upload.whole);
  const auto echo = nlohmann::json::parse(upload.body);
  EXPECT_EQ(echo["body_hash"], HashOf(body));
  EXPECT_EQ(echo["runs"], 1);
  EXPECT_EQ(upload.Header("copperlead-load"), "1/1");
  const auto download = Send(CallWithId(backend.listen, "GET", "/x/download/200001", "d1"));
  EXPECT_EQ(download.body, ContentFor("d1", 0, 200001));
  const auto chunked = Send(CallWithId(backend.listen, "GET", "/download/200001?chunked=1", "d2"));
  EXPECT_EQ(chunked.body, ContentFor("d2", 0, 200001));

  Post(backend.control, "/control/mode?mode=shed&times=1");
  const auto refused = Send(CallWithId(backend.listen, "POST", "/", "r1", "x"));
  EXPECT_EQ(refused.status, 503);
  EXPECT_TRUE(refused.SaysNotRun());
  EXPECT_EQ(JournalOf(backend)["entries"]["r1"]["runs"], 0);
  EXPECT_EQ(Send(CallWithId(backend.listen, "POST", "/", "r1", "x")).status, 200);
  EXPECT_EQ(JournalOf(backend)["entries"]["r1"]["runs"], 1);

  backend.process->Signal(SIGTERM);
  EXPECT_EQ(backend.process->Wait(kLimit), 0);
}

TEST(BackendStandinTest, SendsAnUnaskedAnswerBehindACrossedOne) {
  const auto backend = Start({"backend", "--id", "b1"});
  Post(backend.control, "/control/mode?mode=crossed&times=1&ms=50");
  httplib::Client client(backend.listen.ip, backend.listen.port);
  client.set_keep_alive(true);
  ASSERT_TRUE(client.Get("/", {{"copperlead-request-id", "first"}}));
  const auto second = client.Get("/", {{"copperlead-request-id", "second"}});
  ASSERT_TRUE(second);
  EXPECT_EQ(nlohmann::json::parse(second->body)["request_id"], "first");
}

// A fault, what becomes of one upload behind it, and whether the back end ran it.
struct FaultCase {
  const char* fault;
  bool whole;
  int runs;
};

TEST(FaultProxyStandinTest, EndsConnectionsWhereTold) {
  const auto backend = Start({"backend", "--id", "b1"});
  const auto proxy = Start({"fault-proxy", "--to", ToString(backend.listen)});
  const std::string body(100000, 'x');
  const FaultCase cases[] = {
      {"none", true, 1},
      {"refuse", false, 0},
      {"none", true, 1},
      {"cut", false, 0},
      {"freeze", false, 0},
      {"cut&direction=backward", false, 1},
      {"reset&direction=forward&after=0", false, 0},
      {"reset&direction=forward&after=50000", false, 0},
      {"reset&direction=backward&after=0", false, 1},
      {"reset&direction=backward&after=40&gentle=1", false, 1},
      {"drop&percent=100", false, 0},
      {"stop-accepting", false, 0},
      {"delay&ms=1", true, 1},
  };
  int number = 0;
  for (const auto& entry : cases) {
    const std::string id = "request-" + std::to_string(++number);
    ASSERT_EQ(Post(proxy.control, std::string("/control/fault?fault=") + entry.fault).status, 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));  // The accept loop's round.
    auto call = CallWithId(proxy.listen, "POST", "/", id, body);
    call.timeout = std::chrono::milliseconds(500);
    EXPECT_EQ(Send(call).whole, entry.whole) << entry.fault;
    const auto journal = JournalOf(backend);
    const auto found = journal["entries"].find(id);
    const int runs = found == journal["entries"].end() ? 0 : (*found)["runs"].get<int>();
    EXPECT_EQ(runs, entry.runs) << entry.fault;
  }
}

}  // namespace
}  // namespace copperlead::standin
