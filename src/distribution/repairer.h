// Anti-entropy: every message carries the versions that its sender runs, and a node that is behind
// pulls from a peer that is ahead. It prefers peers of its own zone and has one pull outstanding.
#pragma once

#include <optional>

#include "distribution/agent.h"
#include "distribution/document_stream.h"
#include "distribution/fleet_view.h"
#include "distribution/outbox.h"
#include "distribution/random_source.h"

namespace copperlead {

class Repairer {
 public:
  Repairer(const AgentSettings& settings, const Membership& membership, const FleetView& view,
           DocumentStream& stream, Outbox& outbox, std::uint64_t seed);

  // Call when a peer reports that it runs `version`.
  void RecordVersion(Timestamp now, const MemberRecord& peer, const DocumentVersion& version);
  // Searches the member list for a peer that is ahead, unless one is known. Costs O(n), so it is
  // meant for nodes that run nothing yet.
  void FindTarget(Timestamp now);
  // Pulls from a peer whose push could not be applied.
  // @param have base version for the delta; none for the whole document.
  void PullFrom(Timestamp now, const MemberRecord& peer, const DocumentVersion& version,
                const DocumentVersion& have);
  // Call when a peer answers that it is busy. The next pull goes out after `retry_after`.
  void OnBusy(Timestamp now, const NodeId& from, Duration retry_after);
  // Call when a whole document did not decode. Another peer is chosen, and the next pull waits.
  void OnUndecodable(Timestamp now);
  // Call when an answer to a pull arrived, so that the next pull may go out.
  void OnAnswer(const NodeId& from);

  void Tick(Timestamp now);
  Timestamp NextDeadline() const;
  // Forgets the outstanding pull and the peer that is ahead.
  void Reset();
  // True while a peer is known to run a version that this node wants.
  bool has_target() const { return target_.has_value(); }

 private:
  // A peer that runs a version which this node wants.
  struct Peer {
    NodeId id;
    ZoneName zone;
    SocketAddress address;
    DocumentVersion version;
  };
  struct Pull {
    NodeId peer;
    Timestamp deadline{};
  };

  bool InSameZone(const Peer& peer) const;
  Duration PushGracePeriod(const Peer& peer);
  void SendPull(Timestamp now, const DocumentVersion& have);
  void ChooseTarget();
  void ClearIfSatisfied();

  const AgentSettings& settings_;
  const Membership& membership_;
  const FleetView& view_;
  DocumentStream& stream_;
  Outbox& outbox_;
  RandomSource random_;
  std::optional<Peer> target_;  // Peer for the next pull.
  std::optional<Pull> pull_;    // Outstanding pull.
  Timestamp earliest_pull_{};   // Earliest time of the next pull.
};

}  // namespace copperlead
