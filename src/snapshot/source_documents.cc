#include "snapshot/source_documents.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "snapshot/base64.h"
#include "snapshot/json_document.h"
#include "table/cell.h"

namespace copperlead {
namespace {

constexpr std::uint64_t kMaxRevision = std::numeric_limits<std::uint64_t>::max();

boost::leaf::error_id TooMany(const JsonDocument& document, const JsonPointer& pointer) {
  return document.FailAt(ErrorKind::kOversized, pointer,
                         "at most " + std::to_string(kMaxDocumentItems) + " are allowed");
}

Result<ServiceSettings> ReadService(const JsonDocument& document, const JsonPointer& pointer) {
  const auto capacity = [&](const char* key) {
    return document.GetUint64(pointer / key, ErrorKind::kBadValue, 1, kMaxServiceCapacity);
  };
  ServiceSettings settings;
  BOOST_LEAF_AUTO(slots, capacity("slots_per_instance"));
  BOOST_LEAF_AUTO(connections, capacity("connections_per_instance"));
  settings.slots_per_instance = static_cast<std::uint32_t>(slots);
  settings.connections_per_instance = static_cast<std::uint32_t>(connections);
  return settings;
}

Result<std::map<std::string, ServiceSettings>> ReadServices(const JsonDocument& document) {
  const JsonPointer pointer("/services");
  BOOST_LEAF_AUTO(object, document.GetObject(pointer));
  if (object->size() > kMaxDocumentItems) return TooMany(document, pointer);
  std::map<std::string, ServiceSettings> services;
  for (const auto& entry : object->items()) {
    if (auto fault = CheckName("service", entry.key())) {
      return document.FailAt(fault->kind, pointer / entry.key(), fault->message);
    }
    BOOST_LEAF_AUTO(settings, ReadService(document, pointer / entry.key()));
    services.emplace(entry.key(), settings);
  }
  return services;
}

// Control characters are rejected because the value is sent in a header field, which they would
// end. Error messages never contain the value.
Result<std::string> ReadSecret(const JsonDocument& document, const JsonPointer& pointer) {
  BOOST_LEAF_AUTO(encoded, document.GetString(pointer));
  auto value = DecodeBase64(encoded);
  if (!value) {
    return document.FailAt(ErrorKind::kBadValue, pointer,
                           "is not base64 (RFC 4648 section 4, with padding)");
  }
  const bool has_control_character = std::ranges::any_of(*value, [](char character) {
    const auto byte = static_cast<unsigned char>(character);
    return byte < 0x20 || byte == 0x7f;
  });
  if (has_control_character) {
    return document.FailAt(ErrorKind::kBadValue, pointer,
                           "decodes to control characters, which no header can carry");
  }
  return std::move(*value);
}

Result<std::map<std::string, std::string>> ReadSecrets(const JsonDocument& document) {
  const JsonPointer pointer("/secrets");
  BOOST_LEAF_AUTO(object, document.GetObject(pointer));
  if (object->size() > kMaxDocumentItems) return TooMany(document, pointer);
  std::map<std::string, std::string> secrets;
  for (const auto& entry : object->items()) {
    if (auto fault = CheckName("secret", entry.key())) {
      return document.FailAt(fault->kind, pointer / entry.key(), fault->message);
    }
    BOOST_LEAF_AUTO(value, ReadSecret(document, pointer / entry.key()));
    secrets.emplace(entry.key(), std::move(value));
  }
  return secrets;
}

// The name of an enumeration value in the JSON documents.
template <class Enumeration>
struct EnumName {
  const char* text;
  Enumeration value;
};

constexpr EnumName<MachineKind> kKinds[] = {{"node", MachineKind::kNode},
                                            {"backend", MachineKind::kBackend}};
constexpr EnumName<Site> kSites[] = {{"old", Site::kOld}, {"new", Site::kNew}};
constexpr EnumName<MachineState> kStates[] = {{"live", MachineState::kLive},
                                              {"leaving", MachineState::kLeaving}};

template <class Enumeration, std::size_t kSize>
Result<Enumeration> ReadEnumName(const JsonDocument& document, const JsonPointer& pointer,
                                 const EnumName<Enumeration> (&names)[kSize]) {
  BOOST_LEAF_AUTO(text, document.GetString(pointer));
  std::string allowed;
  for (const auto& name : names) {
    if (text == name.text) return name.value;
    allowed += (allowed.empty() ? "" : " or ") + std::string(name.text);
  }
  return document.FailAt(ErrorKind::kBadValue, pointer, Quote(text) + " must be " + allowed);
}

Result<std::string> ReadName(const JsonDocument& document, const JsonPointer& pointer,
                             std::string_view what) {
  BOOST_LEAF_AUTO(text, document.GetString(pointer));
  if (auto fault = CheckName(what, text)) {
    return document.FailAt(fault->kind, pointer, fault->message);
  }
  return text;
}

Result<SocketAddress> ReadAddress(const JsonDocument& document, const JsonPointer& pointer) {
  BOOST_LEAF_AUTO(text, document.GetString(pointer));
  const auto address = Resolve([&] { return ParseSocketAddress(text); });
  if (!address.ok()) {
    return document.FailAt(ErrorKind::kBadValue, pointer,
                           Quote(text) + ": " + address.error().cause);
  }
  return address.value();
}

Result<Machine> ReadMachine(const JsonDocument& document, const JsonPointer& pointer) {
  Machine machine;
  BOOST_LEAF_CHECK(document.GetObject(pointer));
  BOOST_LEAF_ASSIGN(machine.id, ReadName(document, pointer / "id", "id"));
  BOOST_LEAF_ASSIGN(machine.kind, ReadEnumName(document, pointer / "kind", kKinds));
  if (machine.kind == MachineKind::kBackend) {
    BOOST_LEAF_ASSIGN(machine.service, ReadName(document, pointer / "service", "service"));
    BOOST_LEAF_ASSIGN(machine.site, ReadEnumName(document, pointer / "site", kSites));
  }
  BOOST_LEAF_ASSIGN(machine.zone, ReadName(document, pointer / "zone", "zone"));
  BOOST_LEAF_ASSIGN(machine.address, ReadAddress(document, pointer / "address"));
  BOOST_LEAF_ASSIGN(machine.state, ReadEnumName(document, pointer / "state", kStates));
  return machine;
}

}  // namespace

Result<ConfigurationDocument> ParseConfiguration(std::string_view body) {
  BOOST_LEAF_AUTO(document, JsonDocument::Parse(body, kMaxSourceBodyBytes));
  BOOST_LEAF_CHECK(document.GetObject(JsonPointer()));
  ConfigurationDocument result;
  Bundle& bundle = result.bundle;
  BOOST_LEAF_ASSIGN(bundle.revision, document.GetUint64(JsonPointer("/revision"),
                                                        ErrorKind::kBadValue, 1, kMaxRevision));
  BOOST_LEAF_AUTO(table, document.GetString(JsonPointer("/table")));
  BOOST_LEAF_ASSIGN(bundle.services, ReadServices(document));
  BOOST_LEAF_ASSIGN(bundle.secrets, ReadSecrets(document));
  result.csv = ParseCsv(table);
  result.faults = result.csv.faults;
  bundle.table = result.csv.table;
  Seal(bundle);
  return result;
}

Result<MachineList> ParseMachines(std::string_view body) {
  BOOST_LEAF_AUTO(document, JsonDocument::Parse(body, kMaxSourceBodyBytes));
  BOOST_LEAF_CHECK(document.GetObject(JsonPointer()));
  MachineList list;
  BOOST_LEAF_ASSIGN(list.sequence, document.GetUint64(JsonPointer("/sequence"),
                                                      ErrorKind::kBadValue, 0, kMaxRevision));
  const JsonPointer machines("/machines");
  BOOST_LEAF_AUTO(entries, document.GetArray(machines));
  if (entries->size() > kMaxDocumentItems) return TooMany(document, machines);
  std::set<std::string> ids;
  for (std::size_t index = 0; index < entries->size(); ++index) {
    BOOST_LEAF_AUTO(machine, ReadMachine(document, machines / index));
    if (!ids.insert(machine.id).second) {
      return document.FailAt(ErrorKind::kBadValue, machines / index / "id",
                             Quote(machine.id) + " stands twice");
    }
    list.machines.push_back(std::move(machine));
  }
  Seal(list);
  return list;
}

}  // namespace copperlead
