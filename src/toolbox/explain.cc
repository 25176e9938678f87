// `copperlead explain`: one request's story, or a version's, from the decision logs of several
// nodes.

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

#include "sidecar/decision_log.h"
#include "toolbox/command.h"
#include "toolbox/command_options.h"

namespace copperlead {
namespace {

namespace options = boost::program_options;
using Json = nlohmann::ordered_json;

constexpr std::size_t kMaxLineBytes = 1 << 16;

// What was read and what could not be.
struct LogReading {
  std::vector<Json> lines;
  std::uint64_t foreign = 0;  // Not a whole line of a decision log.
  std::uint64_t unknown = 0;  // Of an event kind that this program doesn't know.
};

// What the lines are looked through for.
struct Question {
  std::string request;                   // Its own lines, and those of calls made for it.
  std::optional<std::uint64_t> version;  // Of the configuration.

  bool Concerns(const Json& line) const {
    if (version) return line.value("version", std::uint64_t{0}) == *version && !HasRequest(line);
    const std::string id = line.value("request", std::string());
    return id == request || id.compare(0, request.size() + 1, request + ".") == 0;
  }

 private:
  static bool HasRequest(const Json& line) { return line.contains("request"); }
};

CommandDescription Describe() {
  CommandDescription description;
  description.usage = "copperlead explain ID LOG... | copperlead explain --version N LOG...";
  description.purpose =
      "Reads decision logs (standard output of copperlead-sidecar) and prints what was decided "
      "about\n"
      "one request, or where a version of the configuration was taken or refused, in the order of\n"
      "the nodes' clocks. Lines that are cut short, foreign or of an unknown kind are counted.\n"
      "Exit 0: something was found; 1: nothing; 2: bad usage or an unreadable file.";
  description.example = "copperlead explain 9c41d07be2a35f68 node-1.log node-2.log";
  description.options.add_options()("version", options::value<std::uint64_t>(),
                                    "version of the configuration to explain")(
      "logs", options::value<std::vector<std::string>>(),
      "the id, unless --version is given, then files");
  description.positional.add("logs", -1);
  return description;
}

const std::set<std::string_view>& KnownKinds() {
  static const std::set<std::string_view> kinds = [] {
    std::set<std::string_view> names;
    for (std::uint8_t kind = 0; kind < static_cast<std::uint8_t>(sidecar::EventKind::count);
         ++kind) {
      names.insert(sidecar::describe(static_cast<sidecar::EventKind>(kind)).name);
    }
    return names;
  }();
  return kinds;
}

void ReadLine(const std::string& text, const Question& question, LogReading& reading) {
  // Whoever gathers logs may put a time or a name before each line.
  const auto start = text.find('{');
  if (start == std::string::npos || text.size() > kMaxLineBytes) {
    ++reading.foreign;
    return;
  }
  const Json line = Json::parse(text.substr(start), nullptr, false);
  const bool whole = line.is_object() && line.contains("event") && line["event"].is_string() &&
                     line.contains("node") && line.contains("time") && line["time"].is_number();
  if (!whole) {
    ++reading.foreign;
    return;
  }
  if (KnownKinds().count(line["event"].get_ref<const std::string&>()) == 0) {
    ++reading.unknown;
    return;
  }
  try {
    if (question.Concerns(line)) reading.lines.push_back(line);
  } catch (const Json::exception&) {
    ++reading.foreign;  // A field of another type than its kind declares.
  }
}

Result<LogReading> ReadLogs(const std::vector<std::string>& files, const Question& question) {
  LogReading reading;
  for (const std::string& name : files) {
    std::ifstream file(name, std::ios::binary);
    if (!file) return Fail(ErrorKind::kUnreadableFile, name, "cannot be opened");
    for (std::string line; std::getline(file, line);) ReadLine(line, question, reading);
  }
  std::stable_sort(reading.lines.begin(), reading.lines.end(), [](const Json& a, const Json& b) {
    return a["time"].get<double>() < b["time"].get<double>();
  });
  return reading;
}

void PrintLine(const Json& line, double first) {
  std::cout << "+" << static_cast<std::int64_t>(line["time"].get<double>() - first) << " ms  "
            << line["node"].get<std::string>() << "  " << line["event"].get<std::string>();
  for (const auto& [name, value] : line.items()) {
    if (name == "time" || name == "t" || name == "node" || name == "event") continue;
    std::cout << "  " << name << "="
              << (value.is_string() ? value.get<std::string>() : value.dump());
  }
  std::cout << "\n";
}

int Print(const LogReading& reading) {
  const double first = reading.lines.empty() ? 0 : reading.lines[0]["time"].get<double>();
  for (const Json& line : reading.lines) PrintLine(line, first);
  std::cout << reading.lines.size() << " lines found, " << reading.foreign << " foreign or cut, "
            << reading.unknown << " of unknown kinds\n";
  return reading.lines.empty() ? kExitNotSo : kExitGood;
}

Result<int> Run(const CommandOptions& options) {
  std::vector<std::string> files;
  if (options.Has("logs")) files = options.values["logs"].as<std::vector<std::string>>();
  Question question;
  if (options.Has("version")) {
    question.version = options.values["version"].as<std::uint64_t>();
  } else if (!files.empty()) {
    question.request = files.front();
    files.erase(files.begin());
  }
  if (files.empty()) return Fail(ErrorKind::kUsage, "LOG", "required: one file or more");
  BOOST_LEAF_AUTO(reading, ReadLogs(files, question));
  return Print(reading);
}

}  // namespace

int RunExplain(const std::vector<std::string>& arguments) {
  return RunCommand("explain", Describe(), arguments, Run);
}

}  // namespace copperlead
