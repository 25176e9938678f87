// All messages between nodes, as plain typed values. transport/frame.h defines their encoding.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "membership/member.h"
#include "snapshot/transfer.h"

namespace copperlead {

// --- Membership ---

// Checks whether the receiver answers. Answered by a PingAck with the same number.
struct Ping {
  std::uint32_t number = 0;
  std::vector<MemberRecord> updates;  // Piggybacked updates about members.
};

struct PingAck {
  std::uint32_t number = 0;
  std::vector<MemberRecord> updates;
};

// Asks the receiver to ping the target and to pass a positive answer back as a PingAck.
struct PingRequest {
  std::uint32_t number = 0;
  NodeId target_id;
  SocketAddress target;
  std::vector<MemberRecord> updates;
};

// Requests the receiver's member list and what it remembers about the sender. Sent at start, after
// a pause, and when membership hashes keep differing.
struct JoinRequest {};

struct JoinReply {
  // The highest configuration that the replying node remembers the requesting node to have run.
  DocumentVersion remembered;
  std::vector<MemberRecord> members;
};

// --- Distribution ---

// Maximum length of an ETag that is forwarded.
inline constexpr std::size_t kMaxSourceTagBytes = 128;

// True when an ETag may be forwarded. It must not be too long and must contain no byte that could
// end or split the header line in which the receiver sends it. Senders leave other ETags out and
// receivers reject them.
inline bool IsForwardableEtag(std::string_view etag) {
  const auto is_plain = [](unsigned char byte) { return byte > 0x20 && byte != 0x7f; };
  return etag.size() <= kMaxSourceTagBytes && std::all_of(etag.begin(), etag.end(), is_plain);
}

// A version sent down the push tree, or the answer to a Pull.
struct Push {
  Transfer transfer;
  // Node at the root of the push tree. Empty for an answer to a Pull, which is not forwarded.
  NodeId root;
  // The source's ETag for the document whose content the version has, or empty if it is not known.
  // IsForwardableEtag holds.
  std::string source_tag;
};

// Reports that the sender runs this version or a newer one.
struct PushAck {
  StreamKind stream = StreamKind::kConfiguration;
  DocumentVersion version;
};

// Requests everything newer than `have`. Answered by Push or Busy.
struct Pull {
  StreamKind stream = StreamKind::kConfiguration;
  DocumentVersion have;  // An empty version requests the complete document.
};

// Asks the receiver to repeat its Pull after a time, to this node or to another one.
struct Busy {
  StreamKind stream = StreamKind::kConfiguration;
  std::uint32_t retry_after_ms = 0;
};

// Requests the summary of a member, which every answer carries. Sent for `status` to members that
// lag behind.
struct StatusQuery {};
struct StatusReply {};

using MessageBody = std::variant<Ping, PingAck, PingRequest, JoinRequest, JoinReply, Push, PushAck,
                                 Pull, Busy, StatusQuery, StatusReply>;

// Names of the bodies in the order of MessageBody.
inline constexpr std::array<std::string_view, std::variant_size_v<MessageBody>> kMessageBodyNames =
    {"ping",     "ping_ack", "ping_request", "join_request", "join_reply",  "push",
     "push_ack", "pull",     "busy",         "status_query", "status_reply"};

struct Message {
  NodeSummary sender;
  MessageBody body;
};

// One message to send. The caller adds the sender's summary.
struct OutgoingMessage {
  SocketAddress to;
  MessageBody body;
};

}  // namespace copperlead
