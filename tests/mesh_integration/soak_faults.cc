// The faults of a soak.
#include <signal.h>

#include <nlohmann/json.hpp>
#include <thread>

#include "tests/integration/process_harness.h"
#include "tests/mesh_integration/soak.h"

namespace copperlead::standin {
namespace {

using std::chrono::milliseconds;

constexpr auto kGraceTime = std::chrono::seconds(8);
constexpr auto kPropagationTime = milliseconds(1000);  // Usually enough for nodes to see a change.
constexpr auto kMaxDrainDelay = milliseconds(2000);  // Draining instances get no requests after it.

// After which an outage of the store has no effect on how removed entries are understood.
constexpr auto kOutageEffects = milliseconds(3000);

// @param board  null: nothing stands in the way
bool IsAtFault(const FaultBoard* board) {
  return board != nullptr && board->Get().fault.kind != FaultKind::kNone;
}

}  // namespace

std::uint64_t Soak::Pick(std::uint64_t from, std::uint64_t to) {
  return std::uniform_int_distribution<std::uint64_t>(from, to)(random_);
}

void Soak::RecordFault(const std::string& fault, const MeshMachine* machine,
                       const std::string& detail) {
  fleet_.evidence().Record("faults",
                           {{"time", ToUnixMilliseconds(std::chrono::steady_clock::now())},
                            {"fault", fault},
                            {"ip", machine == nullptr ? "" : machine->ip},
                            {"detail", detail}});
}

void Soak::WriteForeign(std::size_t index) {
  const MeshMachine& machine = *fleet_.machines()[index];
  static constexpr const char* kFields[] = {R"({"value":7})", R"({"value":"%%%"})",
                                            R"({"value":"e30="})", R"({"value":null})",
                                            R"({"value":"e30=","created_at":"x"})"};
  const bool own = Pick(0, 1) == 0;
  {
    const std::lock_guard lock(listing_);
    const std::string key = own ? "foreign" : machine.instance_id;
    RecordFault("foreign entry", &machine, key);
    if (!own) health_.BeginFault(index);
    fleet_.store().PutForeign("servers/" + key, kFields[Pick(0, std::size(kFields) - 1)]);
  }
  if (own) return;
  std::this_thread::sleep_for(milliseconds(Pick(50, 800)));
  const std::lock_guard lock(listing_);
  fleet_.List(machine);
  health_.EndFault(index);
}

void Soak::InjectSeries() {
  for (auto left = Pick(2, 4); left > 0; --left) {
    const std::size_t index = Pick(0, fleet_.machines().size() - 1);
    const int signal = Pick(0, 1) == 0 ? SIGTERM : SIGKILL;
    RecordFault("signal", fleet_.machines()[index].get(), std::to_string(signal));
    health_.BeginFault(index);
    fleet_.machines()[index]->sidecar->Signal(signal);
    Change();
    std::this_thread::sleep_for(milliseconds(Pick(0, 150)));
    Restart(index, SIGKILL);
    health_.EndFault(index);
  }
}

void Soak::ClearFaults() {
  fleet_.store().SetFault(0, {});
  health_.SetStoreFault(false);
  for (std::size_t index = 0; index < fleet_.machines().size(); ++index) {
    const auto& machine = fleet_.machines()[index];
    health_.SetNetworkFault(index, false);
    machine->instance->SetFault({});
    machine->store_faults->Set({});
    if (machine->instance_faults != nullptr) machine->instance_faults->Set({});
  }
}

void Soak::RestoreStore() {
  const auto age = milliseconds(Pick(100, 4000));
  RecordFault("restore", nullptr, std::to_string(age.count()) + " ms");
  fleet_.store().SetFault(0, {StoreTrouble::kReset, {}});
  std::this_thread::sleep_for(milliseconds(Pick(0, 700)));
  fleet_.store().Restore(age);
  std::this_thread::sleep_for(milliseconds(Pick(0, 100)));
  fleet_.store().SetFault(0, {});
}

void Soak::RewriteStore(std::size_t draining) {
  const std::lock_guard lock(listing_);
  // A restore can bring back entries of former instances, whose leases nobody renews.
  for (const std::string& id : former_instance_ids_) fleet_.store().Remove("servers/" + id);
  for (std::size_t index = 0; index < fleet_.machines().size(); ++index) {
    fleet_.List(*fleet_.machines()[index], index == draining ? "draining" : "ready");
  }
  Configure();
}

void Soak::CheckLatestVersionKnown(const std::vector<std::size_t>& machines) {
  const std::uint64_t version = version_;
  for (const std::size_t index : machines) {
    MeshRequest probe;
    probe.more["X-Credential"] = "key-gold";
    probe.path = "/v" + std::to_string(version) + "/1";
    probe.id = "in-force-" + std::to_string(version) + "-" + std::to_string(index);
    if (fleet_.Call(*fleet_.machines()[index], probe).status != 200) {
      seen_.Violate("machine " + std::to_string(index) + " does not serve version " +
                    std::to_string(version));
    }
  }
}

void Soak::ReplaceInstance(MeshMachine& machine) {
  RecordFault("replaced", &machine, machine.instance_id);
  const std::lock_guard lock(listing_);
  fleet_.store().Remove("servers/" + machine.instance_id);
  former_instance_ids_.insert(machine.instance_id);
  machine.instance_id += "-r" + std::to_string(++replaced_instances_);
  machine.instance->SetId(machine.instance_id);
  machine.instance->StateLeaving("");
  machine.instance->StateLimit("");
  fleet_.List(machine);
}

void Soak::ChangeStatement(MeshMachine& machine) {
  if (machine.instance->states_leaving()) return ReplaceInstance(machine);
  if (Pick(0, 3) == 0) {
    RecordFault("states that it leaves", &machine);
    machine.instance->StateLeaving();
    const std::lock_guard lock(listing_);
    if (Pick(0, 1) == 0) fleet_.List(machine, "draining");
    return;
  }
  static constexpr const char* kLimits[] = {"", "0", "0.5", "2", "5", "20", "nan"};
  const std::string limit = kLimits[Pick(0, std::size(kLimits) - 1)];
  RecordFault("states a limit", &machine, limit);
  machine.instance->StateLimit(limit);
}

void Soak::ClearStatements() {
  for (const auto& machine : fleet_.machines()) {
    if (machine->instance->states_leaving()) ReplaceInstance(*machine);
    machine->instance->StateLimit("");
  }
}

void Soak::InjectRestore() {
  ClearFaults();
  if (with_statements_) {
    ClearStatements();
    std::this_thread::sleep_for(kLimitEndTime);
  }
  std::this_thread::sleep_for(kPropagationTime);
  health_.SetStoreFault(true);

  const std::size_t draining = PickDesk();
  MeshMachine& machine = *fleet_.machines()[draining];
  const auto born = machine.instance->born();
  RecordFault("leaving", &machine);
  {
    const std::lock_guard lock(listing_);
    fleet_.List(machine, "draining");
  }
  const auto drain_acknowledged = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(milliseconds(Pick(0, 1) * kPropagationTime.count() + Pick(0, 300)));

  std::vector<std::size_t> not_killed;
  const std::size_t killed = (draining + 3) % fleet_.machines().size();
  const bool kill_node = Pick(0, 1) == 0;
  for (std::size_t index = 0; index < fleet_.machines().size(); ++index) {
    if (!kill_node || index != killed) not_killed.push_back(index);
  }
  if (Pick(0, 1) == 0) Change();
  RestoreStore();
  if (kill_node) Restart(killed, SIGKILL);
  if (Pick(0, 2) == 0) RestoreStore();
  const auto store_available = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(milliseconds(Pick(0, 1500)));
  RewriteStore(draining);
  Change();
  const auto written = std::chrono::steady_clock::now();

  std::this_thread::sleep_until(written + kPropagationTime * 2);
  CheckLatestVersionKnown(not_killed);
  std::this_thread::sleep_until(std::max(written, store_available + milliseconds(2000)) +
                                milliseconds(Pick(500, 2500)));
  const std::lock_guard lock(listing_);
  seen_.CheckDrained(machine, born, std::max(drain_acknowledged, store_available) + kMaxDrainDelay);
  fleet_.List(machine);
  health_.SetStoreFault(false);
}

void Soak::InjectShortTrouble(std::size_t leaving) {
  static constexpr StoreTrouble kTroubles[] = {StoreTrouble::kBusy, StoreTrouble::kMany,
                                               StoreTrouble::kReset, StoreTrouble::kGarbled};
  const auto kind = Pick(0, 3);
  RecordFault("short trouble", nullptr, std::to_string(kind));
  if (kind <= 1) {
    const StoreFault fault{kTroubles[Pick(0, std::size(kTroubles) - 1)], {}, Pick(1, 4)};
    fleet_.store().SetFault(0, fault);
  } else if (kind == 2) {
    for (const auto& machine : fleet_.machines()) machine->store_faults->SilenceOpenConnections();
  } else {
    const std::size_t other = (leaving + Pick(1, fleet_.machines().size() - 1));
    Restart(other % fleet_.machines().size(), SIGKILL);
  }
}

void Soak::InjectLeaving() {
  ClearFaults();
  std::this_thread::sleep_for(kOutageEffects);

  const std::size_t leaving = PickDesk();
  MeshMachine& machine = *fleet_.machines()[leaving];
  health_.SetStoreFault(true);
  health_.BeginFault(leaving);
  const bool before = Pick(0, 1) == 0;
  if (before) {
    InjectShortTrouble(leaving);
    std::this_thread::sleep_for(milliseconds(Pick(0, 1500)));
  }
  const auto [born, acknowledged] = RemoveEntry(machine);
  if (!before) InjectShortTrouble(leaving);
  std::this_thread::sleep_until(acknowledged + kMaxDrainDelay + milliseconds(Pick(300, 1500)));
  fleet_.store().SetFault(0, {});
  const std::lock_guard lock(listing_);
  seen_.CheckDrained(machine, born, acknowledged + kMaxDrainDelay);
  fleet_.List(machine);
  health_.EndFault(leaving);
  health_.SetStoreFault(false);
}

std::size_t Soak::PickDesk() {
  // The first two of every three machines serve `desk`.
  return Pick(0, fleet_.machines().size() / 3 - 1) * 3 + Pick(0, 1);
}

std::pair<std::int64_t, std::chrono::steady_clock::time_point> Soak::RemoveEntry(
    MeshMachine& machine) {
  RecordFault("entry goes", &machine);
  const std::lock_guard lock(listing_);
  const auto born = machine.instance->born();
  fleet_.store().Remove("servers/" + machine.instance_id);
  return {born, std::chrono::steady_clock::now()};
}

void Soak::InjectLongPause() {
  ClearFaults();
  std::this_thread::sleep_for(kOutageEffects);
  const std::size_t leaving = PickDesk();
  const std::size_t other =
      (leaving + Pick(1, fleet_.machines().size() - 1)) % fleet_.machines().size();
  MeshMachine& machine = *fleet_.machines()[leaving];
  RecordFault("long pause", fleet_.machines()[other].get());
  health_.BeginFault(leaving);
  health_.BeginFault(other);
  {
    const Paused paused(*fleet_.machines()[other]->sidecar);
    std::this_thread::sleep_for(milliseconds(Pick(0, 300)));
    Change();
    std::this_thread::sleep_for(milliseconds(Pick(3000, 4500)));
  }
  std::this_thread::sleep_for(milliseconds(Pick(0, 600)));
  const auto [born, acknowledged] = RemoveEntry(machine);
  std::this_thread::sleep_until(acknowledged + kMaxDrainDelay + milliseconds(Pick(300, 1500)));
  const std::lock_guard lock(listing_);
  seen_.CheckDrained(machine, born, acknowledged + kMaxDrainDelay);
  fleet_.List(machine);
  health_.EndFault(other);
  health_.EndFault(leaving);
}

void Soak::WriteSoundForeign(std::size_t index) {
  const MeshMachine& machine = *fleet_.machines()[index];
  static constexpr const char* kServices[] = {"inventory", "", "desk", "hub"};
  static constexpr const char* kStates[] = {"ready", "draining"};
  const std::string service = kServices[Pick(0, std::size(kServices) - 1)];
  const std::string state = kStates[Pick(0, 1)];
  RecordFault("sound foreign entry", &machine, service + " " + state);
  fleet_.store().Put("servers/foreign-sound",
                     R"({"service":")" + service + R"(","address":")" +
                         ToString(machine.instance_address) + R"(","zone":")" + machine.zone +
                         R"(","version":"v1","slots":1,"state":")" + state +
                         R"(","cold_remaining_ms":0,"call_seq":0,"born":1})");
  std::this_thread::sleep_for(milliseconds(Pick(200, 1500)));
  fleet_.store().Remove("servers/foreign-sound");
}

void Soak::InjectFault() {
  if (with_leavings_ && Pick(0, 3) == 0) return InjectLeaving();
  if (with_restores_ && Pick(0, 3) == 0) return InjectRestore();
  if (with_statements_ && Pick(0, 2) == 0) {
    return ChangeStatement(*fleet_.machines()[Pick(0, fleet_.machines().size() - 1)]);
  }
  if (with_pauses_ && Pick(0, 3) == 0) return InjectLongPause();
  if (with_pauses_ && Pick(0, 3) == 0) {
    return WriteSoundForeign(Pick(0, fleet_.machines().size() - 1));
  }
  const std::size_t index = Pick(0, fleet_.machines().size() - 1);
  MeshMachine& machine = *fleet_.machines()[index];
  switch (Pick(0, wide_ ? 10 : 8)) {
    case 0:
      return Change();
    case 1:
      return SetStoreFault();
    case 2:
    case 3:
      return SetInstanceFault(machine);
    case 4:
      return SetNetworkFault(index, "to the store", *machine.store_faults);
    case 5:
      if (machine.instance_faults == nullptr) return InjectSeries();
      return SetNetworkFault(index, "to the instance", *machine.instance_faults);
    case 6:
      return Pause(index);
    case 7:
      return Restart(index, SIGKILL);
    case 9:
      return WriteForeign(index);
    case 10:
      return InjectSeries();
    default:
      return Restart(index, SIGTERM);
  }
}

void Soak::SetStoreFault() {
  const StoreFault fault{static_cast<StoreTrouble>(Pick(0, 6)), milliseconds(Pick(20, 300))};
  RecordFault("store", nullptr, std::to_string(static_cast<int>(fault.trouble)));
  health_.SetStoreFault(fault.trouble != StoreTrouble::kNone);
  fleet_.store().SetFault(0, fault);
}

void Soak::SetInstanceFault(MeshMachine& machine) {
  const InstanceFault fault{static_cast<InstanceTrouble>(Pick(0, 9)), Pick(1, 10)};
  RecordFault(
      "instance", &machine,
      std::to_string(static_cast<int>(fault.trouble)) + " x " + std::to_string(fault.times));
  machine.instance->SetFault(fault);
}

void Soak::SetNetworkFault(std::size_t index, const std::string& where, FaultBoard& board) {
  const Fault fault = SomeNetworkFault();
  RecordFault("network", fleet_.machines()[index].get(),
              where + ": " + std::to_string(static_cast<int>(fault.kind)));
  board.Set(fault);
  const MeshMachine& machine = *fleet_.machines()[index];
  health_.SetNetworkFault(index,
                          IsAtFault(machine.store_faults) || IsAtFault(machine.instance_faults));
}

Fault Soak::SomeNetworkFault() {
  static constexpr FaultKind kinds[] = {FaultKind::kNone,  FaultKind::kCut,   FaultKind::kFreeze,
                                        FaultKind::kDelay, FaultKind::kReset, FaultKind::kDrop};
  Fault fault;
  fault.kind = kinds[Pick(0, std::size(kinds) - 1)];
  fault.direction = static_cast<FaultDirection>(Pick(0, 2));
  fault.wait = milliseconds(Pick(1, 60));
  fault.after = Pick(0, 400);
  fault.times = Pick(1, 5);
  fault.percent = static_cast<std::uint32_t>(Pick(1, 40));
  return fault;
}

void Soak::Change() {
  ++version_;
  Configure();
}

void Soak::Pause(std::size_t index) {
  const auto how_long = milliseconds(Pick(100, 1500));
  RecordFault("pause", fleet_.machines()[index].get(), std::to_string(how_long.count()) + " ms");
  health_.BeginFault(index);
  statements_.Excuse(*fleet_.machines()[index]);
  {
    const Paused paused(*fleet_.machines()[index]->sidecar);
    std::this_thread::sleep_for(how_long);
  }
  statements_.Excuse(*fleet_.machines()[index]);
  health_.EndFault(index);
}

void Soak::Restart(std::size_t index, int signal) {
  MeshMachine& machine = *fleet_.machines()[index];
  RecordFault("restart", &machine, std::to_string(signal));
  health_.BeginFault(index);
  statements_.Excuse(machine);
  machine.sidecar->Signal(signal);
  const auto code = machine.sidecar->Wait(kGraceTime);
  if (signal == SIGTERM && code != 0) seen_.Violate("a stop ended with another code than 0");
  ++lives_[index];
  std::this_thread::sleep_for(milliseconds(Pick(0, 400)));
  const std::lock_guard lock(processes_);
  fleet_.Start(machine);
  statements_.Excuse(machine);
  health_.EndFault(index);
}

void Soak::Heal() {
  RecordFault("heal");
  ClearFaults();
  if (with_statements_) ClearStatements();
  Change();
}

}  // namespace copperlead::standin
