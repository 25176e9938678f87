#include "snapshot/source_documents.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>

namespace copperlead {
namespace {

using ::testing::HasSubstr;
using ::testing::IsEmpty;
using ::testing::Not;
using ::testing::StartsWith;

const std::string kTable =
    "\"service,route,old_weight,new_weight,timeout_ms,requests_per_second,max_in_flight,"
    "max_retries,repeatable,secret\\npermit-desk,/permits,60,40,2000,0,0,1,no,permit-token\\n\"";
const std::string kServices =
    R"({"permit-desk": {"slots_per_instance": 6, "connections_per_instance": 130}})";
const std::string kSecrets = R"({"permit-token": "c2VjcmV0"})";

std::string Configuration(const std::string& revision = "7", const std::string& table = kTable,
                          const std::string& services = kServices,
                          const std::string& secrets = kSecrets) {
  return "{\"revision\": " + revision + ",\n \"table\": " + table +
         ",\n \"services\": " + services + ",\n \"secrets\": " + secrets + "}\n";
}

std::string Machines(const std::string& entries, const std::string& sequence = "31") {
  return "{\"sequence\": " + sequence + ", \"machines\": [\n" + entries + "]}";
}

const std::string kBackend =
    R"({"id": "permit-desk-1", "kind": "backend", "service": "permit-desk", "site": "new",
 "zone": "ank-a", "address": "127.0.0.1:9001", "state": "live"})";
const std::string kNode =
    R"({"id": "node-1", "kind": "node", "zone": "ank-a", "address": "[::1]:7001",
 "state": "leaving"})";

std::string Replace(std::string text, const std::string& part, const std::string& replacement) {
  return text.replace(text.find(part), part.size(), replacement);
}

TEST(ParseConfigurationTest, ParsesTheDocument) {
  const auto outcome = Resolve([] { return ParseConfiguration(Configuration()); });
  ASSERT_TRUE(outcome.ok()) << ToString(outcome.error());
  const Bundle& bundle = outcome.value().bundle;
  EXPECT_THAT(outcome.value().faults, IsEmpty());
  EXPECT_EQ(bundle.version.major, 7U);
  EXPECT_EQ(bundle.services.at("permit-desk"), (ServiceSettings{6, 130}));
  EXPECT_EQ(bundle.secrets.at("permit-token"), "secret");
  ASSERT_EQ(bundle.table.rows.size(), 1U);
  EXPECT_THAT(FindMissingResources(bundle), IsEmpty());
}

TEST(ParseConfigurationTest, ReportsTableFaultsSeparatelyFromInvalidBodies) {
  const std::string body = Configuration("7", Replace(kTable, "60,40", "60,50"), "{}");
  const auto outcome = Resolve([&] { return ParseConfiguration(body); });
  ASSERT_TRUE(outcome.ok()) << ToString(outcome.error());
  ASSERT_EQ(outcome.value().faults.size(), 1U);
  EXPECT_EQ(outcome.value().faults[0].kind, ErrorKind::kWeightsSum);
  EXPECT_EQ(outcome.value().faults[0].row, 2U);
}

struct BodyCase {
  std::string name;
  std::string body;
  ErrorKind kind;
  std::string place;  // Expected start of the error's place.
};

std::string NameOf(const ::testing::TestParamInfo<BodyCase>& info) { return info.param.name; }

void ExpectFault(const Error& error, const BodyCase& expected) {
  EXPECT_EQ(Name(error.kind), Name(expected.kind)) << ToString(error);
  EXPECT_THAT(error.place, StartsWith(expected.place)) << ToString(error);
}

class BadConfigurationTest : public ::testing::TestWithParam<BodyCase> {};

TEST_P(BadConfigurationTest, IsRejectedWithThePlace) {
  const auto outcome = Resolve([&] { return ParseConfiguration(GetParam().body); });
  ASSERT_FALSE(outcome.ok());
  ExpectFault(outcome.error(), GetParam());
}

INSTANTIATE_TEST_SUITE_P(
    Json, BadConfigurationTest,
    ::testing::Values(
        BodyCase{"Empty", "", ErrorKind::kMalformedJson, "line 1, byte 1"},
        BodyCase{"Truncated", "{\"revision\": 7,\n", ErrorKind::kMalformedJson, "line 2, byte 17"},
        BodyCase{"TrailingComma", "{\"a\":\n1,}", ErrorKind::kMalformedJson, "line 2, byte 9"},
        BodyCase{"SecondValue", "{}\n{}", ErrorKind::kMalformedJson, "line 2, byte 4"},
        BodyCase{"NotUtf8", "{\"a\": \"\xff\"}", ErrorKind::kMalformedJson, "line 1, byte 8"},
        BodyCase{"DuplicateKey", "{\"a\": 1,\n\"a\": 2}", ErrorKind::kMalformedJson,
                 "line 2, byte 12"},
        BodyCase{"DuplicateByEscape", R"({"a": 1, "\u0061": 2})", ErrorKind::kMalformedJson,
                 "line 1, byte 17"},
        BodyCase{"DuplicateDeep", R"({"a": [{"b": 1, "b": 1}]})", ErrorKind::kMalformedJson,
                 "line 1, byte 19"},
        BodyCase{"Deep", std::string(1'000'000, '['), ErrorKind::kMalformedJson, "line 1, byte 17"},
        BodyCase{"Oversized", std::string(kMaxSourceBodyBytes + 1, ' '), ErrorKind::kOversized,
                 "body"},
        BodyCase{"NotAnObject", "[]", ErrorKind::kMalformedJson, "line 1, byte 1"}),
    NameOf);

INSTANTIATE_TEST_SUITE_P(
    Values, BadConfigurationTest,
    ::testing::Values(
        BodyCase{"RevisionZero", Configuration("0"), ErrorKind::kBadValue,
                 "line 1, byte 11: \"/revision\""},
        BodyCase{"RevisionNegative", Configuration("-7"), ErrorKind::kBadValue, "line 1, byte 11"},
        BodyCase{"RevisionDecimal", Configuration("7.0"), ErrorKind::kBadValue, "line 1, byte 11"},
        BodyCase{"RevisionText", Configuration("\"7\""), ErrorKind::kBadValue, "line 1, byte 11"},
        BodyCase{"RevisionOver64Bits", Configuration("18446744073709551616"), ErrorKind::kBadValue,
                 "line 1, byte 11"},
        BodyCase{"RevisionMissing", Replace(Configuration(), "revision", "edition"),
                 ErrorKind::kMalformedJson, "line 1, byte 1: \"/revision\""},
        BodyCase{"TableNotText", Configuration("7", "[]"), ErrorKind::kMalformedJson, "line 2"},
        BodyCase{"ServicesNotObject", Configuration("7", kTable, "[]"), ErrorKind::kMalformedJson,
                 "line 3"},
        BodyCase{"ServiceWithoutSlots", Configuration("7", kTable, R"({"x": {}})"),
                 ErrorKind::kMalformedJson, "line 3"},
        BodyCase{"ZeroSlots", Configuration("7", kTable, Replace(kServices, ": 6", ": 0")),
                 ErrorKind::kBadValue, "line 3"},
        BodyCase{"EmptyServiceName",
                 Configuration("7", kTable, Replace(kServices, "permit-desk", "")),
                 ErrorKind::kBadValue, "line 3"},
        BodyCase{"SecretNotText", Configuration("7", kTable, kServices, R"({"x": 1})"),
                 ErrorKind::kMalformedJson, "line 4"},
        BodyCase{"SecretNotBase64", Configuration("7", kTable, kServices, R"({"x": "c2Vj*mV0"})"),
                 ErrorKind::kBadValue, "line 4"},
        BodyCase{"SecretWithoutPadding", Configuration("7", kTable, kServices, R"({"x": "YQ"})"),
                 ErrorKind::kBadValue, "line 4"},
        BodyCase{"SecretWithLineEnd", Configuration("7", kTable, kServices, R"({"x": "YQ0KYg=="})"),
                 ErrorKind::kBadValue, "line 4"}),
    NameOf);

TEST(ParseConfigurationTest, LimitsTheNumberOfValues) {
  std::string body = "[0";
  for (int value = 0; value < 2'000'000; ++value) body += ",0";
  const auto outcome = Resolve([&] { return ParseConfiguration(body + "]"); });
  ASSERT_FALSE(outcome.ok());
  EXPECT_EQ(outcome.error().cause, "more than 2000000 values");
}

TEST(ParseConfigurationTest, ErrorMessagesDoNotQuoteSecrets) {
  const std::string bodies[] = {
      Configuration("7", kTable, kServices, R"({"x": "c2VjcmV0c2VjcmV0!"})"),
      Configuration("7", kTable, kServices, R"({"x": "c2VjcmV0c2VjcmV0)"),
      Configuration("7", kTable, kServices, R"({"x": "c2VjcmV0c2VjcmV0" "y"})"),
      Configuration("7", kTable, kServices, "{\"x\": \"c2VjcmV0c2VjcmV0\x01\"}"),
      Configuration("7", kTable, kServices, R"({"x": "c2VjcmV0DQo="})"),
  };
  for (const auto& body : bodies) {
    const auto outcome = Resolve([&] { return ParseConfiguration(body); });
    ASSERT_FALSE(outcome.ok()) << body;
    EXPECT_THAT(ToString(outcome.error()), Not(HasSubstr("c2Vjc"))) << body;
    EXPECT_THAT(ToString(outcome.error()), Not(HasSubstr("secretsecret"))) << body;
  }
}

TEST(ParseMachinesTest, ParsesBothKindsAndSortsThemById) {
  const auto outcome = Resolve([] { return ParseMachines(Machines(kBackend + ",\n" + kNode)); });
  ASSERT_TRUE(outcome.ok()) << ToString(outcome.error());
  const MachineList& list = outcome.value();
  EXPECT_EQ(list.version.major, 31U);
  ASSERT_EQ(list.machines.size(), 2U);
  EXPECT_EQ(list.machines[0].id, "node-1");
  EXPECT_EQ(list.machines[0].kind, MachineKind::kNode);
  EXPECT_EQ(list.machines[0].state, MachineState::kLeaving);
  EXPECT_EQ(list.machines[0].address, (SocketAddress{"::1", 7001}));
  EXPECT_EQ(list.machines[1].service, "permit-desk");
  EXPECT_EQ(list.machines[1].site, Site::kNew);
}

class BadMachinesTest : public ::testing::TestWithParam<BodyCase> {};

TEST_P(BadMachinesTest, IsRejectedWithThePlaceOfTheEntry) {
  const auto outcome = Resolve([&] { return ParseMachines(GetParam().body); });
  ASSERT_FALSE(outcome.ok());
  ExpectFault(outcome.error(), GetParam());
}

INSTANTIATE_TEST_SUITE_P(
    Entries, BadMachinesTest,
    ::testing::Values(
        BodyCase{"BadSequence", Machines(kNode, "-1"), ErrorKind::kBadValue, "line 1, byte 11"},
        BodyCase{"NotAnEntry", Machines("7"), ErrorKind::kMalformedJson,
                 "line 2, byte 33: \"/machines/0\""},
        BodyCase{"UnknownKind", Machines(Replace(kNode, "\"node\"", "\"switch\"")),
                 ErrorKind::kBadValue, "line 2"},
        BodyCase{"UnknownSite", Machines(kNode + ",\n" + Replace(kBackend, "\"new\"", "\"far\"")),
                 ErrorKind::kBadValue, "line 4"},
        BodyCase{"UnknownState", Machines(Replace(kNode, "leaving", "gone")), ErrorKind::kBadValue,
                 "line 3"},
        BodyCase{"BackendWithoutService", Machines(Replace(kBackend, "\"service\"", "\"x\"")),
                 ErrorKind::kMalformedJson, "line 2"},
        BodyCase{"AddressIsNotNumeric", Machines(Replace(kNode, "[::1]:7001", "localhost:7001")),
                 ErrorKind::kBadValue, "line 2"},
        BodyCase{"EmptyId", Machines(Replace(kNode, "node-1", "")), ErrorKind::kBadValue, "line 2"},
        BodyCase{"DuplicateId", Machines(kNode + ",\n" + kNode), ErrorKind::kBadValue,
                 "line 4, byte"}),
    NameOf);

}  // namespace
}  // namespace copperlead
