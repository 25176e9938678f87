// `copperlead diff`: what an edit changes, cell by cell.

#include "table/diff.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

#include "toolbox/command.h"
#include "toolbox/command_options.h"
#include "toolbox/table_file.h"

namespace copperlead {
namespace {

namespace options = boost::program_options;
using Json = nlohmann::ordered_json;

// A service or secret that differs between two configurations. Values of secrets are not shown.
struct ResourceChange {
  RowChange::Kind kind = RowChange::Kind::kChanged;
  std::string type;  // "service" or "secret".
  std::string name;
};

struct Changes {
  std::vector<RowChange> rows;
  std::vector<ResourceChange> resources;  // Only when both files are configurations.

  bool empty() const { return rows.empty() && resources.empty(); }
};

CommandDescription Describe() {
  CommandDescription description;
  description.usage = "copperlead diff OLD NEW [--json]";
  description.purpose =
      "Prints the cells that differ, by route. Each file is a table as CSV or a configuration as\n"
      "JSON; of two configurations, changed services and secrets are named too.\n"
      "Exit 0: the same; 1: they differ; 2: a file cannot be read or has faults.";
  description.example = "copperlead diff table-41.csv table-42.csv";
  description.options.add_options()("old", options::value<std::string>(), "the earlier file")(
      "new", options::value<std::string>(), "the later file")("json", "print one JSON object");
  description.positional.add("old", 1).add("new", 1);
  return description;
}

std::string_view Word(RowChange::Kind kind) {
  switch (kind) {
    case RowChange::Kind::kAdded:
      return "added";
    case RowChange::Kind::kRemoved:
      return "removed";
    case RowChange::Kind::kChanged:
      break;
  }
  return "changed";
}

template <class Value>
void CompareResources(const char* type, const std::map<std::string, Value>& before,
                      const std::map<std::string, Value>& after,
                      std::vector<ResourceChange>& changes) {
  std::set<std::string> names;
  for (const auto& entry : before) names.insert(entry.first);
  for (const auto& entry : after) names.insert(entry.first);
  for (const auto& name : names) {
    const auto left = before.find(name);
    const auto right = after.find(name);
    if (left == before.end()) {
      changes.push_back({RowChange::Kind::kAdded, type, name});
    } else if (right == after.end()) {
      changes.push_back({RowChange::Kind::kRemoved, type, name});
    } else if (!(left->second == right->second)) {
      changes.push_back({RowChange::Kind::kChanged, type, name});
    }
  }
}

Changes Compare(const TableFile& before, const TableFile& after) {
  Changes changes;
  changes.rows = Diff(before.csv.table, after.csv.table);
  if (before.configuration && after.configuration) {
    CompareResources("service", before.configuration->services, after.configuration->services,
                     changes.resources);
    CompareResources("secret", before.configuration->secrets, after.configuration->secrets,
                     changes.resources);
  }
  return changes;
}

void PrintText(const Changes& changes) {
  for (const auto& row : changes.rows) {
    std::cout << Word(row.kind) << " " << row.route << " (service " << row.service << ")\n";
    for (const auto& cell : row.cells) {
      std::cout << "  " << cell.column << ": " << (cell.before.empty() ? "(none)" : cell.before)
                << " -> " << (cell.after.empty() ? "(none)" : cell.after) << "\n";
    }
  }
  for (const auto& resource : changes.resources) {
    std::cout << Word(resource.kind) << " " << resource.type << " " << resource.name << "\n";
  }
}

void PrintJson(const Changes& changes) {
  Json rows = Json::array();
  for (const auto& row : changes.rows) {
    Json cells = Json::array();
    for (const auto& cell : row.cells) {
      cells.push_back({{"column", cell.column}, {"before", cell.before}, {"after", cell.after}});
    }
    rows.push_back({{"change", Word(row.kind)},
                    {"service", row.service},
                    {"route", row.route},
                    {"cells", cells}});
  }
  Json resources = Json::array();
  for (const auto& resource : changes.resources) {
    resources.push_back(
        {{"change", Word(resource.kind)}, {"type", resource.type}, {"name", resource.name}});
  }
  std::cout << Json{{"same", changes.empty()}, {"rows", rows}, {"resources", resources}}.dump()
            << "\n";
}

Result<int> Run(const CommandOptions& options) {
  if (!options.Has("old") || !options.Has("new")) {
    return Fail(ErrorKind::kUsage, "command line",
                "two files are required: OLD and NEW; --help shows an example");
  }
  BOOST_LEAF_AUTO(before, ReadSoundTableFile(options.Text("old")));
  BOOST_LEAF_AUTO(after, ReadSoundTableFile(options.Text("new")));
  const Changes changes = Compare(before, after);
  if (options.Has("json")) {
    PrintJson(changes);
  } else {
    PrintText(changes);
  }
  return changes.empty() ? kExitGood : kExitNotSo;
}

}  // namespace

int RunDiff(const std::vector<std::string>& arguments) {
  return RunCommand("diff", Describe(), arguments, Run);
}

}  // namespace copperlead
