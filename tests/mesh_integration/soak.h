// A randomized soak: real sidecars under load while faults come from outside. Checked meanwhile are
// the promises that callers and instances can see.
#pragma once

#include <atomic>
#include <chrono>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "tests/mesh_integration/memory_watch.h"
#include "tests/mesh_integration/mesh_fleet.h"
#include "tests/mesh_integration/soak_health.h"
#include "tests/mesh_integration/soak_observations.h"
#include "tests/mesh_integration/statement_checks.h"

namespace copperlead::standin {

enum class SoakKind {
  kNarrow,  // Fault proxies before stores and instances.
  kWide,    // Besides: requests that crash instances, entries of other writers, faults in series.
            // Nothing stands before the instances, so that it shows when one is gone.
  kWideBehindProxies,   // As above, behind fault proxies, whose ports accept all the while.
  kWideWithRestores,    // As kWide, and the store is restored from backups.
  kWideWithStatements,  // As kWide, and instances state limits and that they leave.
  kWideWithStatementsAndRestores,
  kWideWithMessages,  // As kWide, and large bodies both ways, clients that pipeline and leave at
                      // their deadline, slow instances, ids of all legal signs, and instances that
                      // answer uploads early, whole or in part, or without end.
  kWideWithLeavings,  // As kWide, and entries of instances go after a short trouble with the store.
  kWideWithPauses     // As kWideWithMessages, and entries go after a node was paused for seconds
                   // beside a change, other writers put sound entries at instances' addresses, and
                   // instances leave uploads unread.
};

// An id with any signs that a header field may hold.
std::string IdOfAllSigns(const std::string& name, std::mt19937_64& random);

// Routes for large bodies in both directions.
std::string LargeMessageRoutes();

// One play of the soak.
class Soak {
 public:
  Soak(std::uint64_t seed, SoakKind kind, std::size_t machines)
      : random_(seed),
        machines_(machines),
        wide_(kind != SoakKind::kNarrow),
        behind_proxies_(kind == SoakKind::kNarrow || kind == SoakKind::kWideBehindProxies),
        with_restores_(kind == SoakKind::kWideWithRestores ||
                       kind == SoakKind::kWideWithStatementsAndRestores),
        with_statements_(kind == SoakKind::kWideWithStatements ||
                         kind == SoakKind::kWideWithStatementsAndRestores),
        with_messages_(kind == SoakKind::kWideWithMessages || kind == SoakKind::kWideWithPauses),
        with_leavings_(kind == SoakKind::kWideWithLeavings),
        with_pauses_(kind == SoakKind::kWideWithPauses) {}

  void Play(std::chrono::seconds duration);

  Observations& seen() { return seen_; }

 private:
  std::uint64_t Pick(std::uint64_t from, std::uint64_t to);
  std::string NewRoutes() const;
  void Configure();
  void WatchHealth();

  // Joins the evidence.
  void RecordFault(const std::string& fault, const MeshMachine* machine = nullptr,
                   const std::string& detail = "");

  // Sends a request to a machine, for a service.
  HttpAnswer Call(std::size_t machine, const std::string& service, const MeshRequest& request);
  void RunHotClient(int client);
  void SetCrashes();

  // Comes again at any machine, under a new id each time.
  void RunCrashingClient();

  // Uses its connection until that ends, through every stop of the node, then opens the next.
  void RunKeptClient();

  void RunUploader(int client);
  void RunDownloader(int client);

  // Sends several requests at once and leaves at their deadline.
  void RunPipeliner(int client);
  // One instance at a time is slow, answers uploads early, whole or in part, or answers without
  // end.
  void SpoilInstances();

  // The sidecars that run, for the watch over their memory.
  std::vector<WatchedProcess> RunningSidecars();

  // Lists instances that have started again after a crash, under their id or another.
  void KeepListed();

  // Another writer's entry, of an id of its own or in place of an instance's.
  void WriteForeign(std::size_t index);

  // Stops, kills and changes that come one upon the other.
  void InjectSeries();

  // Restores the store from backups, once or twice, while an instance drains and a node may be
  // killed, then rewrites the instance entries and the configuration. Checks that acknowledged
  // writes take effect.
  void InjectRestore();
  void RestoreStore();

  // An instance's entry goes while it serves on, after or amid one short trouble with the store or
  // a reader. Checks that the instance gets nothing after the bound.
  void InjectLeaving();
  void InjectShortTrouble(std::size_t leaving);

  // An instance's entry goes while it serves on, just after another node was paused for seconds
  // beside a change. Checks that the instance gets nothing after the bound.
  void InjectLongPause();

  // Another writer's sound entry at an instance's address, for a while. The instance stays in use.
  void WriteSoundForeign(std::size_t index);

  // Picks an instance of `desk`.
  std::size_t PickDesk();

  // An instance's entry goes while it serves on. @return its start, and when the entry had gone
  std::pair<std::int64_t, std::chrono::steady_clock::time_point> RemoveEntry(MeshMachine& machine);

  // Rewrites the instance entries, with the one at `draining` marked as such, and the
  // configuration.
  void RewriteStore(std::size_t draining);
  void ClearFaults();

  // An instance states another limit or none, that it leaves, or is replaced once it has.
  void ChangeStatement(MeshMachine& machine);
  void ReplaceInstance(MeshMachine& machine);
  void ClearStatements();
  void CheckStatements();

  // Reports machines that do not serve the route of the latest version.
  void CheckLatestVersionKnown(const std::vector<std::size_t>& machines);
  void RunClient(int client);
  void InjectFault();
  void SetStoreFault();
  void SetInstanceFault(MeshMachine& machine);
  void SetNetworkFault(std::size_t index, const std::string& where, FaultBoard& board);
  Fault SomeNetworkFault();
  void Change();
  void Pause(std::size_t index);
  void Restart(std::size_t index, int signal);
  void Heal();
  void CheckSettled();

  std::mt19937_64 random_;
  std::size_t machines_;  // In sixes: two zones of two and one.
  bool wide_;
  bool behind_proxies_;
  bool with_restores_;
  bool with_statements_;
  bool with_messages_;
  bool with_leavings_;
  bool with_pauses_;
  std::mutex processes_;  // Guards the machines' sidecar processes.
  std::mutex listing_;  // Guards the machines' instance ids, which crashes change, and former ids.
  std::set<std::string> former_instance_ids_;
  MeshFleet fleet_;
  SoakHealth health_{fleet_};
  Observations seen_;
  StatementChecks statements_;
  int replaced_instances_ = 0;
  std::atomic<std::uint64_t> version_{5};
  std::vector<std::atomic<int>> lives_;
  std::atomic<bool> stopping_{false};
};

}  // namespace copperlead::standin
