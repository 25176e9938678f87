// `copperlead replay`: runs a node's journal again through the deciding code.

#include <iostream>

#include "admin/node_status.h"
#include "toolbox/command.h"
#include "toolbox/command_options.h"
#include "toolbox/table_file.h"

namespace copperlead {
namespace {

namespace options = boost::program_options;

// A node keeps at most kMaxLedgerEntries decisions, a few hundred bytes each.
constexpr std::size_t kMaxJournalBytes = std::size_t{64} * 1024 * 1024;

CommandDescription Describe() {
  CommandDescription description;
  description.usage = "copperlead replay JOURNAL [--json]";
  description.purpose =
      "Runs the decisions of a journal (a node's /journal) again through the same rule, and says\n"
      "why each version was taken, held or refused.\n"
      "Exit 0: every decision is the same again; 1: the first difference is shown; 2: no journal.";
  description.example =
      "curl -s http://127.0.0.1:7900/journal > journal.json; copperlead replay journal.json";
  description.options.add_options()("journal", options::value<std::string>(),
                                    "FILE with the body of /journal")(
      "json", options::bool_switch(), "one JSON object at the end instead of lines");
  description.positional.add("journal", 1);
  return description;
}

// One line about a decision.
void PrintEntry(std::size_t number, const LedgerEntry& entry) {
  std::cout << number << " " << Name(entry.verdict) << ": " << entry.explanation << "\n";
}

void PrintDifference(std::size_t number, VersionVerdict recorded, VersionVerdict replayed) {
  std::cout << "entry " << number << " differs: recorded " << Name(recorded) << ", replayed "
            << Name(replayed) << "\n";
}

// @return the index of the first entry whose verdict differs; the size when none does.
std::size_t FirstDifference(const std::vector<LedgerEntry>& entries) {
  for (std::size_t index = 0; index < entries.size(); ++index) {
    const auto& entry = entries[index];
    if (DecideVersion(entry.before, entry.offer) != entry.verdict) return index;
  }
  return entries.size();
}

void PrintLines(const std::vector<LedgerEntry>& entries, std::size_t difference) {
  for (std::size_t index = 0; index < entries.size() && index <= difference; ++index) {
    PrintEntry(index + 1, entries[index]);
  }
  if (difference == entries.size()) {
    std::cout << entries.size() << " decisions, all the same again\n";
    return;
  }
  const auto& entry = entries[difference];
  PrintDifference(difference + 1, entry.verdict, DecideVersion(entry.before, entry.offer));
}

void PrintJson(const std::vector<LedgerEntry>& entries, std::size_t difference) {
  std::cout << R"({"decisions":)" << entries.size() << R"(,"first_difference":)";
  if (difference == entries.size()) {
    std::cout << "null}\n";
  } else {
    std::cout << difference + 1 << "}\n";
  }
}

Result<int> Run(const CommandOptions& options) {
  if (!options.Has("journal")) {
    return Fail(ErrorKind::kUsage, "JOURNAL",
                "required: a file with the body of /journal; --help shows an example");
  }
  BOOST_LEAF_AUTO(body, ReadInputFile(options.Text("journal"), kMaxJournalBytes));
  auto entries = Resolve([&] { return JournalFromJson(body); });
  if (!entries) {
    return Fail(ErrorKind::kUsage, options.Text("journal"),
                "is no journal: " + ToString(entries.error()) +
                    "; fetch it again from /journal on a node's admin port");
  }
  const std::size_t difference = FirstDifference(entries.value());
  if (options.values["json"].as<bool>()) {
    PrintJson(entries.value(), difference);
  } else {
    PrintLines(entries.value(), difference);
  }
  return difference == entries.value().size() ? kExitGood : kExitNotSo;
}

}  // namespace

int RunReplay(const std::vector<std::string>& arguments) {
  return RunCommand("replay", Describe(), arguments, Run);
}

}  // namespace copperlead
