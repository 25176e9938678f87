#include "toolbox/hollow_fleet.h"

#include <gtest/gtest.h>
#include <httplib.h>

#include <atomic>
#include <thread>

#include "distribution/profiles.h"
#include "toolbox/hollow_report.h"

namespace copperlead {
namespace {

constexpr auto kGenerousWait = std::chrono::seconds(60);

template <class Condition>
bool WaitFor(Condition condition) {
  const auto deadline = std::chrono::steady_clock::now() + kGenerousWait;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

// Serves one row under the given revision, and no machines.
class SourceOfOneRow {
 public:
  SourceOfOneRow() : port_(server_.bind_to_any_port("127.0.0.1")) {
    server_.Get(
        "/v1/configuration", [this](const httplib::Request& request, httplib::Response& response) {
          const std::string etag = std::to_string(revision);
          response.set_header("ETag", etag);
          response.status = request.get_header_value("If-None-Match") == etag ? 304 : 200;
          if (response.status == 304) return;
          response.set_content(
              R"({"revision":)" + etag +
                  R"(,"table":"service,route,old_weight,new_weight,timeout_ms,)"
                  R"(requests_per_second,max_in_flight,max_retries,repeatable,secret\n)"
                  R"(desk,/,90,10,500,0,0,1,by-method,\n","services":{"desk":)"
                  R"({"slots_per_instance":6,"connections_per_instance":130}},"secrets":{}})",
              "application/json");
        });
    server_.Get("/v1/machines", [](const httplib::Request&, httplib::Response& response) {
      response.set_content(R"({"sequence":1,"machines":[]})", "application/json");
    });
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  ~SourceOfOneRow() {
    server_.stop();
    thread_.join();
  }
  SocketAddress address() const { return {"127.0.0.1", static_cast<std::uint16_t>(port_)}; }

  std::atomic<std::uint64_t> revision{1};

 private:
  httplib::Server server_;
  int port_;
  std::thread thread_;
};

TEST(HollowFleetTest, TakesEachRevisionOverRealSockets) {
  constexpr std::size_t kNodes = 12;
  SourceOfOneRow source;
  HollowFleetSettings settings;
  settings.nodes = kNodes;
  settings.zones = 2;
  settings.threads = 2;
  settings.listen_ip = "127.0.0.1";
  settings.source = source.address();
  settings.keys.keys = {std::string(32, 'k')};
  settings.agent = AvlakProfile();
  settings.agent.source_interval = Milliseconds(200);
  HollowFleet fleet(settings);
  ASSERT_TRUE(Resolve([&] { return fleet.Start(); }).ok());
  const auto all_run = [&](const std::string& revision) {
    return WaitFor([&] { return fleet.Outcome().nodes_by_version[revision] == kNodes; });
  };
  ASSERT_TRUE(all_run("1"));
  ASSERT_TRUE(WaitFor([&] { return fleet.Outcome().least_live_members == kNodes; }));
  fleet.activations().Begin();
  const HollowCosts before = fleet.Costs();
  source.revision = 2;
  ASSERT_TRUE(all_run("2"));

  HollowReport report;
  report.nodes = kNodes;
  report.before = before;
  report.after = fleet.Costs();
  report.outcome = fleet.Outcome();
  report.spreads = fleet.activations().Spreads();
  ASSERT_EQ(report.spreads.size(), 1U);
  EXPECT_EQ(report.spreads.front().revision, 2U);
  EXPECT_EQ(report.spreads.front().nodes, kNodes);
  EXPECT_EQ(report.after.bad_frames + report.after.unsealed_frames, 0U);
  EXPECT_GT(report.after.bytes_sent, before.bytes_sent);
  EXPECT_NE(ToJsonText(report).find("\"running\":{\"2\":12}"), std::string::npos);
  EXPECT_NE(ToText(report).find("revision 2: 12 nodes"), std::string::npos);
}

TEST(ActivationLogTest, MeasuresFromTheFirstActivation) {
  ActivationLog log;
  const Timestamp start{std::chrono::seconds(100)};
  log.Add({1, 0, 0}, start);  // While joining: not kept.
  log.Begin();
  for (int count = 100; count >= 1; --count) log.Add({2, 0, 0}, start + Milliseconds(count));
  log.Add({2, 1, 0}, start);
  const std::vector<VersionSpread> spreads = log.Spreads();
  ASSERT_EQ(spreads.size(), 2U);
  EXPECT_EQ(spreads[0].nodes, 100U);
  EXPECT_EQ(spreads[0].median, Milliseconds(49));
  EXPECT_EQ(spreads[0].p99, Milliseconds(98));
  EXPECT_EQ(spreads[0].last, Milliseconds(99));
  EXPECT_EQ(spreads[1].resource_epoch, 1U);
}

}  // namespace
}  // namespace copperlead
