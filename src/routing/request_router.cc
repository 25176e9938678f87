#include "routing/request_router.h"

#include <utility>

#include "routing/request_session.h"
#include "routing/router_core.h"

namespace copperlead {

RequestRouter::RequestRouter(const RouterSettings& settings, std::uint64_t seed,
                             std::shared_ptr<const RetryPolicy> policy)
    : core_(std::make_shared<RouterCore>(settings, seed, std::move(policy))) {}

RequestRouter::~RequestRouter() = default;

void RequestRouter::Publish(Timestamp now, RoutingSnapshotPointer snapshot) {
  core_->Publish(now, std::move(snapshot));
}

RoutingSnapshotPointer RequestRouter::snapshot() const { return core_->snapshot(); }

void RequestRouter::SetLiveNodes(Timestamp now, std::size_t live_nodes,
                                 std::optional<std::size_t> node_rank) {
  core_->SetLiveNodes(now, live_nodes, node_rank);
}

void RequestRouter::SetDraining() { core_->SetDraining(); }

std::unique_ptr<RequestSession> RequestRouter::Begin(const RequestFacts& facts) {
  return std::make_unique<RoutedSession>(core_, facts);
}

RouterCounters RequestRouter::counters() const { return core_->counters(); }

std::uint64_t RequestRouter::in_flight() const { return core_->in_flight(); }

}  // namespace copperlead
