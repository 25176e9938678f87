// Creates messages of every type for the tests of frames and transports.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "transport/frame.h"

namespace copperlead {

inline MemberRecord MakeRecord(const std::string& id, std::uint16_t port) {
  MemberRecord record;
  record.id = id;
  record.zone = "ank-a";
  record.address = {"127.0.0.1", port};
  record.incarnation = 1'790'000'000;
  record.configuration = {41, 0, 0x0123456789abcdef};
  return record;
}

inline Message MakeMessage(MessageBody body) {
  Message message;
  message.sender.record = MakeRecord("node-17", 7017);
  message.sender.machines = {31, 0, 0xfedcba9876543210};
  message.sender.membership_hash = 0x1122334455667788;
  message.body = std::move(body);
  return message;
}

inline Push MakePush(std::size_t payload_bytes) {
  Push push;
  push.transfer.version = {42, 3, 7};
  push.transfer.base = {41, 0, 0x0123456789abcdef};
  push.transfer.payload = std::make_shared<const std::string>(payload_bytes, 'x');
  push.root = "node-1";
  push.source_tag = "\"7f3a\"";
  return push;
}

// Returns records that use every form of the fields that are encoded in more than one form.
inline std::vector<MemberRecord> MakeVariedRecords() {
  std::vector<MemberRecord> records(5, MakeRecord("node-2", 7002));
  records[1].zone = "a-zone-whose-name-is-longer-than-a-short-string";
  records[1].address.ip = "2001:db8::1";
  records[2].state = MemberState::kSuspect;
  records[2].address = {};
  records[3].state = MemberState::kLeaving;
  records[3].address.ip = "::ffff:10.0.0.1";
  records[3].configuration = {};
  records[4].state = MemberState::kDead;
  records[4].incarnation = 0xffffffff;
  records[4].configuration = {0xffffffffffffffff, 0xffffffff, 0xffffffffffffffff};
  return records;
}

// Returns one message for each alternative of MessageBody, in their order.
inline std::vector<Message> MakeAllMessages() {
  const DocumentVersion version{42, 1, 99};
  std::vector<Message> messages;
  messages.push_back(MakeMessage(Ping{1, {}}));
  messages.push_back(MakeMessage(PingAck{300, MakeVariedRecords()}));
  PingRequest request;
  request.number = 70'000;
  request.target_id = "node-9";
  request.target = {"::1", 9};
  request.updates = MakeVariedRecords();
  messages.push_back(MakeMessage(request));
  messages.push_back(MakeMessage(JoinRequest{}));
  messages.push_back(MakeMessage(JoinReply{version, MakeVariedRecords()}));
  messages.push_back(MakeMessage(MakePush(1000)));
  messages.push_back(MakeMessage(PushAck{StreamKind::kMachines, version}));
  messages.push_back(MakeMessage(Pull{StreamKind::kMachines, version}));
  messages.push_back(MakeMessage(Busy{StreamKind::kConfiguration, 1500}));
  messages.push_back(MakeMessage(StatusQuery{}));
  messages.push_back(MakeMessage(StatusReply{}));
  return messages;
}

inline FleetKeys MakeKeys(char fill) { return {{std::string(32, fill)}}; }

}  // namespace copperlead
