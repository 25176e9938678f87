// Pipelining clients beside instances that break off large answers. See review/6/claim.txt.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kMachines = 4, kClientsEach = 4, kBehind = 3;
constexpr std::size_t kLargeBytes = 800000;
constexpr int kEvery = 50;          // One answer in 50 of the faulty instance: x = 0.02.
constexpr double kTroubleS = 6.0;   // for_s
constexpr int kAllowed = 3;         // "more than three times"

const char kConfiguration[] =
    R"({"version":"r7","routes":{)"
    R"("r-large":{"host":"first.example","path_prefix":"/large/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":1000,"priority":2,"service":"west","max_attempts":2},)"
    R"("r-small":{"host":"first.example","path_prefix":"/small/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":1000,"priority":2,"service":"east","max_attempts":2}},)"
    R"("services":{"west":{"health_path":"/health","max_connections":130},"east":{"health_path":"/health","max_connections":130}},)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

struct Sent {
  std::string id, machine;
  double at = 0, ended = 0;
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
    ips.push_back("127.79." + std::to_string(i % 2) + "." + std::to_string(10 + i));
  Ports ports{};
  Store store;
  if (!FindPorts(ips, ports) || !store.Start("127.79.9.1", ports.outbound)) return 2;
  const auto store_address = "127.79.9.1:" + std::to_string(ports.outbound);

  std::atomic<bool> faulty{false};
  std::atomic<int> large{0}, cut{0};
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<std::unique_ptr<Sidecar>> sidecars;
  for (int i = 0; i < kMachines; ++i) {
    const auto at = static_cast<std::size_t>(i);
    const std::string service = i < 2 ? "west" : "east";
    const std::string zone = i % 2 == 0 ? "zone-a" : "zone-b";
    instances.push_back(
        std::make_unique<Instance>(service, "i-" + service + std::to_string(i), zone));
    auto* const made = instances.back().get();
    made->slots = 12;
    if (service == "west") {
      made->behave = [&, made, i](Run& run, const std::string&, std::string& answer) {
        Sleep(10);
        answer = made->AnswerText(run, std::string(kLargeBytes, 'x'));
        // Instance 0 is the faulty one: it breaks some of its answers off.
        if (i == 0 && faulty && ++large % kEvery == 0) {
          answer.resize(answer.size() - 100000);
          run.how = "broken off";
          ++cut;
        }
        return true;
      };
      made->after_answer = [](const Run& run) { return run.how != "broken off"; };
    } else {
      made->work_ms = 30;
    }
    if (!made->Start(ips[at], ports.app)) return 2;
    store.Put(made->Key(), made->Entry("ready"));
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

  // Each client keeps a connection. It sends a request for a large answer and three for small ones
  // behind it, reads the four answers, and goes on.
  std::atomic<bool> ends{false};
  std::mutex mutex;
  std::vector<Sent> sent;
  std::vector<std::thread> clients;
  for (const auto& sidecar : sidecars) {
    for (int c = 0; c < kClientsEach; ++c) {
      clients.emplace_back([&, c, ip = sidecar->ip, name = sidecar->name()] {
        int socket = -1;
        std::string buffer;
        for (int n = 0; !ends; ++n) {
          if (socket < 0) {
            socket = Connect(ip, ports.outbound);
            buffer.clear();
          }
          std::vector<Sent> group;
          std::string text;
          for (int k = 0; k <= kBehind; ++k) {
            Sent one;
            one.machine = name;
            one.id = name + "-" + std::to_string(c) + "-" + std::to_string(n) +
                     (k == 0 ? "-large" : "-small" + std::to_string(k));
            one.at = Now();
            text += RequestText("GET", "first.example", k == 0 ? "/large/1" : "/small/1", one.id,
                                4000);
            group.push_back(one);
          }
          bool open = socket >= 0 && SendAll(socket, text);
          for (auto& one : group) {
            if (open) {
              const auto answer = ReadAnswer(socket, buffer, Clock::now() + Ms(5000));
              one.status = answer.status;
              one.cause = answer.cause;
              open = answer.status != 0;
            } else {
              one.cause = "connection closed";
            }
            one.ended = Now();
          }
          if (!open && socket >= 0) {
            close(socket);
            socket = -1;
          }
          {
            const std::lock_guard lock(mutex);
            sent.insert(sent.end(), group.begin(), group.end());
          }
          Sleep(60);
        }
        if (socket >= 0) close(socket);
      });
    }
  }
  Sleep(3000);
  if (Trouble()) {
    faulty = true;
    record.Line("the trouble begins: instance i-west0 breaks off one answer in 50");
  }
  Sleep(static_cast<int>(kTroubleS * 1000));
  faulty = false;
  record.Line("the trouble ends: " + std::to_string(cut) + " answers were broken off");
  Sleep(2000);
  ends = true;
  for (auto& client : clients) client.join();
  Sleep(300);

  std::map<std::string, Run> at_east;
  for (const auto& instance : instances)
    if (instance->service() == "east")
      for (const auto& run : instance->runs())
        if (run.ran) at_east[run.request] = run;
  int lost = 0, answered = 0;
  std::map<std::string, int> by_machine;
  for (const auto& one : sent) {
    const auto run = at_east.find(one.id);
    std::string line = "sent " + std::to_string(one.at) + " " + one.id + " -> " +
                       std::to_string(one.status) + " " + one.cause + " at " +
                       std::to_string(one.ended);
    if (one.status != 0) ++answered;
    if (one.status == 0 && run != at_east.end()) {
      ++lost;
      ++by_machine[one.machine];
      line += "; LOST: " + run->second.instance + " began at " +
              std::to_string(run->second.arrived) + " and answered at " +
              std::to_string(run->second.ended);
    }
    record.Line(line);
  }
  int machines = 0;
  for (const auto& [machine, n] : by_machine) {
    record.Line(machine + ": " + std::to_string(n) +
                " requests of kept connections were passed on to a sound instance and got no answer");
    machines += n > kAllowed ? 1 : 0;
  }
  std::printf("broken off: %d; LOST: %d, at %d machines more than three; answered: %d\n",
              cut.load(), lost, machines, answered);
  record.Line("verdict: " + std::to_string(lost) + " lost, more than three at " +
              std::to_string(machines) + " machines; " + std::to_string(answered) + " answered");
  if (answered < 100) return 2;
  return machines > 0 ? 1 : 0;
}
