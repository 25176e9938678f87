#include "node/routing_feed.h"

#include <algorithm>
#include <utility>

namespace copperlead {
namespace {

FleetShape ShapeOf(const Membership& membership) {
  FleetShape shape;
  shape.node_id = membership.self().id;
  shape.zone = membership.self().zone;
  const auto eligible = membership.Eligible();
  shape.live_nodes = std::max<std::size_t>(1, eligible.size());
  shape.node_rank = static_cast<std::size_t>(
      std::count_if(eligible.begin(), eligible.end(),
                    [&](const MemberRecord& member) { return member.id < shape.node_id; }));
  return shape;
}

}  // namespace

RoutingFeed::RoutingFeed(std::shared_ptr<RequestRouter> router) : router_(std::move(router)) {}

void RoutingFeed::OnBundle(Timestamp now, BundlePointer bundle) {
  bundle_ = std::move(bundle);
  Publish(now);
}

void RoutingFeed::OnMachines(Timestamp now, MachineListPointer machines) {
  machines_ = std::move(machines);
  Publish(now);
}

void RoutingFeed::OnMembership(Timestamp now, const Membership& membership) {
  if (last_check_ && now - *last_check_ < kFleetCheckInterval) return;
  last_check_ = now;
  auto shape = ShapeOf(membership);
  router_->SetLiveNodes(now, membership.LiveCount(), shape.node_rank);
  const bool same = shape.live_nodes == fleet_.live_nodes && shape.node_rank == fleet_.node_rank &&
                    shape.zone == fleet_.zone;
  fleet_ = std::move(shape);
  if (!same) Publish(now);
}

void RoutingFeed::Publish(Timestamp now) {
  if (!bundle_) return;
  router_->Publish(now, BuildRoutingSnapshot(bundle_, machines_, fleet_));
}

}  // namespace copperlead
