// Entries of another writer beside those of the instances. See review/8/claim.txt.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kMachines = 4;
constexpr int kDownMs = 600, kRecoveryMs = 15000, kJudgedMs = 15000;  // bounds.recovery_s
constexpr double kQuarter = 0.25;

const char kConfiguration[] =
    R"({"version":"r7","routes":{)"
    R"("r-west":{"host":"first.example","path_prefix":"/west/","kind":"idempotent","timeout_ms":600,"target_latency_ms":250,"priority":1,"service":"west","max_attempts":2},)"
    R"("r-east":{"host":"first.example","path_prefix":"/east/","kind":"non_idempotent","timeout_ms":600,"target_latency_ms":250,"priority":1,"service":"east","max_attempts":2}},)"
    R"("services":{"west":{"health_path":"/health","max_connections":130},"east":{"health_path":"/health","max_connections":130}},)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

struct Sent {
  std::string id;
  double at = 0;
  int status = 0;
  std::string cause;
};

}  // namespace

int main(int, char** arguments) {
  Watchdog(115);
  const std::string folder = arguments[1];
  Record record(arguments[2]);
  std::vector<std::string> ips;
  for (int i = 0; i < kMachines; ++i)
    ips.push_back("127.82." + std::to_string(i % 2) + "." + std::to_string(10 + i));
  Ports ports{};
  Store store;
  if (!FindPorts(ips, ports) || !store.Start("127.82.9.1", ports.outbound)) return 2;
  const auto store_address = "127.82.9.1:" + std::to_string(ports.outbound);

  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<std::unique_ptr<Sidecar>> sidecars;
  for (int i = 0; i < kMachines; ++i) {
    const auto at = static_cast<std::size_t>(i);
    const std::string service = i < 2 ? "west" : "east";
    const std::string zone = i % 2 == 0 ? "zone-a" : "zone-b";
    instances.push_back(
        std::make_unique<Instance>(service, "i-" + service + std::to_string(i), zone));
    if (!instances.back()->Start(ips[at], ports.app)) return 2;
    store.Put(instances.back()->Key(), instances.back()->Entry("ready"));
    sidecars.push_back(std::make_unique<Sidecar>("sidecar-" + std::to_string(i), zone, service,
                                                 ips[at], ports, store_address, folder));
  }
  store.Put("op/config", kConfiguration);
  for (const auto& sidecar : sidecars) sidecar->Start();
  for (const auto& sidecar : sidecars) {
    for (int i = 0; i < 100 && !sidecar->Ready(); ++i) Sleep(100);
    if (!sidecar->Ready()) return 2;
  }
  record.Line("all sidecars are ready");
  Sleep(4000);

  std::atomic<bool> ends{false};
  std::mutex mutex;
  std::vector<Sent> sent;
  std::vector<std::thread> clients;
  for (const auto& sidecar : sidecars) {
    clients.emplace_back([&, ip = sidecar->ip, name = sidecar->name()] {
      for (int n = 0; !ends; ++n) {
        Sent one;
        one.id = name + "-" + std::to_string(n);
        one.at = Now();
        const auto answer = Request(
            ip, ports.outbound,
            n % 2 == 0 ? RequestText("GET", "first.example", "/west/1", one.id, 500)
                       : RequestText("POST", "first.example", "/east/1", one.id, 500, "order"),
            1000);
        one.status = answer.status;
        one.cause = answer.cause.empty() ? answer.body.substr(0, answer.body.find('\n')) : answer.cause;
        {
          const std::lock_guard lock(mutex);
          sent.push_back(one);
        }
        Sleep(100);
      }
    });
  }
  Sleep(8000);

  // Another writer puts an entry for each machine: of a service that no configuration names.
  if (Trouble()) {
    for (int i = 0; i < kMachines; ++i) {
      const auto at = static_cast<std::size_t>(i);
      store.Put("servers/agent-" + std::to_string(i),
                "{\"service\":\"inventory\",\"address\":\"" + ips[at] + ":" +
                    std::to_string(ports.app) +
                    "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":1,\"state\":\"ready\","
                    "\"cold_remaining_ms\":0,\"call_seq\":0}");
    }
    record.Line("another writer has put servers/agent-0 to servers/agent-3, service inventory");
  }
  // The final fault: all processes are killed.
  const double fault = Now();
  for (const auto& sidecar : sidecars) sidecar->Kill();
  record.Line("all sidecars are killed");
  Sleep(kDownMs);
  for (const auto& sidecar : sidecars) sidecar->Start();
  const double back = Now();
  record.Line("all sidecars start again");
  Sleep(kRecoveryMs + kJudgedMs);
  ends = true;
  for (auto& client : clients) client.join();

  int before = 0, before_served = 0, after = 0, after_served = 0;
  for (const auto& one : sent) {
    record.Line("sent " + std::to_string(one.at) + " " + one.id + " -> " +
                std::to_string(one.status) + " " + one.cause);
    if (one.at < fault) {
      ++before;
      before_served += one.status == 200 ? 1 : 0;
    } else if (one.at > back + kRecoveryMs / 1000.0) {
      ++after;
      after_served += one.status == 200 ? 1 : 0;
    }
  }
  std::printf("served before the final fault: %d of %d; from recovery_s after the return on: %d of %d\n",
              before_served, before, after_served, after);
  record.Line("verdict: served before the final fault " + std::to_string(before_served) + " of " +
              std::to_string(before) + ", from recovery_s after the return on " +
              std::to_string(after_served) + " of " + std::to_string(after));
  if (before == 0 || after == 0 || before_served < before * kQuarter) return 2;
  return after_served < after * kQuarter ? 1 : 0;
}
