// Plays a storm of configurations that ends with a kill of all sidecars. See review/4/claim.txt.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kMachines = 4, kFillerRoutes = 1260;
constexpr double kApplySeconds = 2.0;  // bounds.config_apply_ms
constexpr double kConnectedSeconds = 3.0;  // bounds.connected_ms
constexpr int kStormMs = 5000, kGapMs = 150;
constexpr int kStaleMs = 3000, kDownMs = 600;

std::string Route(const std::string& name, const std::string& host, const std::string& prefix,
                  const std::string& kind, const std::string& service) {
  return "\"" + name + "\":{\"host\":\"" + host + "\",\"path_prefix\":\"" + prefix +
         "\",\"kind\":\"" + kind +
         "\",\"timeout_ms\":600,\"target_latency_ms\":250,\"priority\":1,\"service\":\"" + service +
         "\",\"max_attempts\":2}";
}

std::string Configuration(int version, const std::string& service) {
  std::string routes = Route("r-first", "first.example", "/first/", "idempotent", service);
  char number[16];
  for (int i = 0; i < kFillerRoutes; ++i) {
    std::snprintf(number, sizeof(number), "%05d", i);
    routes += "," + Route(std::string("r-idle") + number, "ficu95.example",
                          std::string("/idle") + number + "/", "non_idempotent", "west");
  }
  return "{\"version\":\"r" + std::to_string(version) + "\",\"routes\":{" + routes +
         "},\"services\":{\"west\":{\"health_path\":\"/health\",\"max_connections\":130},"
         "\"east\":{\"health_path\":\"/health\",\"max_connections\":130}},"
         "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

struct Sent {
  std::string id, machine, by;
  double at = 0;
  Answer answer;
};

}  // namespace

int main(int, char** arguments) {
  Watchdog(115);
  const std::string folder = arguments[1];
  Record record(arguments[2]);
  std::vector<std::string> ips;
  for (int i = 0; i < kMachines; ++i)
    ips.push_back("127.81." + std::to_string(i % 2) + "." + std::to_string(10 + i));
  Ports ports{};
  Store store;
  if (!FindPorts(ips, ports) || !store.Start("127.81.9.1", ports.outbound)) return 2;
  store.stale_ms = kStaleMs;
  const auto store_address = "127.81.9.1:" + std::to_string(ports.outbound);

  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<std::unique_ptr<Sidecar>> sidecars;
  for (int i = 0; i < kMachines; ++i) {
    const std::string service = i < 2 ? "west" : "east";
    const std::string zone = i % 2 == 0 ? "zone-a" : "zone-b";
    instances.push_back(std::make_unique<Instance>(service, "i-" + service + std::to_string(i), zone));
    if (!instances.back()->Start(ips[static_cast<std::size_t>(i)], ports.app)) return 2;
    store.Put(instances.back()->Key(), instances.back()->Entry("ready"));
    sidecars.push_back(std::make_unique<Sidecar>("sidecar-" + std::to_string(i), zone, service,
                                                 ips[static_cast<std::size_t>(i)], ports,
                                                 store_address, folder));
  }
  int version = 7;
  store.Put("op/config", Configuration(version, "west"));
  record.Line("configuration r7, " + std::to_string(Configuration(version, "west").size()) +
              " bytes, is acknowledged: first.example/first/ is served by west");
  for (const auto& sidecar : sidecars) sidecar->Start();
  for (const auto& sidecar : sidecars) {
    for (int i = 0; i < 100 && !sidecar->Ready(); ++i) Sleep(100);
    if (!sidecar->Ready()) return 2;
  }
  record.Line("all sidecars are ready");

  // Clients: at each machine a request every 100 ms.
  std::atomic<bool> ends{false};
  std::mutex mutex;
  std::vector<Sent> sent;
  std::vector<std::thread> clients;
  for (const auto& sidecar : sidecars) {
    clients.emplace_back([&, ip = sidecar->ip, name = sidecar->name()] {
      for (int n = 0; !ends; ++n) {
        Sent one;
        one.id = name + "-" + std::to_string(n);
        one.machine = name;
        one.at = Now();
        one.answer = Request(ip, ports.outbound,
                             RequestText("GET", "first.example", "/first/1", one.id, 500), 1000);
        if (one.answer.body.rfind("by ", 0) == 0)
          one.by = one.answer.body.substr(3, one.answer.body.find(' ', 3) - 3);
        {
          const std::lock_guard lock(mutex);
          sent.push_back(one);
        }
        Sleep(100);
      }
    });
  }
  Sleep(5000);

  // The storm: a configuration each 150 ms for 5 s. The last one moves the route to the other
  // service. Right after its acknowledgement all sidecars are killed; they start again 0.6 s later.
  const auto begin = Clock::now();
  const int count = kStormMs / kGapMs;
  double acknowledged = 0;
  for (int i = 0; i < count; ++i) {
    version += 2;
    const auto text = Configuration(version, i + 1 == count ? "east" : "west");
    std::this_thread::sleep_until(begin + Ms(i * kGapMs));
    store.Put("op/config", text);
    acknowledged = Now();
    record.Line("configuration r" + std::to_string(version) + ", " + std::to_string(text.size()) +
                " bytes, is acknowledged" + (i + 1 == count ? ": the route is served by east" : ""));
  }
  double from = acknowledged + kApplySeconds;
  if (Trouble()) {
    for (const auto& sidecar : sidecars) sidecar->Kill();
    record.Line("all sidecars are killed");
    Sleep(kDownMs);
    for (const auto& sidecar : sidecars) sidecar->Start();
    record.Line("all sidecars start again");
    from = std::max(from, Now() + kConnectedSeconds);
  }
  Sleep(24000);
  ends = true;
  for (auto& client : clients) client.join();

  std::map<std::string, int> late, late_ok;
  std::map<std::string, double> last_old;
  for (const auto& one : sent) {
    record.Line("sent " + std::to_string(one.at) + " " + one.id + " -> " +
                std::to_string(one.answer.status) + " " +
                (one.by.empty() ? one.answer.cause : "run by " + one.by) + " at " +
                std::to_string(one.answer.at));
    if (one.at <= from) continue;
    if (one.by == "west") {
      ++late[one.machine];
      last_old[one.machine] = one.at;
    } else if (one.by == "east") {
      ++late_ok[one.machine];
    }
  }
  int broken = 0, held = 0;
  for (const auto& [machine, n] : late) broken += n;
  for (const auto& [machine, n] : late_ok) held += n;
  for (const auto& sidecar : sidecars)
    record.Line(sidecar->name() + ": " + std::to_string(late[sidecar->name()]) +
                " requests sent while it was in touch, more than 2 s after the acknowledgement, were run by west, the last " +
                std::to_string(last_old[sidecar->name()] - acknowledged) + " s after it");
  record.Line("largest answer to a watch " + std::to_string(store.largest_watch()) +
              " bytes; answers 410: " + std::to_string(store.history_lost()) +
              "; calls: " + std::to_string(store.calls()));
  record.Line("verdict: " + std::to_string(broken) + " requests were run by the old service, " +
              std::to_string(held) + " by the new one");
  std::printf("run by the old service, sent in touch: %d; by the new: %d\n", broken, held);
  if (broken == 0 && held == 0) return 2;
  return broken > 0 ? 1 : 0;
}
