#include "simulation/documents.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "table/csv.h"

namespace copperlead::simulation {
namespace {

constexpr std::size_t kRoutesPerService = 10;
constexpr std::size_t kSecrets = 5;
constexpr std::size_t kMinBackends = 20;
constexpr std::size_t kMaxBackends = 1000;
constexpr std::size_t kMachineEntryBytes = 150;  // One entry of the JSON list, on average.
constexpr std::size_t kTagDigits = 16;
constexpr std::uint16_t kBackendPort = 9000;
constexpr std::string_view kMissingSecret = "late-secret";

// Base64 of "secret-value00" and one digit.
std::string SecretText(std::size_t number) {
  constexpr std::string_view kLastBytes = "wxyz012345";
  return std::string("c2VjcmV0LXZhbHVlMDA") + kLastBytes.at(number % kLastBytes.size());
}

std::string SecretName(std::size_t number) { return "secret-" + std::to_string(number); }

std::string ServiceName(std::size_t number) { return "service-" + std::to_string(number); }

RouteRow MakeRow(std::size_t service, std::size_t route) {
  RouteRow row;
  row.service = ServiceName(service);
  row.route = "/" + ServiceName(service) + "/resource-" + std::to_string(route);
  row.old_weight = 100;
  row.new_weight = 0;
  row.timeout_ms = 2000;
  row.requests_per_second = 500;
  row.max_in_flight = 200;
  row.max_retries = 2;
  if (route == 0) row.secret = SecretName(service % kSecrets);
  return row;
}

Machine MakeNode(const Topology& topology, NodeIndex node) {
  Machine machine;
  machine.id = topology.Id(node);
  machine.kind = MachineKind::kNode;
  machine.zone = topology.ZoneName(topology.ZoneOf(node));
  machine.address = topology.Address(node);
  return machine;
}

Machine MakeBackend(const Topology& topology, std::size_t number, std::size_t services) {
  Machine machine;
  machine.id = "backend-" + std::to_string(number);
  machine.service = ServiceName(number % services);
  machine.site = number % 2 == 0 ? Site::kOld : Site::kNew;
  machine.zone = topology.ZoneName(number % topology.zone_count());
  machine.address = {
      "10.200." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1),
      kBackendPort};
  return machine;
}

Machine& BackendIn(MachineList& list, std::size_t number) {
  const std::string id = "backend-" + std::to_string(number);
  return *std::find_if(list.machines.begin(), list.machines.end(),
                       [&](const Machine& machine) { return machine.id == id; });
}

}  // namespace

DocumentFactory::DocumentFactory(const Topology& topology, std::size_t services, std::uint64_t seed)
    : random_(DeriveSeed(seed, RandomStream::kDocuments)),
      backends_(std::clamp(topology.node_count(), kMinBackends, kMaxBackends)) {
  for (std::size_t service = 0; service < services; ++service) {
    services_[ServiceName(service)] = ServiceSettings{6, 130};
    for (std::size_t route = 0; route < kRoutesPerService; ++route) {
      table_.rows.push_back(MakeRow(service, route));
    }
  }
  Canonicalize(table_);
  for (std::size_t number = 0; number < kSecrets; ++number) {
    secrets_[SecretName(number)] = SecretText(number);
  }
  for (NodeIndex node = 0; node < topology.node_count(); ++node) {
    machines_.machines.push_back(MakeNode(topology, node));
  }
  for (std::size_t number = 0; number < backends_; ++number) {
    machines_.machines.push_back(MakeBackend(topology, number, services));
  }
}

PublishedConfiguration DocumentFactory::NextEdit() {
  ++revision_;
  if (revision_ > 1) EditOneCell(table_);
  return Publish(table_);
}

PublishedConfiguration DocumentFactory::NextBadTable() {
  ++revision_;
  Table bad = table_;
  bad.rows[random_.Below(bad.rows.size())].new_weight += 10;
  return Publish(bad);
}

PublishedConfiguration DocumentFactory::NextIncompleteTable() {
  ++revision_;
  EditOneCell(table_);
  table_.rows[random_.Below(table_.rows.size())].secret = kMissingSecret;
  return Publish(table_);
}

PublishedConfiguration DocumentFactory::CompleteLatest() {
  secrets_[std::string(kMissingSecret)] = SecretText(kSecrets);
  return Publish(table_);
}

PublishedConfiguration DocumentFactory::ConflictWithLatest() {
  Table other = table_;
  EditOneCell(other);
  return Publish(other);
}

PublishedMachines DocumentFactory::NextMachines() {
  ++machines_.sequence;
  MachineList list = machines_;
  Seal(list);
  PublishedMachines published;
  published.list = std::make_shared<const MachineList>(std::move(list));
  published.etag = "machines-" + std::to_string(machines_.sequence);
  published.body_bytes = machines_.machines.size() * kMachineEntryBytes;
  return published;
}

PublishedMachines DocumentFactory::NextMachinesLeaving(std::size_t backend) {
  BackendIn(machines_, backend).state = MachineState::kLeaving;
  return NextMachines();
}

PublishedMachines DocumentFactory::NextMachinesReturned(std::size_t backend) {
  Machine& machine = BackendIn(machines_, backend);
  machine.state = MachineState::kLive;
  ++machine.address.port;
  return NextMachines();
}

void DocumentFactory::EditOneCell(Table& table) {
  RouteRow& row = table.rows[random_.Below(table.rows.size())];
  // Never the weights that the row had: 1 to 99 steps further, modulo 101.
  row.new_weight = static_cast<std::uint32_t>((row.new_weight + 1 + random_.Below(99)) % 101);
  row.old_weight = 100 - row.new_weight;
}

PublishedConfiguration DocumentFactory::Publish(const Table& table) const {
  nlohmann::json body;
  body["revision"] = revision_;
  body["table"] = ToCsv(table);
  body["secrets"] = secrets_;
  for (const auto& [name, settings] : services_) {
    body["services"][name] = {{"slots_per_instance", settings.slots_per_instance},
                              {"connections_per_instance", settings.connections_per_instance}};
  }
  const std::string text = body.dump();
  auto parsed = Resolve([&] { return ParseConfiguration(text); });
  if (!parsed) throw std::logic_error("simulated document: " + ToString(parsed.error()));

  PublishedConfiguration published;
  published.acceptable =
      parsed.value().faults.empty() && FindMissingResources(parsed.value().bundle).empty();
  published.document = std::make_shared<const ConfigurationDocument>(std::move(parsed.value()));
  published.body_bytes = text.size();
  published.etag = "\"" + ToHex(DigestOf(text)).substr(0, kTagDigits) + "\"";
  return published;
}

}  // namespace copperlead::simulation
