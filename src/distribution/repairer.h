// Anti-entropy: every message tells what its sender runs; a node that is behind pulls from one that
// is ahead, its own zone first, one pull at a time.
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

  // A peer said that it runs `version`.
  void Hear(Timestamp now, const MemberRecord& peer, const DocumentVersion& version);
  // Looks through the member list for a peer that is ahead, unless one is known. Costs O(n): for
  // nodes that run nothing yet.
  void Seek(Timestamp now);
  // A peer's push could not be applied: ask it for what can be.
  // @param have the base it should start from; none: the whole document.
  void PullFrom(Timestamp now, const MemberRecord& peer, const DocumentVersion& version,
                const DocumentVersion& have);
  // The peer that was asked wants to be asked later.
  void HearBusy(Timestamp now, const NodeId& from, Duration retry_after);
  // What the peer sent whole did not decode: ask another, not at once.
  void HearUnreadable(Timestamp now);
  // Any answer to a pull arrived: the next one may go out.
  void HearAnswer(const NodeId& from);

  void Tick(Timestamp now);
  Timestamp NextDeadline() const;
  // Forgets what is outstanding and who is ahead.
  void Drop();
  // True while a peer is known to run something that this node wants.
  bool wanted() const { return source_.has_value(); }

 private:
  // A peer that is ahead.
  struct Peer {
    NodeId id;
    ZoneName zone;
    SocketAddress address;
    DocumentVersion version;
  };
  struct Pull {
    NodeId asked;
    Timestamp deadline{};
  };

  bool InZone(const Peer& peer) const;
  Duration Grace(const Peer& peer);
  void Ask(Timestamp now, const DocumentVersion& have);
  void ChooseAnother();
  void ForgetIfDone();

  const AgentSettings& settings_;
  const Membership& membership_;
  const FleetView& view_;
  DocumentStream& stream_;
  Outbox& outbox_;
  RandomSource random_;
  std::optional<Peer> source_;  // Whom to ask next.
  std::optional<Pull> pull_;    // Outstanding.
  Timestamp not_before_{};      // Of the next pull.
};

}  // namespace copperlead
