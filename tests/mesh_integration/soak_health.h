// Since when each machine of a soak, and the store, have been free of faults: tells the refusals
// that a fault explains from those that none does.
#pragma once

#include <atomic>
#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "tests/mesh_integration/mesh_fleet.h"

namespace copperlead::standin {

// In which nodes notice that a limit has ended.
inline constexpr std::chrono::milliseconds kLimitEndTime{2500};

// Thread-safe.
class SoakHealth {
 public:
  using Time = std::chrono::steady_clock::time_point;

  explicit SoakHealth(const MeshFleet& fleet) : fleet_(fleet) {}

  // Call once all machines are added.
  void Begin();

  // A fault is in force on a machine, until as many calls of EndFault.
  void BeginFault(std::size_t machine);
  void EndFault(std::size_t machine);
  // Whether the store is at fault, for all.
  void SetStoreFault(bool at_fault);
  // Whether a machine's way to the store, or to its instance, is at fault.
  void SetNetworkFault(std::size_t machine, bool at_fault);

  // Looks at what no call tells: readiness, crashes, troubles that have spent themselves. To be
  // called again and again.
  void Look();

  // @return true when the store, the machine and some machine of the service have been without a
  // fault from kSettleTime before `sent` until now.
  bool ShouldServe(std::size_t machine, const std::string& service, Time sent) const;

 private:
  struct Health {
    int faults = 0;
    bool network_fault = false;
    std::optional<Time> since;  // Without a fault; nothing while one is in force.
  };

  // Whether it states a limit, or did until a moment ago.
  static bool IsLimited(const Instance& instance);
  bool LooksWell(const MeshMachine& machine) const;
  static bool IsSettled(const Health& health, Time sent);

  const MeshFleet& fleet_;
  mutable std::mutex mutex_;
  std::vector<Health> machines_;  // Guarded by mutex_, as all below.
  Health store_;
};

}  // namespace copperlead::standin
