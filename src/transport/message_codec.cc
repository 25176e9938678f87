// Implements EncodeMessage and DecodeMessage of frame.h with cereal functions for each message
// type.
#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <utility>

#include "transport/compact_archive.h"
#include "transport/frame.h"

namespace copperlead {
namespace {

// Limits on the contents of one message. The record limit is several times the number of members of
// the largest fleet.
constexpr std::size_t kMaxNodeNameBytes = 255;  // Applies to node ids and zone names.
constexpr std::size_t kMaxAddressTextBytes = 64;
constexpr std::size_t kMaxRecordsPerMessage = 65'536;
// Smallest encoding of a member record: flags (1 byte), length of the id (1), length of the address
// (1), port (2) and incarnation (1).
constexpr std::size_t kMinRecordBytes = 6;

// Bits of the first byte of a member record.
constexpr std::uint8_t kStateMask = 0x03;
// kSameZone and kSameConfiguration: the field equals that of the previous record in the message.
constexpr std::uint8_t kSameZone = 0x04;
constexpr std::uint8_t kSameConfiguration = 0x08;
constexpr int kAddressFormShift = 4;
constexpr std::uint8_t kKnownFlags = 0x3f;

enum class AddressForm : std::uint8_t { kText, kIpv4, kIpv6, kCount };

struct EncodedIp {
  AddressForm form = AddressForm::kText;
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
};

std::size_t BinarySize(AddressForm form) {
  return form == AddressForm::kIpv4 ? sizeof(in_addr) : sizeof(in6_addr);
}

int AddressFamily(AddressForm form) { return form == AddressForm::kIpv4 ? AF_INET : AF_INET6; }

std::string FormatIp(AddressForm form, const void* bytes) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  inet_ntop(AddressFamily(form), bytes, text.data(), text.size());
  return text.data();
}

// Uses the binary form only if it converts back to the same text, because decoding must restore the
// encoded text exactly.
EncodedIp EncodeIp(const std::string& ip) {
  EncodedIp encoded;
  for (const AddressForm form : {AddressForm::kIpv4, AddressForm::kIpv6}) {
    if (inet_pton(AddressFamily(form), ip.c_str(), encoded.bytes.data()) != 1) continue;
    if (FormatIp(form, encoded.bytes.data()) != ip) continue;
    encoded.form = form;
    return encoded;
  }
  return encoded;
}

void WriteIp(CompactOutputArchive& archive, const EncodedIp& encoded, const std::string& ip) {
  if (encoded.form != AddressForm::kText) {
    archive.WriteBytes(encoded.bytes.data(), BinarySize(encoded.form));
    return;
  }
  archive.WriteNumber(ip.size());
  archive.WriteBytes(ip.data(), ip.size());
}

std::string ReadIp(CompactInputArchive& archive, AddressForm form) {
  if (form == AddressForm::kText) return archive.ReadString(kMaxAddressTextBytes);
  return FormatIp(form, archive.ReadBytes(BinarySize(form)).data());
}

AddressForm CheckedAddressForm(std::uint8_t number) {
  if (number >= static_cast<std::uint8_t>(AddressForm::kCount)) {
    throw cereal::Exception("unknown address form");
  }
  return static_cast<AddressForm>(number);
}

std::string ReadName(CompactInputArchive& archive) { return archive.ReadString(kMaxNodeNameBytes); }

void WriteName(CompactOutputArchive& archive, const std::string& name) {
  archive.WriteNumber(name.size());
  archive.WriteBytes(name.data(), name.size());
}

void WriteStream(CompactOutputArchive& archive, StreamKind stream) {
  archive.WriteByte(static_cast<std::uint8_t>(stream));
}

StreamKind ReadStream(CompactInputArchive& archive) {
  const std::uint8_t number = archive.ReadByte();
  if (number >= kStreamCount) throw cereal::Exception("unknown stream");
  return static_cast<StreamKind>(number);
}

}  // namespace

// --- Functions by which cereal saves and loads messages; found by argument-dependent lookup ---

static void save(CompactOutputArchive& archive, const DocumentVersion& version) {
  archive.WriteByte(version.none() ? 0 : 1);
  if (version.none()) return;
  archive(version.major, version.minor);
  archive.WriteFixed(version.content_hash, 8);
}

static void load(CompactInputArchive& archive, DocumentVersion& version) {
  const std::uint8_t presence = archive.ReadByte();
  if (presence > 1) throw cereal::Exception("invalid version presence flag");
  if (presence == 0) {
    version = {};
    return;
  }
  archive(version.major, version.minor);
  version.content_hash = archive.ReadFixed(8);
}

static void save(CompactOutputArchive& archive, const SocketAddress& address) {
  const EncodedIp encoded = EncodeIp(address.ip);
  archive.WriteByte(static_cast<std::uint8_t>(encoded.form));
  WriteIp(archive, encoded, address.ip);
  archive.WriteFixed(address.port, 2);
}

static void load(CompactInputArchive& archive, SocketAddress& address) {
  address.ip = ReadIp(archive, CheckedAddressForm(archive.ReadByte()));
  address.port = static_cast<std::uint16_t>(archive.ReadFixed(2));
}

static void save(CompactOutputArchive& archive, const MemberRecord& record) {
  RecordContext& previous = archive.record_context();
  const EncodedIp encoded = EncodeIp(record.address.ip);
  std::uint8_t flags = static_cast<std::uint8_t>(record.state) & kStateMask;
  flags |= static_cast<std::uint8_t>(static_cast<int>(encoded.form) << kAddressFormShift);
  if (record.zone == previous.zone) flags |= kSameZone;
  if (record.configuration == previous.configuration) flags |= kSameConfiguration;
  archive.WriteByte(flags);
  WriteName(archive, record.id);
  if ((flags & kSameZone) == 0) WriteName(archive, record.zone);
  WriteIp(archive, encoded, record.address.ip);
  archive.WriteFixed(record.address.port, 2);
  archive(record.incarnation);
  if ((flags & kSameConfiguration) == 0) archive(record.configuration);
  previous.zone = record.zone;
  previous.configuration = record.configuration;
}

static void load(CompactInputArchive& archive, MemberRecord& record) {
  RecordContext& previous = archive.record_context();
  const std::uint8_t flags = archive.ReadByte();
  if ((flags & ~kKnownFlags) != 0) throw cereal::Exception("unknown record flags");
  record.state = static_cast<MemberState>(flags & kStateMask);
  record.id = ReadName(archive);
  if ((flags & kSameZone) == 0) previous.zone = ReadName(archive);
  record.zone = previous.zone;
  record.address.ip = ReadIp(archive, CheckedAddressForm(flags >> kAddressFormShift));
  record.address.port = static_cast<std::uint16_t>(archive.ReadFixed(2));
  archive(record.incarnation);
  if ((flags & kSameConfiguration) == 0) archive(previous.configuration);
  record.configuration = previous.configuration;
}

static void save(CompactOutputArchive& archive, const std::vector<MemberRecord>& records) {
  archive.WriteNumber(records.size());
  for (const MemberRecord& record : records) archive(record);
}

static void load(CompactInputArchive& archive, std::vector<MemberRecord>& records) {
  records.resize(archive.ReadCount(kMinRecordBytes, kMaxRecordsPerMessage));
  for (MemberRecord& record : records) archive(record);
}

static void save(CompactOutputArchive& archive, const NodeSummary& summary) {
  archive(summary.record, summary.machines);
  archive.WriteFixed(summary.membership_hash, 8);
  archive.WriteByte(summary.refused ? 1 : 0);
  if (!summary.refused) return;
  archive(summary.refused->version);
  WriteName(archive, summary.refused->node);
  const std::string& explanation = summary.refused->explanation;
  const std::size_t size = std::min(explanation.size(), kMaxExplanationBytes);
  archive.WriteNumber(size);
  archive.WriteBytes(explanation.data(), size);
}

static void load(CompactInputArchive& archive, NodeSummary& summary) {
  archive(summary.record, summary.machines);
  summary.membership_hash = archive.ReadFixed(8);
  const std::uint8_t presence = archive.ReadByte();
  if (presence > 1) throw cereal::Exception("invalid refused-version presence flag");
  if (presence == 0) return;
  RefusedVersion& refused = summary.refused.emplace();
  archive(refused.version);
  refused.node = ReadName(archive);
  refused.explanation = archive.ReadString(kMaxExplanationBytes);
}

static void save(CompactOutputArchive& archive, const Transfer& transfer) {
  static const std::string empty;
  const std::string& payload = transfer.payload ? *transfer.payload : empty;
  archive.Reserve(payload.size() + kMaxDatagramBytes);
  WriteStream(archive, transfer.stream);
  archive(transfer.version, transfer.base);
  archive.WriteNumber(payload.size());
  archive.WriteBytes(payload.data(), payload.size());
}

static void load(CompactInputArchive& archive, Transfer& transfer) {
  transfer.stream = ReadStream(archive);
  archive(transfer.version, transfer.base);
  transfer.payload = std::make_shared<const std::string>(archive.ReadString(kMaxFrameBytes));
}

template <class Archive>
static void serialize(Archive& archive, Ping& ping) {
  archive(ping.number, ping.updates);
}

template <class Archive>
static void serialize(Archive& archive, PingAck& ack) {
  archive(ack.number, ack.updates);
}

static void save(CompactOutputArchive& archive, const PingRequest& request) {
  archive(request.number);
  WriteName(archive, request.target_id);
  archive(request.target, request.updates);
}

static void load(CompactInputArchive& archive, PingRequest& request) {
  archive(request.number);
  request.target_id = ReadName(archive);
  archive(request.target, request.updates);
}

template <class Archive>
static void serialize(Archive& archive, JoinReply& reply) {
  archive(reply.remembered, reply.members);
}

static void save(CompactOutputArchive& archive, const Push& push) {
  archive(push.transfer);
  WriteName(archive, push.root);
  WriteName(archive, push.source_tag);
}

static void load(CompactInputArchive& archive, Push& push) {
  archive(push.transfer);
  push.root = ReadName(archive);
  push.source_tag = archive.ReadString(kMaxSourceTagBytes);
  if (!IsForwardableEtag(push.source_tag)) throw cereal::Exception("invalid ETag");
}

static void save(CompactOutputArchive& archive, const PushAck& ack) {
  WriteStream(archive, ack.stream);
  archive(ack.version);
}

static void load(CompactInputArchive& archive, PushAck& ack) {
  ack.stream = ReadStream(archive);
  archive(ack.version);
}

static void save(CompactOutputArchive& archive, const Pull& pull) {
  WriteStream(archive, pull.stream);
  archive(pull.have);
}

static void load(CompactInputArchive& archive, Pull& pull) {
  pull.stream = ReadStream(archive);
  archive(pull.have);
}

static void save(CompactOutputArchive& archive, const Busy& busy) {
  WriteStream(archive, busy.stream);
  archive(busy.retry_after_ms);
}

static void load(CompactInputArchive& archive, Busy& busy) {
  busy.stream = ReadStream(archive);
  archive(busy.retry_after_ms);
}

// SaveBody and LoadBody are not overloads of save and load because every alternative converts to
// MessageBody, which would make the calls ambiguous. A body is encoded as the index of its
// alternative in MessageBody, followed by its fields.
static void SaveBody(CompactOutputArchive& archive, const MessageBody& body) {
  archive.WriteByte(static_cast<std::uint8_t>(body.index()));
  std::visit([&](const auto& content) { archive(content); }, body);
}

template <std::size_t index>
static void LoadBody(CompactInputArchive& archive, std::size_t type, MessageBody& body) {
  if constexpr (index == std::variant_size_v<MessageBody>) {
    throw cereal::Exception("unknown message type");
  } else if (type == index) {
    archive(body.emplace<index>());
  } else {
    LoadBody<index + 1>(archive, type, body);
  }
}

static void save(CompactOutputArchive& archive, const Message& message) {
  archive(message.sender);
  SaveBody(archive, message.body);
}

static void load(CompactInputArchive& archive, Message& message) {
  archive(message.sender);
  LoadBody<0>(archive, archive.ReadByte(), message.body);
}

std::string EncodeMessage(const Message& message) {
  CompactOutputArchive archive;
  archive(message);
  return archive.TakeBytes();
}

Result<Message> DecodeMessage(std::string_view bytes) {
  try {
    CompactInputArchive archive(bytes);
    Message message;
    archive(message);
    if (archive.remaining() != 0) throw cereal::Exception("trailing bytes after the message");
    return message;
  } catch (const cereal::Exception& exception) {
    return Fail(ErrorKind::kBadFrame, "message", exception.what());
  }
}

}  // namespace copperlead
