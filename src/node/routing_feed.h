// Keeps the routing snapshot of the data path up to date. It is rebuilt when the bundle, the
// machine list or the shape of the fleet changes.
#pragma once

#include <memory>
#include <optional>

#include "base/time.h"
#include "distribution/agent.h"
#include "routing/request_router.h"

namespace copperlead {

// Must be used on the agent shell's thread only.
class RoutingFeed {
 public:
  explicit RoutingFeed(std::shared_ptr<RequestRouter> router);

  void OnBundle(Timestamp now, BundlePointer bundle);
  void OnMachines(Timestamp now, MachineListPointer machines);
  // Evaluates the membership view at most once per kFleetCheckInterval.
  void OnMembership(Timestamp now, const Membership& membership);

 private:
  void Publish(Timestamp now);

  const std::shared_ptr<RequestRouter> router_;
  BundlePointer bundle_;
  MachineListPointer machines_;
  FleetShape fleet_;
  std::optional<Timestamp> last_check_;
};

// Shortest interval between evaluations of the membership view. A change of rank may change the
// subset of back ends to which this node keeps connections, so the view is evaluated only rarely.
inline constexpr Duration kFleetCheckInterval = std::chrono::seconds(3);

}  // namespace copperlead
