#include "toolbox/load_run.h"

#include <httplib.h>
#include <sys/prctl.h>

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace copperlead {
namespace {

constexpr Duration kWarmUpInterval = std::chrono::milliseconds(1);  // Between connections.
constexpr Duration kWarmUpMargin = std::chrono::milliseconds(500);  // For the last one's answer.

constexpr std::size_t kBodyPieceBytes = std::size_t{64} * 1024;

Timestamp Now() { return SteadyClock().Now(); }

// Shared by the workers of one run.
struct Schedule {
  const LoadPlan& plan;
  const Timestamp start;
  const std::uint64_t total;
  std::atomic<std::uint64_t> next = 0;

  Timestamp DueTime(std::uint64_t index) const {
    const double seconds = static_cast<double>(index) / plan.rate;
    return start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  }
};

void SetUpClient(httplib::Client& client, const LoadPlan& plan) {
  client.set_keep_alive(plan.keep_alive);
  client.set_tcp_nodelay(true);
  client.set_url_encode(false);
  client.set_decompress(false);
  client.set_connection_timeout(plan.timeout);
  client.set_read_timeout(plan.timeout);
  client.set_write_timeout(plan.timeout);
}

// Large bodies are never held whole.
bool WriteBodyPiece(std::size_t /*offset*/, std::size_t length, httplib::DataSink& sink) {
  static const std::string piece(kBodyPieceBytes, 'x');
  return sink.write(piece.data(), std::min(length, piece.size()));
}

httplib::Request MakeRequest(const LoadPlan& plan) {
  httplib::Request request;
  request.method = plan.method;
  request.path = plan.path;
  if (plan.body_bytes > 0) {
    request.content_length_ = plan.body_bytes;
    request.content_provider_ = WriteBodyPiece;
    request.set_header("Content-Type", "application/octet-stream");
  }
  return request;
}

void Count(const httplib::Result& answer, Duration latency, LoadResult& result) {
  ++result.sent;
  if (!answer) {
    ++result.errors[httplib::to_string(answer.error())];
    return;
  }
  result.latency.Add(latency);
  ++result.by_status[std::to_string(answer->status)];
  const std::string outcome = answer->get_header_value("copperlead-outcome");
  if (!outcome.empty()) ++result.by_outcome[outcome];
}

// One connection: takes the next request that is due, waits for its time, sends it.
void Work(Schedule& schedule, Timestamp first_use, LoadResult& result) {
  prctl(PR_SET_TIMERSLACK, 1);  // Nanosecond: else the system may wake it 50 us late.
  httplib::Client client(schedule.plan.target.ip, schedule.plan.target.port);
  SetUpClient(client, schedule.plan);
  const httplib::Request request = MakeRequest(schedule.plan);
  std::this_thread::sleep_until(first_use);
  if (client.send(request)) result.first_latency.Add(Now() - first_use);
  for (;;) {
    const std::uint64_t index = schedule.next.fetch_add(1);
    if (index >= schedule.total) return;
    const Timestamp due = schedule.DueTime(index);
    std::this_thread::sleep_until(due);
    const httplib::Result answer = client.send(request);
    Count(answer, Now() - due, result);
  }
}

void AddTo(std::map<std::string, std::uint64_t>& total,
           const std::map<std::string, std::uint64_t>& part) {
  for (const auto& [name, count] : part) total[name] += count;
}

void Merge(LoadResult& total, const LoadResult& part) {
  total.latency.Merge(part.latency);
  total.first_latency.Merge(part.first_latency);
  total.sent += part.sent;
  AddTo(total.by_status, part.by_status);
  AddTo(total.by_outcome, part.by_outcome);
  AddTo(total.errors, part.errors);
}

}  // namespace

std::uint64_t LoadResult::error_count() const {
  std::uint64_t total = 0;
  for (const auto& [cause, count] : errors) total += count;
  return total;
}

Duration WarmUpTime(const LoadPlan& plan) {
  return kWarmUpMargin + kWarmUpInterval * static_cast<Duration::rep>(plan.connections);
}

LoadResult RunLoad(const LoadPlan& plan, Timestamp start) {
  const double total = plan.rate * static_cast<double>(plan.duration.count());
  Schedule schedule{plan, start, static_cast<std::uint64_t>(total)};
  std::vector<LoadResult> results(plan.connections);
  std::vector<std::thread> workers;
  workers.reserve(plan.connections);
  Timestamp first_use = start - WarmUpTime(plan);
  for (auto& result : results) {
    workers.emplace_back([&schedule, &result, first_use] { Work(schedule, first_use, result); });
    first_use += kWarmUpInterval;
  }
  for (auto& worker : workers) worker.join();
  LoadResult merged;
  for (const auto& result : results) Merge(merged, result);
  merged.seconds = std::chrono::duration<double>(Now() - start).count();
  return merged;
}

}  // namespace copperlead
