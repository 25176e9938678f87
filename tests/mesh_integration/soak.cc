// What the clients of a soak do, and what is checked at its end.
#include "tests/mesh_integration/soak.h"

#include <gtest/gtest.h>

#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "tests/proxy/raw_socket.h"

namespace copperlead::standin {
namespace {

using std::chrono::milliseconds;

constexpr int kClients = 6;
constexpr int kHotClients = 2;
constexpr int kMessageClients = 2;  // Of each kind.
constexpr auto kHealTime = std::chrono::seconds(6);
constexpr std::size_t kMemoryBytes = 160'000'000;  // Of each machine, as sidecars take it.
constexpr std::size_t kMaxBodyBytes = 64 << 20;

}  // namespace

void Soak::Play(std::chrono::seconds duration) {
  fleet_.UseRelay();
  if (behind_proxies_) {
    fleet_.UseFaultProxies();
  } else {
    fleet_.UseStoreProxies();
  }
  if (with_messages_) fleet_.AllowBodies(kMaxBodyBytes);
  Configure();
  for (std::size_t added = 0; added < machines_; added += 6) {
    for (const char* zone : {"ank-a", "ank-b"}) {
      for (const char* service : {"desk", "desk", "hub"}) fleet_.Add(service, zone, 0);
    }
  }
  if (wide_) SetCrashes();
  lives_ = std::vector<std::atomic<int>>(fleet_.machines().size());
  ASSERT_TRUE(fleet_.StartAll());
  health_.Begin();
  MemoryWatch watch([this] { return RunningSidecars(); });

  std::vector<std::thread> clients;
  clients.emplace_back([this] { WatchHealth(); });
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([this, client] { RunClient(client); });
  }
  for (int client = 0; client < kHotClients; ++client) {
    clients.emplace_back([this, client] { RunHotClient(client); });
  }
  if (wide_) {
    clients.emplace_back([this] { RunCrashingClient(); });
    clients.emplace_back([this] { RunKeptClient(); });
    clients.emplace_back([this] { KeepListed(); });
  }
  if (with_messages_) {
    for (int client = 0; client < kMessageClients; ++client) {
      clients.emplace_back([this, client] { RunUploader(client); });
      clients.emplace_back([this, client] { RunDownloader(client); });
      clients.emplace_back([this, client] { RunPipeliner(client); });
    }
    clients.emplace_back([this] { SpoilInstances(); });
  }
  const auto until = std::chrono::steady_clock::now() + duration;
  while (std::chrono::steady_clock::now() < until) {
    InjectFault();
    std::this_thread::sleep_for(milliseconds(Pick(50, 500)));
  }
  Heal();
  std::this_thread::sleep_for(kHealTime);
  stopping_ = true;
  for (auto& client : clients) client.join();
  CheckSettled();
  seen_.CheckRuns(fleet_);
  seen_.CheckTenants(fleet_);
  seen_.CheckCrashes(fleet_);
  seen_.CheckUploads(fleet_);
  seen_.CheckMemory(watch.Peak(), watch.kills());
  CheckStatements();
}

std::vector<WatchedProcess> Soak::RunningSidecars() {
  const std::lock_guard lock(processes_);
  std::vector<WatchedProcess> running;
  for (const auto& machine : fleet_.machines()) {
    if (machine->sidecar != nullptr && machine->sidecar->pid() > 0) {
      running.push_back({machine->ip, machine->sidecar->pid(), kMemoryBytes});
    }
  }
  return running;
}

void Soak::CheckStatements() {
  for (const std::string& broken : statements_.BrokenLimits(fleet_)) seen_.Violate(broken);
  for (const std::string& late : statements_.LateToLeaving(fleet_)) {
    seen_.Violate(late + " came though it had stated that it leaves");
  }
}

std::string Soak::NewRoutes() const {
  std::string routes = with_messages_ ? LargeMessageRoutes() : "";
  for (std::uint64_t version = 5; version <= version_; ++version) {
    const std::string name = "v" + std::to_string(version);
    routes += ExtraRoute(name, "/" + name + "/", "hub");
  }
  return routes;
}

void Soak::Configure() {
  const std::string guest = "key-guest-" + std::to_string(version_);
  fleet_.Configure(version_, NewRoutes(),
                   TenantText("gold", "key-gold", 0, 0) + "," +
                       TenantText("plain", "key-plain", kLimit, kBurst) + "," +
                       TenantText("guest", guest, 5, 5));
}

void Soak::WatchHealth() {
  while (!stopping_) {
    health_.Look();
    std::this_thread::sleep_for(milliseconds(20));
  }
}

HttpAnswer Soak::Call(std::size_t machine, const std::string& service, const MeshRequest& request) {
  const auto sent = std::chrono::steady_clock::now();
  HttpAnswer answer = statements_.Call(fleet_, *fleet_.machines()[machine], request);
  if (health_.ShouldServe(machine, service, sent)) seen_.AnsweredInHealth(request.id, answer);
  return answer;
}

void Soak::RunHotClient(int client) {
  std::mt19937_64 random(static_cast<std::uint64_t>(1000 + client));
  for (int sent = 0; !stopping_; ++sent) {
    MeshRequest request;
    request.id = "h" + std::to_string(client) + "-" + std::to_string(sent);
    request.more["X-Credential"] = "key-plain";
    const auto& machine = *fleet_.machines()[random() % fleet_.machines().size()];
    seen_.AnsweredHot(request.id, statements_.Call(fleet_, machine, request));
    std::this_thread::sleep_for(milliseconds(5));
  }
}

void Soak::SetCrashes() {
  for (auto& machine : fleet_.machines()) {
    InstanceCrash crash;
    crash.target = kCrashing;
    crash.keeps_id = Pick(0, 1) == 0;
    machine->instance->SetCrash(crash);
  }
}

void Soak::RunCrashingClient() {
  std::mt19937_64 random(7);
  for (int sent = 0; !stopping_; ++sent) {
    MeshRequest request;
    request.path = kCrashing;
    request.id = "x-" + std::to_string(sent);
    request.deadline_ms = "500";
    request.more["X-Credential"] = "key-gold";
    const auto& machine = *fleet_.machines()[random() % fleet_.machines().size()];
    statements_.Call(fleet_, machine, request);
    std::this_thread::sleep_for(milliseconds(random() % 400));
  }
}

void Soak::RunKeptClient() {
  std::mt19937_64 random(8);
  int sent = 0;
  while (!stopping_) {
    const auto& machine = *fleet_.machines()[random() % fleet_.machines().size()];
    RawSocket socket = RawSocket::Connect(fleet_.outbound(machine));
    for (bool open = true; open && !stopping_; ++sent) {
      const std::string id = "k-" + std::to_string(sent);
      statements_.Sent(id, machine);
      open =
          socket.Send("GET /look/" + id + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
                      "\r\nX-Deadline-Ms: 1000\r\nX-Credential: key-gold\r\n\r\n");
      const RawMessage answer = socket.Read();
      open = open && answer.complete;
      if (open) seen_.AnsweredKept(id, answer);
      if (open) {
        statements_.Answered(id, answer.Header("x-answered-by"), answer.Header("server-limit"),
                             answer.Header("server-leaving"));
      }
      fleet_.evidence().Record("answers",
                               {{"time", ToUnixMilliseconds(std::chrono::steady_clock::now())},
                                {"id", id},
                                {"ip", machine.ip},
                                {"status", answer.status()},
                                {"whole", answer.complete}});
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
}

void Soak::KeepListed() {
  std::map<const MeshMachine*, std::int64_t> born;
  for (const auto& machine : fleet_.machines()) born[machine.get()] = machine->instance->born();
  while (!stopping_) {
    for (auto& machine : fleet_.machines()) {
      const std::lock_guard lock(listing_);
      if (machine->instance->born() == born[machine.get()]) continue;
      born[machine.get()] = machine->instance->born();
      const std::string id = machine->instance->id();
      if (id != machine->instance_id) {
        fleet_.store().Remove("servers/" + machine->instance_id);
        former_instance_ids_.insert(machine->instance_id);
      }
      machine->instance_id = id;
      fleet_.List(*machine);
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
}

void Soak::RunClient(int client) {
  std::mt19937_64 random(static_cast<std::uint64_t>(client));
  for (int sent = 0; !stopping_; ++sent) {
    const std::size_t machine = random() % fleet_.machines().size();
    MeshRequest request;
    request.id = "c" + std::to_string(client) + "-" + std::to_string(sent);
    request.more["X-Credential"] = "key-gold";
    const auto kind = random() % 3;
    if (kind == 0) {
      request.method = "POST";
      request.path = "/buy/1";
      request.body = "b";
    } else if (kind == 2) {
      const std::uint64_t version = version_;
      request.path = "/v" + std::to_string(version) + "/1";
      const int life = lives_[machine];
      const int status = Call(machine, "hub", request).status;
      if (life == lives_[machine]) seen_.Probed(machine, life, version, status);
      continue;
    }
    seen_.Answered(request.id, kind != 0, Call(machine, "desk", request));
  }
}

void Soak::CheckSettled() {
  MeshRequest probe;
  probe.more["X-Credential"] = "key-gold";
  probe.path = "/v" + std::to_string(version_) + "/1";
  for (std::size_t index = 0; index < fleet_.machines().size(); ++index) {
    const MeshMachine& machine = *fleet_.machines()[index];
    probe.id = "settled-" + std::to_string(index);
    const int status = fleet_.Call(machine, probe).status;
    if (status != 200) {
      seen_.Violate("machine " + std::to_string(index) +
                    " has not settled: " + std::to_string(status));
    }
    if (fleet_.Ready(machine).status != 200) {
      seen_.Violate("machine " + std::to_string(index) + " is not ready");
    }
  }
}

}  // namespace copperlead::standin
