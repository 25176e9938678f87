// The closed list of messages between nodes. Plain typed values; bytes are transport/frame.h's.
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

// "Are you there?" Answered by PingAck with the same number.
struct Ping {
  std::uint32_t number = 0;
  std::vector<MemberRecord> updates;  // Piggybacked news of other members.
};

struct PingAck {
  std::uint32_t number = 0;
  std::vector<MemberRecord> updates;
};

// "Ping that node for me." The receiver passes a positive answer back as PingAck.
struct PingRequest {
  std::uint32_t number = 0;
  NodeId target_id;
  SocketAddress target;
  std::vector<MemberRecord> updates;
};

// Asks for the receiver's member list, and for what it remembers of the sender. Sent at start,
// after a pause, and when membership hashes keep differing.
struct JoinRequest {};

struct JoinReply {
  // The highest configuration the receiver remembers the asking node to have run.
  DocumentVersion remembered;
  std::vector<MemberRecord> members;
};

// --- Distribution ---

// Longest ETag that is handed on.
inline constexpr std::size_t kMaxSourceTagBytes = 128;

// True when an ETag may be handed on: neither too long nor with a byte that could end or split the
// header line in which the receiver sends it. Others are left out by senders and refused by
// receivers.
inline bool MayHandOnEtag(std::string_view etag) {
  const auto is_plain = [](char byte) { return byte < '\0' || (byte > ' ' && byte != '\x7f'); };
  return etag.size() <= kMaxSourceTagBytes && std::all_of(etag.begin(), etag.end(), is_plain);
}

// A version handed down the push tree, or sent as the answer to a Pull.
struct Push {
  Transfer transfer;
  // Node at the root of the tree this push belongs to; empty: an answer to a Pull, not forwarded.
  NodeId root;
  // The source's ETag for the document whose content the version has; empty: not known.
  // MayHandOnEtag holds.
  std::string source_tag;
};

// "I run this version, or a newer one."
struct PushAck {
  StreamKind stream = StreamKind::kConfiguration;
  DocumentVersion version;
};

// "Send me what is newer than this." Answered by Push or Busy.
struct Pull {
  StreamKind stream = StreamKind::kConfiguration;
  DocumentVersion have;  // None: send the whole document.
};

// "Ask again, me or another, after this time."
struct Busy {
  StreamKind stream = StreamKind::kConfiguration;
  std::uint32_t retry_after_ms = 0;
};

// Asks a member for its summary (which rides on the answer); sent to laggards for `status`.
struct StatusQuery {};
struct StatusReply {};

using MessageBody = std::variant<Ping, PingAck, PingRequest, JoinRequest, JoinReply, Push, PushAck,
                                 Pull, Busy, StatusQuery, StatusReply>;

// In the order of MessageBody.
inline constexpr std::array<std::string_view, std::variant_size_v<MessageBody>> kMessageBodyNames =
    {"ping",     "ping_ack", "ping_request", "join_request", "join_reply",  "push",
     "push_ack", "pull",     "busy",         "status_query", "status_reply"};

struct Message {
  NodeSummary sender;
  MessageBody body;
};

// One message to send. The sender's summary is added when it leaves the deciding code.
struct OutgoingMessage {
  SocketAddress to;
  MessageBody body;
};

}  // namespace copperlead
