#include "simulation/network_model.h"

#include <algorithm>

namespace copperlead::simulation {

NetworkModel::NetworkModel(const Topology& topology, const LatencyProfile& profile,
                           std::uint64_t seed)
    : topology_(topology),
      profile_(profile),
      random_(DeriveSeed(seed, RandomStream::kNetwork)),
      mute_(topology.node_count()),
      deaf_(topology.node_count()),
      link_free_at_(topology.node_count()) {
  Heal();
}

void NetworkModel::IsolateZone(ZoneIndex zone) {
  for (ZoneIndex other = 0; other < topology_.zone_count(); ++other) {
    if (other == zone) continue;
    CutZones(zone, other);
    CutZones(other, zone);
  }
}

void NetworkModel::PartRegions() {
  for (ZoneIndex from = 0; from < topology_.zone_count(); ++from) {
    for (ZoneIndex to = 0; to < topology_.zone_count(); ++to) {
      if (topology_.RegionOfZone(from) != topology_.RegionOfZone(to)) CutZones(from, to);
    }
  }
}

void NetworkModel::Heal() {
  const std::size_t zones = topology_.zone_count();
  zone_cuts_.assign(zones, std::vector<bool>(zones));
  source_cuts_.assign(zones, false);
  std::fill(mute_.begin(), mute_.end(), false);
  std::fill(deaf_.begin(), deaf_.end(), false);
}

bool NetworkModel::Reachable(NodeIndex from, NodeIndex to) const {
  if (mute_[from] || deaf_[to]) return false;
  return !zone_cuts_[topology_.ZoneOf(from)][topology_.ZoneOf(to)];
}

std::vector<Timestamp> NetworkModel::Send(Timestamp now, NodeIndex from, NodeIndex to,
                                          std::size_t bytes, bool stream) {
  const Timestamp departure = Depart(now, from, bytes);
  if (!Reachable(from, to)) return {};
  const ZoneIndex from_zone = topology_.ZoneOf(from);
  const ZoneIndex to_zone = topology_.ZoneOf(to);
  Timestamp arrival = departure + Latency(from_zone, to_zone);
  const bool lost = random_.Chance(faults_.loss);
  if (stream) {
    // The handshake takes a round trip, and TCP needs both directions.
    if (!Reachable(to, from)) return {};
    arrival += Latency(from_zone, to_zone) + Latency(to_zone, from_zone);
    if (lost) arrival += kTcpRetransmission;
    return {arrival};
  }
  if (lost) return {};
  if (random_.Chance(faults_.reordering)) arrival += random_.DurationBelow(kReorderingDelay);
  std::vector<Timestamp> arrivals = {arrival};
  if (random_.Chance(faults_.duplication)) {
    arrivals.push_back(arrival + random_.DurationBelow(kReorderingDelay));
  }
  return arrivals;
}

Duration NetworkModel::LatencyToSource(NodeIndex node) {
  return Latency(topology_.ZoneOf(node), 0);
}

Duration NetworkModel::Latency(ZoneIndex from, ZoneIndex to) {
  Duration base = profile_.within_zone;
  if (topology_.RegionOfZone(from) != topology_.RegionOfZone(to)) {
    base = profile_.between_regions;
  } else if (from != to) {
    base = profile_.between_zones;
  }
  const double limit = static_cast<double>(base.count()) * profile_.jitter;
  return base + Duration(static_cast<Duration::rep>(limit * random_.Fraction()));
}

Timestamp NetworkModel::Depart(Timestamp now, NodeIndex from, std::size_t bytes) {
  const double microseconds = static_cast<double>(bytes) / profile_.bytes_per_microsecond;
  Timestamp& free_at = link_free_at_[from];
  free_at = std::max(free_at, now) + Duration(static_cast<Duration::rep>(microseconds));
  return free_at;
}

}  // namespace copperlead::simulation
