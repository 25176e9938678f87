#include "snapshot/transfer.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <string>

#include "snapshot/compression.h"
#include "snapshot/document_reader.h"
#include "snapshot/document_writer.h"
#include "tests/snapshot/fixtures.h"

namespace copperlead {
namespace {

constexpr std::size_t kServices = 85;
constexpr std::size_t kRoutes = 10;

Transfer WithPayload(Transfer transfer, std::string payload) {
  transfer.payload = std::make_shared<const std::string>(std::move(payload));
  return transfer;
}

ErrorKind DecodeErrorKind(const Transfer& transfer, const Bundle* base) {
  const auto outcome = Resolve([&] { return DecodeBundle(transfer, base); });
  return outcome.ok() ? ErrorKind::kCount : outcome.error().kind;
}

void ExpectEqualBundles(const Bundle& actual, const Bundle& expected) {
  EXPECT_EQ(actual.version, expected.version);
  EXPECT_EQ(actual.table, expected.table);
  EXPECT_EQ(actual.services, expected.services);
  EXPECT_EQ(actual.secrets, expected.secrets);
  EXPECT_EQ(actual.table_digest, expected.table_digest);
  EXPECT_EQ(actual.revision, expected.revision);
  EXPECT_EQ(actual.resource_epoch, expected.resource_epoch);
}

// A base bundle and a target in which rows, services and secrets were added, changed and removed.
struct BaseAndTarget {
  Bundle base = MakeBundle(kServices, kRoutes);
  Bundle target = base;

  BaseAndTarget() {
    target.revision = 8;
    target.resource_epoch = 1;
    target.table.rows[0].old_weight = 50;
    target.table.rows[0].new_weight = 50;
    target.table.rows.erase(target.table.rows.begin() + 5, target.table.rows.begin() + 8);
    RouteRow added = target.table.rows[3];
    added.route = "/added";
    target.table.rows.push_back(added);
    target.services["service-1"].slots_per_instance = 9;
    target.services.erase("service-84");
    target.services["added"] = {1, 2};
    target.secrets["token-of-service-1"] = "rotated";
    target.secrets.erase("token-of-service-84");
    target.secrets["added"] = "";
    Seal(target);
  }
};

TEST(TransferTest, FullAndDeltaTransfersReconstructTheTarget) {
  const BaseAndTarget pair;
  const auto whole = Resolve([&] { return DecodeBundle(EncodeFull(pair.target), nullptr); });
  ASSERT_TRUE(whole.ok()) << ToString(whole.error());
  ExpectEqualBundles(*whole.value(), pair.target);
  const Transfer delta = EncodeDelta(pair.base, pair.target);
  EXPECT_FALSE(delta.is_full());
  const auto rebuilt = Resolve([&] { return DecodeBundle(delta, &pair.base); });
  ASSERT_TRUE(rebuilt.ok()) << ToString(rebuilt.error());
  ExpectEqualBundles(*rebuilt.value(), pair.target);
}

TEST(TransferTest, DeltaOfOneCellIsSmall) {
  const Bundle base = MakeBundle(kServices, kRoutes);
  Bundle target = base;
  target.revision = 8;
  target.table.rows[400].old_weight = 0;
  target.table.rows[400].new_weight = 100;
  Seal(target);
  const Transfer delta = EncodeDelta(base, target);
  RecordProperty("delta_bytes", static_cast<int>(delta.payload->size()));
  RecordProperty("whole_bytes", static_cast<int>(EncodeFull(target).payload->size()));
  EXPECT_LT(delta.payload->size(), 200U);
  ExpectEqualBundles(*Resolve([&] { return DecodeBundle(delta, &base); }).value(), target);
}

TEST(TransferTest, MachinesAreTransferredInFullAndAsDelta) {
  const MachineList base = MakeMachines(1000);
  MachineList target = base;
  target.sequence = 32;
  target.machines[7].state = MachineState::kLeaving;
  target.machines.erase(target.machines.begin() + 20);
  Machine node;
  node.id = "node-1";
  node.kind = MachineKind::kNode;
  node.address = {"::1", 7001};
  target.machines.push_back(node);
  Seal(target);
  const Transfer delta = EncodeDelta(base, target);
  EXPECT_LT(delta.payload->size(), 250U);
  for (const Transfer& transfer : {delta, EncodeFull(target)}) {
    const auto decoded = Resolve([&] { return DecodeMachines(transfer, &base); });
    ASSERT_TRUE(decoded.ok()) << ToString(decoded.error());
    EXPECT_EQ(decoded.value()->version, target.version);
    EXPECT_EQ(decoded.value()->machines, target.machines);
  }
}

TEST(TransferTest, RejectsAWrongOrMissingBase) {
  const BaseAndTarget pair;
  const Transfer delta = EncodeDelta(pair.base, pair.target);
  Bundle same_revision_other_content = pair.base;
  same_revision_other_content.secrets["token-of-service-0"] = "other";
  Seal(same_revision_other_content);
  EXPECT_EQ(DecodeErrorKind(delta, nullptr), ErrorKind::kUnknownBase);
  EXPECT_EQ(DecodeErrorKind(delta, &pair.target), ErrorKind::kUnknownBase);
  EXPECT_EQ(DecodeErrorKind(delta, &same_revision_other_content), ErrorKind::kUnknownBase);
}

TEST(TransferTest, RejectsContentThatDoesNotMatchTheVersion) {
  const BaseAndTarget pair;
  struct Case {
    const char* name;
    void (*change)(DocumentVersion&);
  };
  const Case cases[] = {
      {"content", [](DocumentVersion& version) { version.content_hash ^= 1; }},
      {"zero hash", [](DocumentVersion& version) { version.content_hash = 0; }},
  };
  for (const auto& test_case : cases) {
    for (Transfer transfer : {EncodeFull(pair.target), EncodeDelta(pair.base, pair.target)}) {
      test_case.change(transfer.version);
      EXPECT_EQ(DecodeErrorKind(transfer, &pair.base), ErrorKind::kDigestMismatch)
          << test_case.name;
    }
  }
  const Transfer other = WithPayload(EncodeFull(pair.target), *EncodeFull(pair.base).payload);
  EXPECT_EQ(DecodeErrorKind(other, nullptr), ErrorKind::kDigestMismatch);
}

TEST(TransferTest, RejectsInvalidPayloads) {
  const Bundle bundle = MakeBundle(2, 2);
  const Transfer whole = EncodeFull(bundle);
  const std::string plain =
      Resolve([&] { return Decompress(*whole.payload, kMaxDocumentBytes); }).value();
  // Overwrites the number at `offset`. The row count is at offset 1, after the byte order flag.
  const auto with_number = [&](std::size_t offset, std::uint32_t number) {
    std::string bytes = plain;
    for (std::size_t index = 0; index < sizeof(number); ++index) {
      bytes[offset + index] = static_cast<char>(number >> (8 * index));
    }
    return Compress(bytes);
  };
  struct Case {
    const char* name;
    std::string payload;
    ErrorKind kind;
  };
  const Case cases[] = {
      {"empty", "", ErrorKind::kBadFrame},
      {"no zstd", "not compressed at all", ErrorKind::kBadFrame},
      {"cut", whole.payload->substr(0, whole.payload->size() - 3), ErrorKind::kBadFrame},
      {"two frames", *whole.payload + *whole.payload, ErrorKind::kBadFrame},
      {"empty document", Compress(""), ErrorKind::kBadFrame},
      {"truncated document", Compress(plain.substr(0, plain.size() - 1)), ErrorKind::kBadFrame},
      {"trailing bytes", Compress(plain + "x"), ErrorKind::kBadFrame},
      {"largest row count", with_number(1, 0xffffffff), ErrorKind::kBadFrame},
      {"more rows than bytes", with_number(1, 90'000), ErrorKind::kBadFrame},
      {"largest string length", with_number(5, 0xffffffff), ErrorKind::kBadFrame},
      {"string past the end", with_number(5, static_cast<std::uint32_t>(plain.size())),
       ErrorKind::kBadFrame},
      {"too large", Compress(std::string(kMaxDocumentBytes + 1, '\0')), ErrorKind::kOversized},
  };
  for (const auto& test_case : cases) {
    EXPECT_EQ(DecodeErrorKind(WithPayload(whole, test_case.payload), nullptr), test_case.kind)
        << test_case.name;
  }
  Transfer none = whole;
  none.payload = nullptr;
  EXPECT_EQ(DecodeErrorKind(none, nullptr), ErrorKind::kBadFrame);
  Transfer machines = whole;
  machines.stream = StreamKind::kMachines;
  EXPECT_EQ(DecodeErrorKind(machines, nullptr), ErrorKind::kBadFrame);
}

TEST(DecompressTest, ChecksTheStatedSizeBeforeAllocating) {
  // The frame header has an 8-byte content size that states nearly 2^64 bytes. Allocating that many
  // bytes would throw.
  const std::string bomb = std::string("\x28\xb5\x2f\xfd\xe0", 5) + std::string(8, '\xf0');
  const auto outcome = Resolve([&] { return Decompress(bomb, kMaxDocumentBytes); });
  ASSERT_FALSE(outcome.ok());
  EXPECT_EQ(outcome.error().kind, ErrorKind::kOversized);
}

TEST(DocumentReaderTest, RejectsCountsThatExceedTheRemainingBytes) {
  DocumentWriter writer;
  writer.WriteUint32(90'000);
  const std::string bytes = writer.Take();
  using Read = void (*)(DocumentReader&);
  const Read reads[] = {
      [](DocumentReader& reader) { ReadRows(reader); },
      [](DocumentReader& reader) { ReadServices(reader); },
      [](DocumentReader& reader) { ReadSecrets(reader); },
      [](DocumentReader& reader) { ReadMachines(reader); },
      [](DocumentReader& reader) { ReadNames(reader); },
      [](DocumentReader& reader) { reader.ReadString(); },
  };
  for (const Read read : reads) {
    DocumentReader reader(bytes);
    EXPECT_THROW(read(reader), BadDocument);
  }
  // The count itself is rejected, before an item is allocated or read.
  DocumentReader reader(bytes);
  EXPECT_THROW(reader.ReadCount(1), BadDocument);
}

// A damaged payload must not decode to a document other than the one that its version states, and
// must not crash the decoder.
TEST(TransferTest, DamagedPayloadsNeverDecodeToAnotherDocument) {
  constexpr int kRounds = 3000;
  const BaseAndTarget pair;
  const Transfer delta = EncodeDelta(pair.base, pair.target);
  const std::string plain =
      Resolve([&] { return Decompress(*delta.payload, kMaxDocumentBytes); }).value();
  std::mt19937 random(20261202);
  for (int round = 0; round < kRounds; ++round) {
    const bool inside = round % 2 == 0;
    std::string bytes = inside ? plain : *delta.payload;
    const std::size_t flips = 1 + random() % 3;
    for (std::size_t flip = 0; flip < flips; ++flip) {
      bytes[random() % bytes.size()] ^= static_cast<char>(1 + random() % 255);
    }
    const Transfer damaged = WithPayload(delta, inside ? Compress(bytes) : bytes);
    const auto outcome = Resolve([&] { return DecodeBundle(damaged, &pair.base); });
    if (outcome.ok()) ExpectEqualBundles(*outcome.value(), pair.target);
  }
}

}  // namespace
}  // namespace copperlead
