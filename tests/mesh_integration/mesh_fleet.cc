#include "tests/mesh_integration/mesh_fleet.h"

#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "standin/forwarder.h"
#include "standin/socket_address.h"
#include "tests/integration/process_harness.h"

namespace copperlead::standin {
namespace {

constexpr auto kStartTime = std::chrono::seconds(20);
constexpr auto kPollInterval = std::chrono::milliseconds(20);

// Below the range from which the system takes the ports of those who name none.
constexpr int kFirstPort = 10'000, kPortCount = 20'000;

bool IsFree(std::uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const SystemAddress any = ToSystem({"0.0.0.0", port});
  const bool free = bind(descriptor, any.get(), any.length) == 0;
  close(descriptor);
  return free;
}

// A port that is free on all of loopback now and that nobody gets by chance before it is bound:
// stand-ins and fault proxies on the same IPs listen where the system puts them.
std::uint16_t FreePort() {
  // Processes that run beside each other begin at different ports.
  static std::atomic<int> next{getpid() * 16};
  for (int tries = 0; tries < kPortCount; ++tries) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPortCount);
    if (IsFree(port)) return port;
  }
  return 0;
}

// Forwards a new port of `ip` to `target`. @return its address; `board` puts faults on it.
SocketAddress StartProxy(const std::string& ip, const SocketAddress& target, FaultBoard*& board) {
  // The forwarder's threads run until the process ends, and the boards with them.
  static auto* const boards = new std::deque<FaultBoard>();
  board = &boards->emplace_back();
  const auto sockets = BindForwarder({ip, 0}, false);
  StartTcpForwarder(*sockets, target, *board);
  return sockets->address;
}

std::string RouteText(const std::string& name, const std::string& prefix, const std::string& kind,
                      int timeout_ms, const std::string& service) {
  return "\"" + name + R"(":{"host":"shop.example","path_prefix":")" + prefix + R"(","kind":")" +
         kind + R"(","timeout_ms":)" + std::to_string(timeout_ms) +
         R"(,"target_latency_ms":200,"priority":1,"service":")" + service +
         R"(","max_attempts":2})";
}

}  // namespace

std::string ExtraRoute(const std::string& name, const std::string& prefix,
                       const std::string& service, bool is_public) {
  std::string text = "," + RouteText(name, prefix, "idempotent", 2000, service);
  if (is_public) text.insert(text.size() - 1, R"(,"public":true)");
  return text;
}

std::string RouteOfKind(const std::string& name, const std::string& prefix, const std::string& kind,
                        int timeout_ms, const std::string& service) {
  return "," + RouteText(name, prefix, kind, timeout_ms, service);
}

std::string TenantText(const std::string& name, const std::string& key, int per_second, int burst) {
  return "\"" + name + R"(":{"api_keys":[")" + key + R"("],"rate_per_s":)" +
         std::to_string(per_second) + R"(,"burst":)" + std::to_string(burst) + "}";
}

BusiestWindow BusiestWindowOf(const MeshFleet& fleet, const std::string& tenant) {
  // What may be repeated may run at several instances, and is one request all the same.
  std::map<std::string, std::chrono::steady_clock::time_point> first_runs;
  for (const auto& machine : fleet.machines()) {
    for (const auto& run : machine->instance->runs()) {
      if (!run.ran || run.tenant != tenant) continue;
      auto& first = first_runs.try_emplace(run.request_id, run.ran_at).first->second;
      first = std::min(first, run.ran_at);
    }
  }
  std::vector<std::chrono::steady_clock::time_point> times;
  for (const auto& [id, first] : first_runs) times.push_back(first);
  std::sort(times.begin(), times.end());
  BusiestWindow busiest;
  for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= std::chrono::seconds(5)) ++first;
    if (last - first + 1 > busiest.runs) busiest = {last - first + 1, times[first]};
  }
  return busiest;
}

std::string Configuration(std::uint64_t version, const std::string& extra_routes,
                          const std::string& tenants, std::size_t max_body_bytes) {
  return R"({"version":"r)" + std::to_string(version) + R"(","routes":{)" +
         RouteText("look", "/look/", "idempotent", 2000, "desk") + "," +
         RouteText("buy", "/buy/", "non_idempotent", 2000, "desk") + "," +
         RouteText("slow", "/slow/", "idempotent", 300, "desk") + "," +
         RouteText("hub", "/hub/", "idempotent", 2000, "hub") + extra_routes + "}," +
         (tenants.empty() ? "" : R"("tenants":{)" + tenants + "},") +
         R"("services":{"desk":{"health_path":"/health","max_connections":130},)"
         R"("hub":{"health_path":"/health","max_connections":130}},)"
         R"("limits":{"max_header_bytes":4096,"max_body_bytes":)" +
         std::to_string(max_body_bytes) + R"(,"header_timeout_ms":500,"idle_timeout_ms":5000}})";
}

MeshFleet::MeshFleet()
    : outbound_port_(FreePort()),
      inbound_port_(FreePort()),
      readiness_port_(FreePort()),
      relay_port_(FreePort()),
      metrics_port_(FreePort()),
      query_port_(FreePort()) {
  store_.AddHandlers(first_.server(), 0);
  store_.AddHandlers(second_.server(), 1);
  first_.Start({"127.0.0.1", 0});
  second_.Start({"127.0.0.1", 0});
}

MeshFleet::~MeshFleet() {
  for (auto& machine : machines_) machine->sidecar.reset();
  for (auto& machine : machines_) machine->instance->Stop();
  store_.Stop();
  if (evidence_.wanted()) RecordRuns();
}

void MeshFleet::RecordRuns() const {
  for (const auto& machine : machines_) {
    for (const auto& run : machine->instance->runs()) {
      nlohmann::json line = {{"instance", machine->instance_id},
                             {"ip", machine->ip},
                             {"id", run.request_id},
                             {"target", run.target},
                             {"tenant", run.tenant},
                             {"expected", run.expected},
                             {"ran", run.ran},
                             {"broken_off", run.broken_off}};
      if (run.ran) line["time"] = ToUnixMilliseconds(run.ran_at);
      evidence_.Record("runs", line);
    }
  }
}

MeshMachine& MeshFleet::Add(const std::string& service, const std::string& zone,
                            std::size_t store_listener) {
  auto machine = std::make_unique<MeshMachine>();
  const auto number = std::to_string(machines_.size() + 1);
  // An IP block for each test process, so that tests may run beside each other.
  machine->ip = "127." + std::to_string(1 + getpid() % 200) + ".0." + number;
  machine->zone = zone;
  machine->service = service;
  machine->instance_id = "i-" + number;
  machine->store = store_listener == 0 ? first_.address() : second_.address();
  machine->decisions = std::make_unique<LogTail>(evidence_.PathOf(machine->ip + ".decisions"));
  InstanceSettings settings;
  settings.id = machine->instance_id;
  machine->instance = std::make_unique<Instance>(settings);
  machine->instance->Start({machine->ip, 0});
  machine->instance_address = machine->instance->address();
  if (instance_proxies_) {
    machine->instance_address =
        StartProxy(machine->ip, machine->instance->address(), machine->instance_faults);
  }
  if (store_proxies_) {
    machine->store = StartProxy(machine->ip, machine->store, machine->store_faults);
  }
  machines_.push_back(std::move(machine));
  List(*machines_.back());
  return *machines_.back();
}

void MeshFleet::List(const MeshMachine& machine, const std::string& state) {
  store_.Put("servers/" + machine.instance_id,
             R"({"service":")" + machine.service + R"(","address":")" +
                 ToString(machine.instance_address) + R"(","zone":")" + machine.zone +
                 R"(","version":"v1","slots":6,"state":")" + state +
                 R"(","cold_remaining_ms":0,"call_seq":1,"born":)" +
                 std::to_string(machine.instance->born()) + "}");
}

void MeshFleet::Configure(std::uint64_t version, const std::string& extra_routes,
                          const std::string& tenants) {
  store_.Put("op/config", Configuration(version, extra_routes, tenants, max_body_bytes_));
}

void MeshFleet::Start(MeshMachine& machine, const std::vector<std::string>& flags) {
  const auto address = [&](std::uint16_t port) { return machine.ip + ":" + std::to_string(port); };
  std::vector<std::string> command = {Binaries() + "/copperlead-sidecar",
                                      "--id",
                                      "node-" + machine.ip,
                                      "--zone",
                                      machine.zone,
                                      "--service",
                                      machine.service,
                                      "--outbound",
                                      address(outbound_port_),
                                      "--inbound",
                                      address(inbound_port_),
                                      "--readiness",
                                      address(readiness_port_),
                                      "--instance",
                                      ToString(machine.instance_address),
                                      "--source",
                                      ToString(machine.store),
                                      "--load-queries",
                                      address(query_port_),
                                      "--header-request-id",
                                      "X-Request-Id",
                                      "--header-deadline",
                                      "X-Deadline-Ms",
                                      "--header-signature",
                                      "X-Response-Seal",
                                      "--header-expect-instance",
                                      "X-Expect-Instance",
                                      "--header-instance-id",
                                      "X-Instance-Id",
                                      "--header-cold-time",
                                      "X-Cold-Ms",
                                      "--header-not-run",
                                      "X-Not-Executed",
                                      "--header-rate-limit",
                                      "Server-Limit",
                                      "--header-leaving",
                                      "Server-Leaving",
                                      "--header-caller",
                                      "X-Caller-Service",
                                      "--header-credential",
                                      "X-Credential",
                                      "--header-tenant",
                                      "X-Tenant"};
  if (relay_) command.insert(command.end(), {"--relay", address(relay_port_)});
  command.insert(command.end(), flags.begin(), flags.end());
  machine.sidecar =
      std::make_unique<ChildProcess>(command, evidence_.PathOf(machine.ip + ".errors"),
                                     evidence_.PathOf(machine.ip + ".decisions"));
}

bool MeshFleet::AwaitReady(const MeshMachine& machine) {
  const auto until = std::chrono::steady_clock::now() + kStartTime;
  while (std::chrono::steady_clock::now() < until) {
    if (Ready(machine).status == 200) return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

bool MeshFleet::StartAll() {
  for (auto& machine : machines_) Start(*machine);
  bool ready = true;
  for (auto& machine : machines_) ready = AwaitReady(*machine) && ready;
  return ready;
}

HttpAnswer MeshFleet::Call(const MeshMachine& machine, const MeshRequest& request) const {
  HttpCall call;
  call.address = outbound(machine);
  call.method = request.method;
  call.path = request.path;
  call.body = request.body;
  call.headers = request.more;
  call.headers["Host"] = "shop.example";
  call.headers["X-Request-Id"] = request.id;
  call.headers["X-Deadline-Ms"] = request.deadline_ms;
  call.timeout = std::chrono::seconds(8);
  const auto sent_at = std::chrono::steady_clock::now();
  HttpAnswer answer = Send(call);
  evidence_.Record("answers", {{"sent", ToUnixMilliseconds(sent_at)},
                               {"time", ToUnixMilliseconds(std::chrono::steady_clock::now())},
                               {"id", request.id},
                               {"path", request.path},
                               {"ip", machine.ip},
                               {"status", answer.status},
                               {"whole", answer.whole},
                               {"failure", answer.failure},
                               {"retry_after", answer.Header("retry-after")}});
  return answer;
}

HttpAnswer MeshFleet::Ready(const MeshMachine& machine) const {
  return Get({machine.ip, readiness_port_}, "/readyz");
}

int MeshFleet::RunsOf(const std::string& request_id) const {
  int runs = 0;
  for (const auto& machine : machines_) runs += machine->instance->RunsOf(request_id);
  return runs;
}

}  // namespace copperlead::standin
