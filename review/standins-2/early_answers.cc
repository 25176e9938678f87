// Instances that reject uploads before they have read them. See review/7/claim.txt.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kMachines = 3;
constexpr double kTroubleS = 6.0;      // for_s
constexpr int kFaultyInstances = 2;    // Of 3: share = 0.7, rounded down.
constexpr int kHoldMs = 900;           // Until the instance goes on reading.
constexpr double kGoneSeconds = 0.5;   // "over half a second after"
constexpr int kFew = 3;                // "more than a few"
constexpr int kLookupMs = 200;

const char kConfiguration[] =
    R"({"version":"r7","routes":{)"
    R"("r-lookup":{"host":"first.example","path_prefix":"/lookup/","kind":"idempotent","timeout_ms":200,"target_latency_ms":60,"priority":2,"service":"west","max_attempts":2},)"
    R"("r-upload":{"host":"first.example","path_prefix":"/upload/","kind":"upload","timeout_ms":800,"target_latency_ms":300,"priority":1,"service":"west","max_attempts":2}},)"
    R"("services":{"west":{"health_path":"/health","max_connections":130}},)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

struct Sent {
  std::string id;
  double at = 0, closed = 0;
  int status = 0;
  std::string cause;
};

}  // namespace

int main(int, char** arguments) {
  Watchdog(115);
  const std::string folder = arguments[1];
  Record record(arguments[2]);
  std::vector<std::string> ips;
  for (int i = 0; i < kMachines; ++i) ips.push_back("127.80.0." + std::to_string(10 + i));
  Ports ports{};
  Store store;
  if (!FindPorts(ips, ports) || !store.Start("127.80.9.1", ports.outbound)) return 2;
  const auto store_address = "127.80.9.1:" + std::to_string(ports.outbound);

  std::atomic<bool> faulty{false};
  std::atomic<int> uploads{0}, early{0};
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<std::unique_ptr<Sidecar>> sidecars;
  for (int i = 0; i < kMachines; ++i) {
    const auto at = static_cast<std::size_t>(i);
    instances.push_back(std::make_unique<Instance>("west", "i-west" + std::to_string(i), "zone-a"));
    auto* const made = instances.back().get();
    made->work_ms = 15;
    if (i < kFaultyInstances) {
      made->on_body = [&, made](int socket, const Head& head, std::string& buffer, Run& run) {
        // Two of five uploads (x = 0.4) are rejected before they are in. The instance holds on to
        // the connection, reads the rest later and goes on with what follows it.
        if (!faulty || ++uploads % 5 >= 2) return false;
        ++early;
        run.how = "rejected early";
        made->Add(run);
        if (!SendAll(socket, "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " + run.request +
                                 "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
          return false;
        Sleep(kHoldMs);
        const auto length = std::strtoul(head.Get("content-length").c_str(), nullptr, 10);
        while (buffer.size() < length && ReadMore(socket, buffer, 60000)) {
        }
        buffer.erase(0, std::min<std::size_t>(length, buffer.size()));
        return true;
      };
    }
    if (!made->Start(ips[at], ports.app)) return 2;
    store.Put(made->Key(), made->Entry("ready"));
    sidecars.push_back(std::make_unique<Sidecar>("sidecar-" + std::to_string(i), "zone-a", "west",
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
  const auto client = [&](const std::string& ip, const std::string& name, bool upload) {
    for (int n = 0; !ends; ++n) {
      Sent one;
      one.id = name + "-" + std::to_string(n);
      one.at = Now();
      const auto text = upload ? RequestText("POST", "first.example", "/upload/1", one.id, 800,
                                             std::string(60000, 'u'))
                               : RequestText("GET", "first.example", "/lookup/1", one.id, kLookupMs);
      // The client leaves at its deadline.
      const auto answer = Request(ip, ports.outbound, text, upload ? 800 : kLookupMs);
      one.closed = Now();
      one.status = answer.status;
      one.cause = answer.cause;
      {
        const std::lock_guard lock(mutex);
        sent.push_back(one);
      }
      Sleep(upload ? 60 : 25);
    }
  };
  for (const auto& sidecar : sidecars) {
    for (int c = 0; c < 4; ++c) {
      const auto name = sidecar->name() + "-" + std::to_string(c);
      clients.emplace_back([&, ip = sidecar->ip, name] { client(ip, name + "-lookup", false); });
      if (c < 2)
        clients.emplace_back([&, ip = sidecar->ip, name] { client(ip, name + "-upload", true); });
    }
  }
  Sleep(2000);
  if (Trouble()) {
    faulty = true;
    record.Line("the trouble begins: two of three instances reject uploads early");
  }
  Sleep(static_cast<int>(kTroubleS * 1000));
  faulty = false;
  record.Line("the trouble ends: " + std::to_string(early) + " uploads were rejected early");
  Sleep(3000);
  ends = true;
  for (auto& one : clients) one.join();
  Sleep(1500);

  std::map<std::string, std::vector<Run>> runs;
  for (const auto& instance : instances)
    for (const auto& run : instance->runs()) runs[run.request].push_back(run);
  int gone = 0, unanswered = 0, answered = 0;
  for (const auto& one : sent) {
    std::string line = "sent " + std::to_string(one.at) + " " + one.id + " -> " +
                       std::to_string(one.status) + " " + one.cause + ", connection closed at " +
                       std::to_string(one.closed);
    for (const auto& run : runs[one.id]) {
      line += "; " + run.instance + " at " + std::to_string(run.arrived) + " " +
              (run.ran ? "ran it" : run.how);
      if (run.arrived > one.closed + kGoneSeconds) {
        ++gone;
        line += " GONE";
      }
    }
    ++(one.status == 200 ? answered : unanswered);
    record.Line(line);
  }
  std::printf("early: %d; arrivals over 0.5 s after the client had closed: %d; answered 200: %d, not: %d\n",
              early.load(), gone, answered, unanswered);
  record.Line("verdict: " + std::to_string(gone) + " requests arrived over 0.5 s after their client had closed");
  if (answered < 100) return 2;
  return gone > kFew ? 1 : 0;
}
