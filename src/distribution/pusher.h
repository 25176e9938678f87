// Sends the running version down the push tree of the own zone and to the readers of the others,
// and repeats what is not acknowledged.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "distribution/agent.h"
#include "distribution/document_stream.h"
#include "distribution/fleet_view.h"
#include "distribution/outbox.h"
#include "distribution/push_tree.h"
#include "distribution/source_etag.h"

namespace copperlead {

class Pusher {
 public:
  Pusher(const AgentSettings& settings, const Membership& membership, FleetView& view,
         DocumentStream& stream, const SourceEtag& etag, Outbox& outbox);

  // Starts what runs in the own zone: to the heads and this node's own children; once per version.
  void SpreadInZone(Timestamp now);
  // Also to the reader of each other zone. For the node that read the version from the source.
  void SpreadEverywhere(Timestamp now);
  // Hands a received push on to this node's children; once per version.
  // @param root node that started the push in this zone, repeated in what is handed on.
  void Forward(Timestamp now, const NodeId& root);

  // A member said that it runs `version`: what was pushed to it is acknowledged.
  void HearVersion(const NodeId& id, const DocumentVersion& version);
  // Answers a pull of a member that this node has an unacknowledged push for: the push again, from
  // the version that the member has. @return false when there is no such push.
  bool RepeatFrom(Timestamp now, const NodeId& id, const DocumentVersion& have);

  // Repeats what is due.
  void Tick(Timestamp now);
  Timestamp NextDeadline() const;
  // Forgets all that is outstanding.
  void Drop() { outstanding_.clear(); }

 private:
  // A push without an acknowledgement yet.
  struct Outstanding {
    SocketAddress address;
    NodeId root;
    std::size_t attempts = 0;
    Timestamp first_sent{};
    Timestamp next_retry{};
    bool taken_over = false;                // The member's parent in the tree did not answer.
    std::optional<std::size_t> tree_index;  // Set for a member of the own zone.
    ZoneName zone;                          // Set for the reader of another zone, with its rank.
    std::size_t reader_rank = 0;
  };

  void StartVersion();
  void BuildTree();
  void PushToOwnChildren(Timestamp now);
  void PushTo(Timestamp now, const std::vector<std::size_t>& places, bool taken_over = false);
  bool WasHeardSince(const NodeId& id, Timestamp time) const;
  void PushToReader(Timestamp now, const ZoneName& zone, std::size_t rank);
  void Send(Timestamp now, Outstanding& push, const DocumentVersion& base);
  void GiveUp(Timestamp now, const NodeId& id, const Outstanding& push);
  DocumentVersion KnownVersion(const NodeId& id) const;
  DocumentVersion VersionOf(const Member& member) const;
  // @return the version that a push to this member is made a difference to.
  DocumentVersion BaseFor(Timestamp now, const NodeId& id) const;

  const AgentSettings& settings_;
  const Membership& membership_;
  FleetView& view_;
  DocumentStream& stream_;
  const SourceEtag& etag_;
  Outbox& outbox_;
  DocumentVersion version_;  // Of the outstanding pushes.
  bool forwarded_ = false;   // Whether this node's children were pushed version_.
  bool started_ = false;     // Whether this node started version_ in its zone.
  std::optional<PushTree> tree_;
  NodeId root_;
  std::map<NodeId, Outstanding> outstanding_;
};

}  // namespace copperlead
