#include "routing/routing_snapshot.h"

#include <algorithm>
#include <utility>

#include "routing/subsetting.h"

namespace copperlead {
namespace {

Endpoint MakeEndpoint(const Machine& machine) {
  Endpoint endpoint;
  endpoint.id = machine.id;
  endpoint.address = machine.address;
  endpoint.site = machine.site;
  endpoint.zone = machine.zone;
  endpoint.leaving = machine.state == MachineState::kLeaving;
  return endpoint;
}

// Adds every back end of a known service to its site.
void AddEndpoints(const MachineList& list, std::map<std::string, ServiceEndpoints>& services) {
  for (const Machine& machine : list.machines) {
    if (machine.kind != MachineKind::kBackend) continue;
    const auto service = services.find(machine.service);
    if (service == services.end()) continue;
    auto& site = machine.site == Site::kOld ? service->second.old_site : service->second.new_site;
    site.push_back(MakeEndpoint(machine));
  }
}

// Replaces a site's back ends by this node's subset of them. Leaving ones stay with a share of 0.
void ApplySubset(const ServiceSettings& settings, const FleetShape& fleet,
                 const std::string& site_key, std::vector<Endpoint>& site) {
  const auto first_leaving = std::stable_partition(
      site.begin(), site.end(), [](const Endpoint& endpoint) { return !endpoint.leaving; });
  SubsetShape shape;
  shape.back_ends = static_cast<std::size_t>(first_leaving - site.begin());
  shape.live_nodes = std::max<std::size_t>(1, fleet.live_nodes);
  shape.node_rank = fleet.node_rank % shape.live_nodes;
  shape.connections_per_instance = settings.connections_per_instance;
  shape.slots_per_instance = settings.slots_per_instance;
  std::vector<Endpoint> chosen;
  for (const SubsetMember& member : ChooseSubset(shape, site_key)) {
    chosen.push_back(site[member.index]);
    chosen.back().connection_share = member.connection_share;
  }
  for (auto leaving = first_leaving; leaving != site.end(); ++leaving) {
    chosen.push_back(*leaving);
    chosen.back().connection_share = 0;
  }
  site = std::move(chosen);
}

}  // namespace

RoutingSnapshotPointer BuildRoutingSnapshot(BundlePointer bundle, MachineListPointer machines,
                                            const FleetShape& fleet) {
  std::map<std::string, ServiceEndpoints> services;
  for (const auto& [name, settings] : bundle->services) services[name].settings = settings;
  if (machines) AddEndpoints(*machines, services);
  for (auto& [name, service] : services) {
    ApplySubset(service.settings, fleet, name + "/old", service.old_site);
    ApplySubset(service.settings, fleet, name + "/new", service.new_site);
  }
  RouteIndex index(bundle->table);
  return std::make_shared<const RoutingSnapshot>(RoutingSnapshot{
      std::move(bundle), std::move(machines), std::move(index), std::move(services), fleet});
}

}  // namespace copperlead
