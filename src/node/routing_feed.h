// Keeps the data path's snapshot current: rebuilds it when the bundle, the machine list or the
// shape of the fleet changes.
#pragma once

#include <memory>
#include <optional>

#include "base/time.h"
#include "distribution/agent.h"
#include "routing/request_router.h"

namespace copperlead {

// Used by the agent shell's thread only.
class RoutingFeed {
 public:
  explicit RoutingFeed(std::shared_ptr<RequestRouter> router);

  void OnBundle(Timestamp now, BundlePointer bundle);
  void OnMachines(Timestamp now, MachineListPointer machines);
  // Looks at the membership view at most once per kFleetCheckInterval.
  void OnMembership(Timestamp now, const Membership& membership);

 private:
  void Publish(Timestamp now);

  const std::shared_ptr<RequestRouter> router_;
  BundlePointer bundle_;
  MachineListPointer machines_;
  FleetShape fleet_;
  std::optional<Timestamp> last_check_;
};

// A change of rank may move the subset of back ends that this node keeps connections to, so the
// view is followed at a walk.
inline constexpr Duration kFleetCheckInterval = std::chrono::seconds(3);

}  // namespace copperlead
