// `copperlead check`: every fault of a table or a configuration, before it is published.

#include <iostream>
#include <nlohmann/json.hpp>

#include "snapshot/source_documents.h"
#include "toolbox/command.h"
#include "toolbox/command_options.h"
#include "toolbox/table_file.h"

namespace copperlead {
namespace {

namespace options = boost::program_options;
using Json = nlohmann::ordered_json;

CommandDescription Describe() {
  CommandDescription description;
  description.usage = "copperlead check (--configuration FILE | --table FILE) [--json]";
  description.purpose =
      "Prints every fault as FILE:row:column: kind: message. Rows and columns are the table's and\n"
      "count from 1; column 0 is the whole row, 0:0 the whole file. With --configuration, "
      "services\n"
      "and secrets that the table names and the document lacks are faults too.\n"
      "Exit 0: no fault; 1: faults; 2: the file cannot be read.";
  description.example = "copperlead check --configuration configuration.json";
  description.options.add_options()("configuration", options::value<std::string>(),
                                    "the source's JSON document")(
      "table", options::value<std::string>(), "a table as CSV")("json", "print one JSON object");
  return description;
}

// A document that cannot be read at all has one fault, of the whole file.
TableFault ToFault(const Error& error) {
  const std::string place = error.place.empty() ? "" : error.place + ": ";
  return {error.kind, 0, 0, place + error.cause};
}

std::string ToText(const std::string& path, const TableFault& fault) {
  return path + ":" + std::to_string(fault.row) + ":" + std::to_string(fault.column) + ": " +
         std::string(Name(fault.kind)) + ": " + fault.message;
}

void PrintJson(const std::string& path, const std::vector<TableFault>& faults) {
  Json entries = Json::array();
  for (const auto& fault : faults) {
    entries.push_back({{"row", fault.row},
                       {"column", fault.column},
                       {"kind", Name(fault.kind)},
                       {"message", fault.message}});
  }
  std::cout << Json{{"file", path}, {"good", faults.empty()}, {"faults", entries}}.dump() << "\n";
}

void PrintText(const std::string& path, const std::vector<TableFault>& faults) {
  for (const auto& fault : faults) std::cout << ToText(path, fault) << "\n";
  if (faults.empty()) std::cout << path << ": good\n";
}

Result<std::vector<TableFault>> FindFaults(const std::string& path, TableFileKind kind) {
  auto outcome = Resolve([&] { return ReadTableFile(path, kind); });
  if (outcome) return std::move(outcome.value().faults);
  if (outcome.error().kind == ErrorKind::kUnreadableFile) {
    return boost::leaf::new_error(outcome.error());
  }
  return std::vector<TableFault>{ToFault(outcome.error())};
}

Result<int> Run(const CommandOptions& options) {
  const bool is_configuration = options.Has("configuration");
  if (is_configuration == options.Has("table")) {
    return Fail(ErrorKind::kUsage, "command line",
                "give either --configuration FILE or --table FILE; --help shows an example");
  }
  const std::string path = options.Text(is_configuration ? "configuration" : "table");
  const auto kind = is_configuration ? TableFileKind::kConfiguration : TableFileKind::kTable;
  BOOST_LEAF_AUTO(faults, FindFaults(path, kind));
  if (options.Has("json")) {
    PrintJson(path, faults);
  } else {
    PrintText(path, faults);
  }
  return faults.empty() ? kExitGood : kExitNotSo;
}

}  // namespace

int RunCheck(const std::vector<std::string>& arguments) {
  return RunCommand("check", Describe(), arguments, Run);
}

}  // namespace copperlead
