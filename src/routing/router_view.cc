#include "routing/router_view.h"

#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace copperlead {
namespace {

// Time for which the state of a back end is kept while no snapshot lists it, as lists may omit a
// back end temporarily.
constexpr Duration kUnlistedRetention = std::chrono::seconds(60);

std::string StateKey(const std::string& service, const Endpoint& endpoint) {
  return service + '\n' + endpoint.id + '\n' + ToString(endpoint.address);
}

}  // namespace

const RouteView* RouterView::Match(std::string_view path) const {
  const int row = snapshot->index.Match(path);
  return row < 0 ? nullptr : &routes[static_cast<std::size_t>(row)];
}

RouterViewPointer StateStore::Join(Timestamp now, RoutingSnapshotPointer snapshot) {
  auto view = std::make_shared<RouterView>();
  view->snapshot = std::move(snapshot);
  for (const auto& [name, service] : view->snapshot->services) {
    ServiceView& joined = view->services[name];
    joined.slots_per_instance = service.settings.slots_per_instance;
    joined.old_site = JoinSite(now, name, service.old_site);
    joined.new_site = JoinSite(now, name, service.new_site);
    if (!joined.old_site.empty() || !joined.new_site.empty()) known_services_.insert(name);
  }
  const Bundle& bundle = *view->snapshot->bundle;
  view->routes.reserve(bundle.table.rows.size());
  for (const RouteRow& row : bundle.table.rows) {
    RouteView route;
    route.row = &row;
    const auto service = view->services.find(row.service);
    if (service != view->services.end()) route.service = &service->second;
    const auto secret = bundle.secrets.find(row.secret);
    if (!row.secret.empty() && secret != bundle.secrets.end()) route.secret = &secret->second;
    route.limits = FindOrAddLimits(row.route);
    view->routes.push_back(std::move(route));
  }
  RemoveUnused(now, *view);
  return view;
}

std::vector<EndpointSlot> StateStore::JoinSite(Timestamp now, const std::string& service,
                                               const std::vector<Endpoint>& site) {
  std::vector<EndpointSlot> slots;
  slots.reserve(site.size());
  for (const Endpoint& endpoint : site) {
    StoredEndpoint& stored = endpoints_[StateKey(service, endpoint)];
    if (!stored.state) {
      stored.state = std::make_shared<EndpointState>();
      // To a node that just started all back ends are new, so none of them gets a slow start.
      if (known_services_.contains(service)) stored.state->first_seen = now;
    }
    stored.last_listed = now;
    slots.push_back({&endpoint, stored.state});
  }
  return slots;
}

std::shared_ptr<RouteLimits> StateStore::FindOrAddLimits(const std::string& route) {
  auto& limits = limits_[route];
  if (!limits) {
    limits = std::make_shared<RouteLimits>();
    limits->path_hash = XXH3_64bits(route.data(), route.size());
  }
  return limits;
}

void StateStore::RemoveUnused(Timestamp now, const RouterView& view) {
  // A state that no view holds can't be reached by any session, and only Join() creates views.
  std::erase_if(endpoints_, [&](const auto& entry) {
    const StoredEndpoint& stored = entry.second;
    return stored.state.use_count() == 1 && now - stored.last_listed > kUnlistedRetention;
  });
  std::erase_if(limits_, [](const auto& entry) { return entry.second.use_count() == 1; });
  std::erase_if(known_services_,
                [&](const std::string& service) { return !view.services.contains(service); });
}

void StateStore::MarkListed(const RouterView& view) {
  for (auto& [key, stored] : endpoints_) stored.state->listed_live = false;
  for (const auto& [name, service] : view.services) {
    for (const Site site : {Site::kOld, Site::kNew}) {
      for (const EndpointSlot& slot : service.At(site)) {
        slot.state->listed_live = !slot.endpoint->leaving;
      }
    }
  }
}

}  // namespace copperlead
