// `copperlead load`: an open-loop load on a node or a back end, and what the node adds.

#include <algorithm>
#include <iostream>
#include <optional>
#include <thread>

#include "toolbox/command.h"
#include "toolbox/command_options.h"
#include "toolbox/load_report.h"
#include "toolbox/load_responder.h"

namespace copperlead {
namespace {

namespace options = boost::program_options;

constexpr double kMaxRate = 1e6;
constexpr std::size_t kMaxConnections = 10'000;
constexpr std::int64_t kMaxSeconds = 86'400;
constexpr std::size_t kMaxBodyBytes = std::size_t{1} << 34;
// Back ends have few connections; the direct side shares no limit with the node.
constexpr std::size_t kMaxDirectConnections = 16;

CommandDescription Describe() {
  CommandDescription description;
  description.usage =
      "copperlead load --target IP:PORT --rate N --duration-s N [--connections N] [--path P] "
      "[--method M] [--body-bytes N] [--direct IP:PORT] [--watch-pid PID] [--json]\n"
      "       copperlead load --respond IP:PORT";
  description.purpose =
      "Sends requests at a fixed rate, whatever the answers do, and measures latency from the\n"
      "moment each was due. With --direct, sends the same schedule to a back end beside it.\n"
      "Exit 0: every request got a whole answer; 1: some got none; 3: none got one.";
  description.example =
      "copperlead load --target 127.0.0.1:8080 --direct 127.0.0.1:9001 --rate 190 "
      "--duration-s 20 --connections 200 --path /permits --json";
  description.options.add_options()("target", options::value<std::string>(), "IP:PORT")(
      "rate", options::value<double>()->default_value(100), "requests a second")(
      "duration-s", options::value<std::int64_t>()->default_value(10), "seconds")(
      "connections", options::value<std::size_t>()->default_value(1), "kept connections")(
      "path", options::value<std::string>()->default_value("/"), "path and query")(
      "method", options::value<std::string>()->default_value("GET"), "")(
      "body-bytes", options::value<std::size_t>()->default_value(0), "size of each body")(
      "direct", options::value<std::string>(), "IP:PORT of a back end, for comparison")(
      "respond", options::value<std::string>(),
      "answer requests on this IP:PORT instead, as a back end to measure with")(
      "watch-pid", options::value<int>(), "report CPU and memory of this process")(
      "new-connections", options::bool_switch(), "one connection for each request")(
      "json", options::bool_switch(), "one JSON object");
  return description;
}

template <class T>
Result<T> InRange(const CommandOptions& options, const std::string& key, T least, T most) {
  const T value = options.values[key].as<T>();
  if (value >= least && value <= most) return value;
  return Fail(ErrorKind::kUsage, "--" + key,
              "must be " + std::to_string(least) + " to " + std::to_string(most));
}

Result<LoadPlan> ReadPlan(const CommandOptions& options) {
  LoadPlan plan;
  BOOST_LEAF_ASSIGN(plan.target, RequiredAddress(options, "target"));
  BOOST_LEAF_ASSIGN(plan.rate, InRange<double>(options, "rate", 0.01, kMaxRate));
  BOOST_LEAF_AUTO(seconds, InRange<std::int64_t>(options, "duration-s", 1, kMaxSeconds));
  plan.duration = std::chrono::seconds(seconds);
  BOOST_LEAF_ASSIGN(plan.connections,
                    InRange<std::size_t>(options, "connections", 1, kMaxConnections));
  BOOST_LEAF_ASSIGN(plan.body_bytes, InRange<std::size_t>(options, "body-bytes", 0, kMaxBodyBytes));
  plan.keep_alive = !options.values["new-connections"].as<bool>();
  plan.path = options.Text("path");
  plan.method = options.Text("method");
  if (plan.path.empty() || plan.path[0] != '/') {
    return Fail(ErrorKind::kUsage, "--path", "must begin with '/'");
  }
  return plan;
}

// Runs the target's schedule, and the direct one beside it, shifted by half an interval so that
// the two do not send at the same moments.
void Measure(const LoadPlan& plan, const std::optional<SocketAddress>& direct, int pid,
             LoadReport& report) {
  const Timestamp start = SteadyClock().Now() + WarmUpTime(plan);
  std::thread beside;
  if (direct) {
    LoadPlan direct_plan = plan;
    direct_plan.target = *direct;
    direct_plan.connections = std::min(plan.connections, kMaxDirectConnections);
    const auto half_interval = std::chrono::duration<double>(0.5 / plan.rate);
    const Timestamp shifted = start + std::chrono::duration_cast<Duration>(half_interval);
    beside = std::thread(
        [&report, direct_plan, shifted] { report.direct = RunLoad(direct_plan, shifted); });
  }
  std::thread through([&] { report.target = RunLoad(plan, start); });
  std::this_thread::sleep_until(start);
  if (pid > 0) report.before = ReadProcessUsage(pid);
  through.join();
  if (pid > 0) report.after = ReadProcessUsage(pid);
  if (beside.joinable()) beside.join();
}

int ExitCodeOf(const LoadResult& target) {
  if (target.latency.count() == 0) return kExitUnreachable;
  return target.error_count() == 0 ? kExitGood : kExitNotSo;
}

Result<int> Run(const CommandOptions& options) {
  if (options.Has("respond")) {
    BOOST_LEAF_AUTO(listen, RequiredAddress(options, "respond"));
    return RunResponder(listen);
  }
  LoadReport report;
  BOOST_LEAF_ASSIGN(report.plan, ReadPlan(options));
  std::optional<SocketAddress> direct;
  if (options.Has("direct")) {
    BOOST_LEAF_ASSIGN(direct, RequiredAddress(options, "direct"));
  }
  const int pid = options.Has("watch-pid") ? options.values["watch-pid"].as<int>() : 0;
  Measure(report.plan, direct, pid, report);
  std::cout << (options.values["json"].as<bool>() ? ToJsonText(report) : ToText(report));
  return ExitCodeOf(report.target);
}

}  // namespace

int RunLoad(const std::vector<std::string>& arguments) {
  return RunCommand("load", Describe(), arguments, Run);
}

}  // namespace copperlead
