#include "toolbox/plan_inputs.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "snapshot/json_document.h"
#include "snapshot/source_documents.h"
#include "table/cell.h"
#include "toolbox/table_file.h"

namespace copperlead {
namespace {

using Services = std::map<std::string, ServiceSettings>;

constexpr std::uint32_t kMaxStep = 100;
constexpr std::size_t kMaxLoadBytes = std::size_t{1024} * 1024;
constexpr std::uint64_t kMaxLoad = 1'000'000'000;

// What is wrong inside a file is bad input, named with the file.
template <class Value>
Result<Done> CheckParsed(const std::string& path, const Outcome<Value>& outcome) {
  if (!outcome) return Fail(ErrorKind::kUsage, path, ToString(outcome.error()));
  return Done{};
}

Result<std::uint32_t> ReadMaxStep(const std::string& text) {
  std::uint32_t max_step = 0;
  if (text.empty()) {
    return Fail(ErrorKind::kUsage, "--max-step", "required: percentage points per step, 1 to 100");
  }
  if (const auto fault = ReadNumber(text, 1, kMaxStep, max_step)) {
    return Fail(ErrorKind::kUsage, "--max-step", fault->message);
  }
  return max_step;
}

// Settings of services: of --configuration, or of both tables' own documents (the later wins).
Result<Services> FindServices(const PlanOptions& options, const TableFile& from,
                              const TableFile& to) {
  if (!options.configuration.empty()) {
    BOOST_LEAF_AUTO(content, ReadInputFile(options.configuration, kMaxSourceBodyBytes));
    const auto document = Resolve([&] { return ParseConfiguration(content); });
    BOOST_LEAF_CHECK(CheckParsed(options.configuration, document));
    return document.value().bundle.services;
  }
  if (from.configuration && to.configuration) {
    Services services = to.configuration->services;
    services.insert(from.configuration->services.begin(), from.configuration->services.end());
    return services;
  }
  return Fail(ErrorKind::kUsage, "--machines",
              "the slots of an instance are not known; add --configuration FILE, or give both "
              "tables as configuration JSON");
}

std::map<std::string, SiteSlots> CountSlots(const MachineList& list, const Services& services) {
  std::map<std::string, SiteSlots> slots;
  for (const auto& machine : list.machines) {
    const bool takes_work =
        machine.kind == MachineKind::kBackend && machine.state == MachineState::kLive;
    const auto service = services.find(machine.service);
    if (!takes_work || service == services.end()) continue;
    SiteSlots& entry = slots[machine.service];
    std::uint64_t& site = machine.site == Site::kOld ? entry.old_site : entry.new_site;
    site += service->second.slots_per_instance;
  }
  return slots;
}

Result<std::map<std::string, SiteSlots>> ReadSlots(const std::string& path,
                                                   const Services& services) {
  BOOST_LEAF_AUTO(content, ReadInputFile(path, kMaxSourceBodyBytes));
  const auto machines = Resolve([&] { return ParseMachines(content); });
  BOOST_LEAF_CHECK(CheckParsed(path, machines));
  return CountSlots(machines.value(), services);
}

Result<std::map<std::string, std::uint64_t>> ReadLoad(const std::string& path) {
  BOOST_LEAF_AUTO(content, ReadInputFile(path, kMaxLoadBytes));
  const auto load = Resolve([&] { return ParseLoad(content); });
  BOOST_LEAF_CHECK(CheckParsed(path, load));
  return load.value();
}

Result<Done> CheckServicesKnown(const Table& table, const Services& services) {
  for (const auto& row : table.rows) {
    if (services.contains(row.service)) continue;
    return Fail(ErrorKind::kUsage, "service " + row.service,
                "it is not in the configuration's services; add it there");
  }
  return Done{};
}

}  // namespace

Result<std::map<std::string, std::uint64_t>> ParseLoad(std::string_view body) {
  BOOST_LEAF_AUTO(document, JsonDocument::Parse(body, kMaxLoadBytes));
  BOOST_LEAF_AUTO(object, document.GetObject(JsonPointer()));
  std::map<std::string, std::uint64_t> load;
  for (const auto& entry : object->items()) {
    const JsonPointer pointer = JsonPointer() / entry.key();
    BOOST_LEAF_AUTO(in_flight, document.GetUint64(pointer, ErrorKind::kBadValue, 0, kMaxLoad));
    load.emplace(entry.key(), in_flight);
  }
  return load;
}

Result<WeightPlanRequest> ReadPlanInputs(const PlanOptions& options) {
  if (options.from.empty() || options.to.empty()) {
    return Fail(ErrorKind::kUsage, options.from.empty() ? "--from" : "--to",
                "required: a table as CSV or a configuration as JSON; --help shows an example");
  }
  WeightPlanRequest request;
  BOOST_LEAF_ASSIGN(request.max_step, ReadMaxStep(options.max_step));
  BOOST_LEAF_AUTO(from, ReadSoundTableFile(options.from));
  BOOST_LEAF_AUTO(to, ReadSoundTableFile(options.to));
  request.from = from.csv.table;
  request.to = to.csv.table;
  if (options.machines.empty()) {
    if (options.load.empty()) return request;
    return Fail(ErrorKind::kUsage, "--load", "it is compared with slots; add --machines FILE");
  }
  BOOST_LEAF_AUTO(services, FindServices(options, from, to));
  BOOST_LEAF_CHECK(CheckServicesKnown(request.to, services));
  BOOST_LEAF_ASSIGN(request.slots, ReadSlots(options.machines, services));
  if (!options.load.empty()) {
    BOOST_LEAF_ASSIGN(request.load, ReadLoad(options.load));
  }
  return request;
}

}  // namespace copperlead
