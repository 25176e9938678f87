// A snapshot joined with the state that is kept across snapshots, indexed by route.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "routing/endpoint_state.h"
#include "routing/in_flight_limiter.h"
#include "routing/rate_limiter.h"
#include "routing/routing_snapshot.h"

namespace copperlead {

// Limits of one route. They are kept across snapshots by the route's path and guarded by the
// RouterCore's mutex.
struct RouteLimits {
  RateLimiter rate;
  InFlightLimiter in_flight;
  std::uint64_t path_hash = 0;  // Rotates ranks: none gets the larger part on all routes.
};

struct ServiceView {
  std::uint32_t slots_per_instance = 0;
  std::vector<EndpointSlot> old_site;
  std::vector<EndpointSlot> new_site;

  const std::vector<EndpointSlot>& At(Site site) const {
    return site == Site::kOld ? old_site : new_site;
  }
};

struct RouteView {
  const RouteRow* row = nullptr;
  const ServiceView* service = nullptr;  // Null only for a bundle that was not validated.
  const std::string* secret = nullptr;   // Null: no secret.
  std::shared_ptr<RouteLimits> limits;
};

// Immutable except for the states it points to.
struct RouterView {
  RoutingSnapshotPointer snapshot;
  std::map<std::string, ServiceView> services;
  std::vector<RouteView> routes;  // Routes in the order of the table's rows.

  // @return the route of a normalized path; null when there is none.
  const RouteView* Match(std::string_view path) const;
};
using RouterViewPointer = std::shared_ptr<const RouterView>;

// Owns the states and joins them with each new snapshot. Not thread-safe. It accesses the content
// of states that sessions share only in MarkListed(), so that Join(), which takes milliseconds with
// thousands of routes, needs no lock that requests wait for.
class StateStore {
 public:
  // Joins `snapshot` with the states. The slow start of a back end begins now when it is added to a
  // service that had back ends before. States of back ends that have not been listed for a while
  // are removed.
  // @return the view of `snapshot`.
  RouterViewPointer Join(Timestamp now, RoutingSnapshotPointer snapshot);

  // Records in all states whether `view` lists them as live. The caller holds the RouterCore's
  // mutex.
  void MarkListed(const RouterView& view);

 private:
  struct StoredEndpoint {
    std::shared_ptr<EndpointState> state;
    Timestamp last_listed{};
  };

  std::vector<EndpointSlot> JoinSite(Timestamp now, const std::string& service,
                                     const std::vector<Endpoint>& site);
  std::shared_ptr<RouteLimits> FindOrAddLimits(const std::string& route);
  void RemoveUnused(Timestamp now, const RouterView& view);

  // The key is service, id and address: an instance that returns at another address is a new one.
  std::unordered_map<std::string, StoredEndpoint> endpoints_;
  std::unordered_map<std::string, std::shared_ptr<RouteLimits>> limits_;
  std::set<std::string> known_services_;  // Services that had back ends before.
};

}  // namespace copperlead
