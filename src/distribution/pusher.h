// Pushes the running version along the push tree of this node's zone and to the readers of the
// other zones, and repeats pushes that are not acknowledged.
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

  // Starts the running version in this node's zone: pushes it to the top level of the tree and to
  // the children of this node, once per version.
  void PushInZone(Timestamp now);
  // Pushes also to the reader of each other zone. Call on the node that read the version from the
  // source.
  void PushToAllZones(Timestamp now);
  // Forwards a received push to the children of this node, once per version.
  // @param root node that started the push in this zone; the forwarded pushes name it too.
  void Forward(Timestamp now, const NodeId& root);

  // Call when a member reports that it runs `version`: this acknowledges the push to it, unless the
  // version is older than the pushed one.
  void RecordVersion(const NodeId& id, const DocumentVersion& version);
  // Answers a pull from a member whose push is not acknowledged: repeats that push, as a delta to
  // the version that the member has if possible. @return false when there is no such push.
  bool ResendFrom(Timestamp now, const NodeId& id, const DocumentVersion& have);

  // Repeats or gives up the pushes that are due.
  void Tick(Timestamp now);
  Timestamp NextDeadline() const;
  // Forgets all outstanding pushes.
  void Reset() { outstanding_.clear(); }

 private:
  // A push that is not acknowledged yet.
  struct Outstanding {
    SocketAddress address;
    NodeId root;
    std::size_t attempts = 0;
    Timestamp first_sent{};
    Timestamp next_retry{};
    bool taken_over = false;                // The parent of the member in the tree did not answer.
    std::optional<std::size_t> tree_index;  // Set for a member of this zone.
    ZoneName zone;                          // Set for a reader of another zone, with its rank.
    std::size_t reader_rank = 0;
  };

  void StartVersion();
  void BuildTree();
  void PushToOwnChildren(Timestamp now);
  void PushTo(Timestamp now, const std::vector<std::size_t>& indices, bool taken_over = false);
  bool HasSentSince(const NodeId& id, Timestamp time) const;
  void PushToReader(Timestamp now, const ZoneName& zone, std::size_t rank);
  void Send(Timestamp now, Outstanding& push, const DocumentVersion& base);
  void GiveUp(Timestamp now, const NodeId& id, const Outstanding& push);
  DocumentVersion KnownVersion(const NodeId& id) const;
  DocumentVersion VersionOf(const Member& member) const;
  // @return the base version for the delta that is pushed to this member.
  DocumentVersion BaseFor(Timestamp now, const NodeId& id) const;

  const AgentSettings& settings_;
  const Membership& membership_;
  FleetView& view_;
  DocumentStream& stream_;
  const SourceEtag& etag_;
  Outbox& outbox_;
  DocumentVersion version_;  // Version of the outstanding pushes.
  bool forwarded_ = false;   // Whether version_ was pushed to this node's children.
  bool started_ = false;     // Whether this node started version_ in its zone.
  std::optional<PushTree> tree_;
  NodeId root_;
  std::map<NodeId, Outstanding> outstanding_;
};

}  // namespace copperlead
