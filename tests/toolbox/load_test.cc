// The measuring tool itself: its histogram, its schedule, what it counts.
#include <gtest/gtest.h>
#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <random>
#include <thread>
#include <vector>

#include "toolbox/load_report.h"

namespace copperlead {
namespace {

TEST(LoadHistogramTest, QuantilesStayWithinTheErrorOfASortedList) {
  std::mt19937_64 random(7);
  LoadHistogram histogram;
  std::vector<std::int64_t> values;
  for (int sample = 0; sample < 20'000; ++sample) {
    const auto value = static_cast<std::int64_t>(random() >> (28 + random() % 36));
    values.push_back(value);
    histogram.Add(Duration(value));
  }
  std::sort(values.begin(), values.end());
  for (const double share : {0.001, 0.5, 0.9, 0.99, 0.999, 1.0}) {
    const auto index = static_cast<std::size_t>(std::ceil(share * values.size())) - 1;
    const auto exact = values[index];
    const auto estimate = histogram.Quantile(share).count();
    EXPECT_GE(estimate, exact) << share;
    EXPECT_LE(estimate, exact + exact / 64) << share;
  }
  EXPECT_EQ(histogram.max().count(), values.back());
}

// A server whose second answer (the first one counted) takes `stall`; all others are prompt. One
// thread answers.
class StallingServer {
 public:
  explicit StallingServer(std::chrono::milliseconds stall) {
    server_.new_task_queue = [] { return new httplib::ThreadPool(1); };
    server_.set_keep_alive_max_count(1'000'000);
    server_.Get("/", [this, stall](const httplib::Request&, httplib::Response& response) {
      if (requests_++ == 1) std::this_thread::sleep_for(stall);
      response.status = requests_ % 2 == 0 ? 503 : 200;
      if (response.status == 503) response.set_header("copperlead-outcome", "not-run");
    });
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
  }
  ~StallingServer() {
    server_.stop();
    thread_.join();
  }
  SocketAddress address() const { return {"127.0.0.1", static_cast<std::uint16_t>(port_)}; }

 private:
  httplib::Server server_;
  std::atomic<int> requests_ = 0;
  int port_ = 0;
  std::thread thread_;
};

TEST(LoadRunTest, AStallCountsForEveryRequestThatWasDueInIt) {
  StallingServer server(std::chrono::milliseconds(500));
  LoadPlan plan;
  plan.target = server.address();
  plan.rate = 100;
  plan.duration = std::chrono::seconds(1);
  const LoadResult result = RunLoad(plan, SteadyClock().Now() + WarmUpTime(plan));
  EXPECT_EQ(result.sent, 100U);
  EXPECT_EQ(result.error_count(), 0U);
  // 50 requests were due in the stall; a closed loop would have counted one slow answer.
  EXPECT_GE(result.latency.Quantile(0.75), std::chrono::milliseconds(200));
  EXPECT_EQ(result.by_status.at("200") + result.by_status.at("503"), 100U);
  EXPECT_EQ(result.by_outcome.at("not-run"), result.by_status.at("503"));
}

TEST(LoadRunTest, CountsRequestsWithoutAnAnswer) {
  LoadPlan plan;
  plan.target = {"127.0.0.1", 1};
  plan.duration = std::chrono::seconds(1);
  plan.rate = 20;
  const LoadResult result = RunLoad(plan, SteadyClock().Now());
  EXPECT_EQ(result.error_count(), 20U);
  EXPECT_EQ(result.latency.count(), 0U);
}

}  // namespace
}  // namespace copperlead
