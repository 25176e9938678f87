#include "transport/frame.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <functional>
#include <random>

#include "tests/transport/allocation_counter.h"
#include "tests/transport/test_messages.h"
#include "transport/seal.h"

namespace copperlead {
namespace {

std::string Seal(const FleetKeys& keys) {
  return SealFrame(keys, EncodeMessage(MakeMessage(Ping{5, {}})));
}

ErrorKind OpenError(const FleetKeys& keys, std::string_view frame) {
  const auto outcome = Resolve([&] { return OpenFrame(keys, frame); });
  return outcome ? ErrorKind::kCount : outcome.error().kind;
}

void ExpectSame(const Transfer& left, const Transfer& right) {
  EXPECT_EQ(left.stream, right.stream);
  EXPECT_EQ(left.version, right.version);
  EXPECT_EQ(left.base, right.base);
  EXPECT_EQ(*left.payload, *right.payload);
}

void ExpectSame(const MessageBody& left, const MessageBody& right) {
  ASSERT_EQ(left.index(), right.index());
  if (const auto* ping = std::get_if<Ping>(&left)) {
    EXPECT_EQ(ping->number, std::get<Ping>(right).number);
    EXPECT_EQ(ping->updates, std::get<Ping>(right).updates);
  } else if (const auto* ack = std::get_if<PingAck>(&left)) {
    EXPECT_EQ(ack->number, std::get<PingAck>(right).number);
    EXPECT_EQ(ack->updates, std::get<PingAck>(right).updates);
  } else if (const auto* request = std::get_if<PingRequest>(&left)) {
    EXPECT_EQ(request->number, std::get<PingRequest>(right).number);
    EXPECT_EQ(request->target_id, std::get<PingRequest>(right).target_id);
    EXPECT_EQ(request->target, std::get<PingRequest>(right).target);
    EXPECT_EQ(request->updates, std::get<PingRequest>(right).updates);
  } else if (const auto* reply = std::get_if<JoinReply>(&left)) {
    EXPECT_EQ(reply->remembered, std::get<JoinReply>(right).remembered);
    EXPECT_EQ(reply->members, std::get<JoinReply>(right).members);
  } else if (const auto* push = std::get_if<Push>(&left)) {
    ExpectSame(push->transfer, std::get<Push>(right).transfer);
    EXPECT_EQ(push->root, std::get<Push>(right).root);
    EXPECT_EQ(push->source_tag, std::get<Push>(right).source_tag);
  } else if (const auto* push_ack = std::get_if<PushAck>(&left)) {
    EXPECT_EQ(push_ack->stream, std::get<PushAck>(right).stream);
    EXPECT_EQ(push_ack->version, std::get<PushAck>(right).version);
  } else if (const auto* pull = std::get_if<Pull>(&left)) {
    EXPECT_EQ(pull->stream, std::get<Pull>(right).stream);
    EXPECT_EQ(pull->have, std::get<Pull>(right).have);
  } else if (const auto* busy = std::get_if<Busy>(&left)) {
    EXPECT_EQ(busy->stream, std::get<Busy>(right).stream);
    EXPECT_EQ(busy->retry_after_ms, std::get<Busy>(right).retry_after_ms);
  }
}

TEST(FrameTest, EveryMessageSurvivesEncodingAndDecoding) {
  const FleetKeys keys = MakeKeys('k');
  const std::vector<Message> messages = MakeAllMessages();
  ASSERT_EQ(messages.size(), std::variant_size_v<MessageBody>);
  for (std::size_t index = 0; index < messages.size(); ++index) {
    ASSERT_EQ(messages[index].body.index(), index);
    const std::string frame = SealFrame(keys, EncodeMessage(messages[index]));
    const auto outcome = Resolve([&]() -> Result<Message> {
      BOOST_LEAF_AUTO(encoded, OpenFrame(keys, frame));
      return DecodeMessage(encoded);
    });
    ASSERT_TRUE(outcome.ok()) << ToString(outcome.error());
    EXPECT_EQ(outcome.value().sender, messages[index].sender);
    ExpectSame(outcome.value().body, messages[index].body);
  }
}

TEST(FrameTest, RefusedVersionIsDecodedWithTruncatedExplanation) {
  Message message = MakeMessage(Ping{123'456, {}});
  message.sender.refused =
      RefusedVersion{{43, 0, 9}, "node-3", std::string(kMaxExplanationBytes + 50, 'e')};
  const auto outcome = Resolve([&] { return DecodeMessage(EncodeMessage(message)); });
  ASSERT_TRUE(outcome.ok()) << ToString(outcome.error());
  RefusedVersion expected = *message.sender.refused;
  expected.explanation.resize(kMaxExplanationBytes);
  EXPECT_EQ(outcome.value().sender.refused, expected);
}

TEST(FrameTest, FramesStayWithinSizeBudget) {
  const std::string ping = EncodeMessage(MakeMessage(Ping{123'456, {}}));
  const std::string frame = SealFrame(MakeKeys('k'), ping);
  EXPECT_EQ(frame.size(), ping.size() + SealOverhead());
  EXPECT_LE(frame.size(), 110U);
  const std::vector<MemberRecord> updates(8, MakeRecord("node-123", 7123));
  EXPECT_LE(EncodeMessage(MakeMessage(Ping{123'456, updates})).size() - ping.size(), 8 * 24U);
  RecordProperty("ping_bytes", static_cast<int>(frame.size()));
}

TEST(FrameTest, RejectsMalformedFrames) {
  struct Case {
    const char* name;
    std::function<void(std::string&)> damage;
    ErrorKind expected;
  };
  const std::vector<Case> cases = {
      {"empty", [](auto& frame) { frame.clear(); }, ErrorKind::kBadFrame},
      {"header cut", [](auto& frame) { frame.resize(FrameHeaderBytes() - 1); },
       ErrorKind::kBadFrame},
      {"header only", [](auto& frame) { frame.resize(FrameHeaderBytes()); }, ErrorKind::kBadFrame},
      {"last byte cut", [](auto& frame) { frame.pop_back(); }, ErrorKind::kBadFrame},
      {"byte added", [](auto& frame) { frame.push_back('x'); }, ErrorKind::kBadFrame},
      {"wrong magic", [](auto& frame) { frame[0] = 'X'; }, ErrorKind::kBadFrame},
      {"wrong version", [](auto& frame) { frame[2] = 9; }, ErrorKind::kBadFrame},
      {"length below the least", [](auto& frame) { frame[4] = 3; }, ErrorKind::kBadFrame},
      {"length over the limit", [](auto& frame) { frame[7] = 1; }, ErrorKind::kFrameTooLarge},
      {"largest length", [](auto& frame) { frame.replace(4, 4, "\xff\xff\xff\xff"); },
       ErrorKind::kFrameTooLarge},
      {"unknown key id", [](auto& frame) { frame[3] ^= 1; }, ErrorKind::kUnsealFailed},
      {"nonce altered", [](auto& frame) { frame[8] ^= 1; }, ErrorKind::kUnsealFailed},
      {"content altered", [](auto& frame) { frame[25] ^= 1; }, ErrorKind::kUnsealFailed},
      {"tag altered", [](auto& frame) { frame.back() ^= 1; }, ErrorKind::kUnsealFailed},
  };
  const FleetKeys keys = MakeKeys('k');
  for (const Case& entry : cases) {
    std::string frame = Seal(keys);
    entry.damage(frame);
    EXPECT_EQ(OpenError(keys, frame), entry.expected) << entry.name;
  }
}

TEST(FrameTest, NoAlteredByteIsAccepted) {
  const FleetKeys keys = MakeKeys('k');
  std::string frame = Seal(keys);
  for (std::size_t index = 0; index < frame.size(); ++index) {
    frame[index] ^= 0x40;
    EXPECT_NE(OpenError(keys, frame), ErrorKind::kCount) << "byte " << index;
    frame[index] ^= 0x40;
  }
  EXPECT_EQ(OpenError(keys, frame), ErrorKind::kCount);
}

TEST(SealTest, AuthenticatesTheHeader) {
  const std::string key(kKeyBytes, 'k');
  std::string frame = "header";
  ASSERT_TRUE(AppendSealed(key, "content", frame));
  const std::string_view sealed = std::string_view(frame).substr(6);
  EXPECT_EQ(Unseal(key, "header", sealed), "content");
  EXPECT_EQ(Unseal(key, "Header", sealed), std::nullopt);
}

TEST(FrameTest, KeysRotate) {
  const std::string before(32, 'a');
  const std::string after(32, 'b');
  struct Case {
    const char* name;
    FleetKeys sender;
    FleetKeys receiver;
    ErrorKind expected;
  };
  const std::vector<Case> cases = {
      {"old to old", {{before}}, {{before}}, ErrorKind::kCount},
      {"old to both", {{before}}, {{after, before}}, ErrorKind::kCount},
      {"both, old first, to old", {{before, after}}, {{before}}, ErrorKind::kCount},
      {"both, new first, to both", {{after, before}}, {{before, after}}, ErrorKind::kCount},
      {"new to both", {{after}}, {{before, after}}, ErrorKind::kCount},
      {"new to old", {{after}}, {{before}}, ErrorKind::kUnsealFailed},
      {"old to new", {{before}}, {{after}}, ErrorKind::kUnsealFailed},
      {"to none", {{before}}, {}, ErrorKind::kUnsealFailed},
  };
  for (const Case& entry : cases) {
    EXPECT_EQ(OpenError(entry.receiver, Seal(entry.sender)), entry.expected) << entry.name;
  }
  EXPECT_EQ(SealFrame({}, "x"), "") << "a frame must not be made without a key";
}

TEST(FrameTest, DecoderRejectsDamagedMessages) {
  struct Case {
    const char* name;
    std::function<void(std::string&)> damage;
  };
  const std::string ping = EncodeMessage(MakeMessage(Ping{0, {}}));
  // The encoding ends with the message type, the number and the count of updates, one byte each.
  const std::size_t type_offset = ping.size() - 3;
  const std::vector<Case> cases = {
      {"unknown type", [&](auto& bytes) { bytes[type_offset] = 11; }},
      {"largest type", [&](auto& bytes) { bytes[type_offset] = '\xff'; }},
      {"count beyond the bytes", [](auto& bytes) { bytes.back() = 100; }},
      {"count of 2^63",
       [](auto& bytes) {
         bytes.replace(bytes.size() - 1, 1,
                       "\x80\x80\x80\x80"
                       "\x80\x80\x80\x80\x80\x01");
       }},
      {"number over 32 bits",
       [&](auto& bytes) { bytes.replace(type_offset + 1, 1, "\xff\xff\xff\xff\x7f"); }},
      {"number without end", [&](auto& bytes) { bytes.append(20, '\xff'); }},
      {"bytes after the end", [](auto& bytes) { bytes.push_back('\0'); }},
      {"id longer than the bytes", [](auto& bytes) { bytes[1] = '\x7f'; }},
      {"unknown record flags", [](auto& bytes) { bytes[0] = '\xff'; }},
      {"unknown address form", [](auto& bytes) { bytes[0] = '\x30'; }},
  };
  for (const Case& entry : cases) {
    std::string bytes = ping;
    entry.damage(bytes);
    const auto outcome = Resolve([&] { return DecodeMessage(bytes); });
    ASSERT_FALSE(outcome.ok()) << entry.name;
    EXPECT_EQ(outcome.error().kind, ErrorKind::kBadFrame) << entry.name;
  }
  for (const Message& message : MakeAllMessages()) {
    const std::string bytes = EncodeMessage(message);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      EXPECT_FALSE(Resolve([&] { return DecodeMessage(bytes.substr(0, size)); }).ok());
    }
  }
}

TEST(FrameTest, DecoderLimitsAndChecksTheEtagOfAPush) {
  struct Case {
    const char* name;
    std::size_t size;  // Size of the encoded ETag.
    std::function<void(std::string&)> damage;
    bool accepted;
  };
  const auto none = [](std::string&) {};
  const std::vector<Case> cases = {
      {"empty", 0, none, true},
      {"longest", kMaxSourceTagBytes, none, true},
      {"too long by one", kMaxSourceTagBytes + 1, none, false},
      {"too long by far", 100'000, none, false},
      {"length beyond the bytes", 0, [](auto& bytes) { bytes.back() = 1; }, false},
      {"length of 2^63", 0,
       [](auto& bytes) {
         bytes.pop_back();
         bytes += "\x80\x80\x80\x80\x80\x80\x80\x80\x80\x01";
       },
       false},
      {"length cut", 0, [](auto& bytes) { bytes.pop_back(); }, false},
      {"line end in it", 3, [](auto& bytes) { bytes.back() = '\n'; }, false},
      {"space in it", 3, [](auto& bytes) { bytes.back() = ' '; }, false},
      {"byte above ASCII", 3, [](auto& bytes) { bytes.back() = '\xff'; }, true},
      {"byte after it", 3, [](auto& bytes) { bytes.push_back('x'); }, false},
  };
  for (const Case& entry : cases) {
    Push push = MakePush(10);
    push.source_tag = std::string(entry.size, 'e');
    std::string bytes = EncodeMessage(MakeMessage(push));
    entry.damage(bytes);
    const auto outcome = Resolve([&] { return DecodeMessage(bytes); });
    ASSERT_EQ(outcome.ok(), entry.accepted) << entry.name;
    if (!entry.accepted) continue;
    const auto& decoded = std::get<Push>(outcome.value().body);
    EXPECT_EQ(decoded.source_tag.size(), entry.size) << entry.name;
    EXPECT_EQ(EncodeMessage(MakeMessage(decoded)), bytes) << entry.name;
  }
}

// Applies one to four random edits, each of which sets a byte, flips a bit, or removes, repeats or
// inserts bytes.
void Mutate(std::mt19937& random, std::string& bytes) {
  const auto pick = [&](std::size_t limit) { return limit == 0 ? 0 : random() % limit; };
  for (std::size_t edits = 1 + pick(4); edits > 0 && !bytes.empty(); --edits) {
    const std::size_t at = pick(bytes.size());
    switch (pick(5)) {
      case 0:
        bytes[at] = static_cast<char>(random());
        break;
      case 1:
        bytes[at] ^= static_cast<char>(1 << pick(8));
        break;
      case 2:
        bytes.erase(at, 1 + pick(8));
        break;
      case 3:
        bytes.insert(at, bytes.substr(at, 1 + pick(32)));
        break;
      default:
        bytes.insert(at, 1 + pick(10), '\xff');
        break;
    }
  }
}

TEST(FrameFuzzTest, DecodingMutatedMessagesAllocatesBoundedMemory) {
  constexpr int kMutations = 300'000;
  // An encoded record takes at least 6 bytes, a decoded one sizeof(MemberRecord) plus the heap
  // memory of its longer names.
  constexpr std::size_t kMaxBytesPerInputByte = 64;
  // Covers error texts and the growth of short strings.
  constexpr std::size_t kFixedAllowanceBytes = 4096;
  std::vector<std::string> corpus;
  for (const Message& message : MakeAllMessages()) corpus.push_back(EncodeMessage(message));
  std::mt19937 random(20'260'701);
  int accepted = 0;
  for (int count = 0; count < kMutations; ++count) {
    std::string bytes = corpus[random() % corpus.size()];
    Mutate(random, bytes);
    AllocatedBytes() = 0;
    const auto outcome = Resolve([&] { return DecodeMessage(bytes); });
    ASSERT_LE(AllocatedBytes(), kMaxBytesPerInputByte * bytes.size() + kFixedAllowanceBytes);
    if (!outcome) continue;
    ++accepted;
    const std::string again = EncodeMessage(outcome.value());
    ASSERT_EQ(again, EncodeMessage(Resolve([&] { return DecodeMessage(again); }).value()));
  }
  EXPECT_GT(accepted, 0);
  EXPECT_LT(accepted, kMutations);
}

TEST(FrameFuzzTest, MutatedFramesAreNeverOpened) {
  const FleetKeys keys = MakeKeys('k');
  const std::string frame = Seal(keys);
  std::mt19937 random(7);
  for (int count = 0; count < 100'000; ++count) {
    std::string bytes = frame;
    Mutate(random, bytes);
    if (bytes == frame) continue;
    AllocatedBytes() = 0;
    ASSERT_NE(OpenError(keys, bytes), ErrorKind::kCount);
    ASSERT_LE(AllocatedBytes(), 4 * bytes.size() + 4096);
  }
}

TEST(FleetKeysTest, ReadsOneOrTwoKeysAndReportsTheFaultyLine) {
  const std::string key = "MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE=";
  struct Case {
    const char* name;
    std::string content;
    std::size_t keys;            // Number of keys; 0 if the file is rejected.
    std::string expected_place;  // Suffix after the path.
  };
  const std::vector<Case> cases = {
      {"one", key + "\n", 1, ""},
      {"two, no line end", key + "\r\n\n" + key, 2, ""},
      {"three", key + "\n" + key + "\n" + key + "\n", 0, ":3"},
      {"none", "\n", 0, ""},
      {"not base64", "!" + key.substr(1) + "\n", 0, ":1"},
      {"31 bytes", key.substr(0, 42) + "==\n", 0, ":1"},
      {"too short", key + "\nMDEy\n", 0, ":2"},
  };
  const std::string path = testing::TempDir() + "fleet_keys_test." + std::to_string(getpid());
  for (const Case& entry : cases) {
    std::ofstream(path) << entry.content;
    const auto outcome = Resolve([&] { return LoadFleetKeys(path); });
    if (entry.keys > 0) {
      ASSERT_TRUE(outcome.ok()) << entry.name;
      EXPECT_EQ(outcome.value().keys,
                std::vector<std::string>(entry.keys, "01234567890123456789012345678901"));
      continue;
    }
    ASSERT_FALSE(outcome.ok()) << entry.name;
    EXPECT_EQ(outcome.error().kind, ErrorKind::kBadSetting) << entry.name;
    EXPECT_EQ(outcome.error().place, path + entry.expected_place) << entry.name;
    EXPECT_EQ(outcome.error().cause.find(key.substr(0, 8)), std::string::npos) << entry.name;
  }
  std::remove(path.c_str());
  const auto missing = Resolve([&] { return LoadFleetKeys(path); });
  ASSERT_FALSE(missing.ok());
  EXPECT_EQ(missing.error().kind, ErrorKind::kUnreadableFile);
}

}  // namespace
}  // namespace copperlead
