// The simulated network between nodes: latency, jitter, loss, duplication, reordering, cuts.
//
// Decides when, if ever, a message arrives; it neither holds messages nor reads a clock.
#pragma once

#include <cstddef>
#include <vector>

#include "base/time.h"
#include "simulation/random.h"
#include "simulation/topology.h"

namespace copperlead::simulation {

// One-way latencies and the speed of a node's link.
struct LatencyProfile {
  Duration within_zone = std::chrono::microseconds(250);
  Duration between_zones = std::chrono::microseconds(500);
  Duration between_regions = std::chrono::milliseconds(15);
  double jitter = 0.2;                   // Up to this share is added to each latency.
  double bytes_per_microsecond = 125.0;  // 1 Gbit/s.
};

// Faults of every link, as probabilities per message.
struct LinkFaults {
  double loss = 0;
  double duplication = 0;
  double reordering = 0;  // Delayed by up to kReorderingDelay, so that later messages overtake.
};
inline constexpr Duration kReorderingDelay = Milliseconds(50);
// What a lost segment costs a TCP transfer.
inline constexpr Duration kTcpRetransmission = Milliseconds(200);

// Not thread-safe.
class NetworkModel {
 public:
  NetworkModel(const Topology& topology, const LatencyProfile& profile, std::uint64_t seed);

  void SetFaults(const LinkFaults& faults) { faults_ = faults; }

  // Cuts, one way each. Messages already under way still arrive, unless they travel by TCP.
  void CutZones(ZoneIndex from, ZoneIndex to) { zone_cuts_[from][to] = true; }
  // Cuts a zone off from every other, both ways.
  void IsolateZone(ZoneIndex zone);
  // Cuts all zones of different regions off from each other.
  void PartRegions();
  // What the node sends goes nowhere (mute) or what is sent to it is lost (deaf).
  void SetMute(NodeIndex node, bool mute) { mute_[node] = mute; }
  void SetDeaf(NodeIndex node, bool deaf) { deaf_[node] = deaf; }
  // Whether the zone reaches the source, which stands in zone 0.
  void CutSource(ZoneIndex zone) { source_cuts_[zone] = true; }
  // Ends all cuts.
  void Heal();

  bool Reachable(NodeIndex from, NodeIndex to) const;
  bool SourceReachable(NodeIndex node) const { return !source_cuts_[topology_.ZoneOf(node)]; }

  // Sends `bytes` at `now`.
  // @return times of arrival: none when lost, two when duplicated.
  std::vector<Timestamp> Send(Timestamp now, NodeIndex from, NodeIndex to, std::size_t bytes,
                              bool stream);

  // One way between a node and the source, with jitter.
  Duration LatencyToSource(NodeIndex node);

 private:
  Duration Latency(ZoneIndex from, ZoneIndex to);
  // Takes the sender's link for the time the bytes need. @return when the last byte leaves.
  Timestamp Depart(Timestamp now, NodeIndex from, std::size_t bytes);

  const Topology& topology_;
  LatencyProfile profile_;
  LinkFaults faults_;
  Random random_;
  std::vector<std::vector<bool>> zone_cuts_;  // [from][to]
  std::vector<bool> source_cuts_;             // By zone.
  std::vector<bool> mute_;
  std::vector<bool> deaf_;
  std::vector<Timestamp> link_free_at_;  // By sending node.
};

}  // namespace copperlead::simulation
