// `copperlead hollow`: many nodes without proxies on real sockets, to measure what they cost.

#include <chrono>
#include <iostream>
#include <thread>

#include "distribution/profiles.h"
#include "toolbox/command.h"
#include "toolbox/command_options.h"
#include "toolbox/hollow_fleet.h"
#include "toolbox/hollow_report.h"

namespace copperlead {
namespace {

namespace options = boost::program_options;

constexpr std::size_t kMaxNodes = 5000;
constexpr std::size_t kMaxZones = 100;
constexpr std::size_t kMaxThreads = 64;
constexpr std::size_t kMaxSeconds = 86'400;
constexpr std::size_t kMaxWindows = 1000;
constexpr std::size_t kHighestPort = 65535;
constexpr std::string_view kSourceScheme = "http://";

CommandDescription Describe() {
  CommandDescription description;
  description.usage =
      "copperlead hollow --nodes N --base-port P --fleet-key-file FILE [--zones Z] ...";
  description.purpose =
      "Runs N nodes without proxies in this process, on real sockets, and reports per node: CPU,\n"
      "memory, bytes and messages; and how fast each new revision took force.\n"
      "Exit 0: all nodes run one revision at the end; 1: they do not; 2: bad option or address.";
  description.example =
      "copperlead hollow --nodes 100 --zones 4 --base-port 20000 --fleet-key-file fleet.key "
      "--source http://127.0.0.1:8000 --duration-s 60 --json";
  // clang-format off
  description.options.add_options()
      ("nodes", options::value<std::size_t>(), "number of nodes, 1 to 5000 (required)")
      ("zones", options::value<std::size_t>()->default_value(1), "node i stands in zone i modulo Z")
      ("listen-ip", options::value<std::string>()->default_value("127.0.0.1"), "IP of all nodes")
      ("base-port", options::value<std::size_t>(), "node i listens on P + i; 0: on any free port (required)")
      ("peer", options::value<std::vector<std::string>>()->composing(),
       "IP:PORT of a first contact; may be repeated; default: the first three nodes")
      ("source", options::value<std::string>(), "http://IP:PORT of the configuration service")
      ("fleet-key-file", options::value<std::string>(), "FILE with the fleet's keys (required)")
      ("warm-up-s", options::value<std::size_t>()->default_value(10),
       "seconds of joining that are not measured")
      ("duration-s", options::value<std::size_t>()->default_value(60), "seconds measured per window")
      ("windows", options::value<std::size_t>()->default_value(1),
       "windows measured one after the other, a report each")
      ("threads", options::value<std::size_t>()->default_value(2), "threads the nodes share")
      ("profile", options::value<std::string>()->default_value("avlak"), "avlak or ferraris")
      ("json", options::bool_switch(), "one JSON object per window");
  // clang-format on
  return description;
}

Result<std::size_t> Number(const CommandOptions& options, const std::string& key, std::size_t least,
                           std::size_t most) {
  const std::string range = std::to_string(least) + " to " + std::to_string(most);
  if (!options.Has(key)) return Fail(ErrorKind::kUsage, "--" + key, "required: " + range);
  const auto value = options.values[key].as<std::size_t>();
  if (value >= least && value <= most) return value;
  return Fail(ErrorKind::kUsage, "--" + key, std::to_string(value) + " is not in " + range);
}

Result<SocketAddress> Address(const std::string& key, const std::string& text) {
  const auto address = Resolve([&] { return ParseSocketAddress(text); });
  if (address) return address.value();
  return Fail(ErrorKind::kUsage, "--" + key, "\"" + text + "\": " + address.error().cause);
}

Result<std::optional<SocketAddress>> SourceOf(const CommandOptions& options) {
  if (!options.Has("source")) return std::optional<SocketAddress>();
  const std::string text = options.Text("source");
  if (!text.starts_with(kSourceScheme)) {
    return Fail(ErrorKind::kUsage, "--source", "\"" + text + "\" is not http://IP:PORT");
  }
  BOOST_LEAF_AUTO(address, Address("source", text.substr(kSourceScheme.size())));
  return std::optional<SocketAddress>(address);
}

Result<AgentSettings> ProfileOf(const CommandOptions& options) {
  const std::string name = options.Text("profile");
  if (name == "avlak") return AvlakProfile();
  if (name == "ferraris") return FerrarisProfile();
  return Fail(ErrorKind::kUsage, "--profile", "\"" + name + "\" is not avlak or ferraris");
}

Result<HollowFleetSettings> FleetSettings(const CommandOptions& options) {
  HollowFleetSettings settings;
  BOOST_LEAF_ASSIGN(settings.nodes, Number(options, "nodes", 1, kMaxNodes));
  BOOST_LEAF_ASSIGN(settings.zones, Number(options, "zones", 1, kMaxZones));
  BOOST_LEAF_ASSIGN(settings.threads, Number(options, "threads", 1, kMaxThreads));
  BOOST_LEAF_AUTO(port, Number(options, "base-port", 0, kHighestPort + 1 - settings.nodes));
  settings.base_port = static_cast<std::uint16_t>(port);
  settings.listen_ip = options.Text("listen-ip");
  if (options.Has("peer")) {
    for (const auto& text : options.values["peer"].as<std::vector<std::string>>()) {
      BOOST_LEAF_AUTO(peer, Address("peer", text));
      settings.contacts.push_back(peer);
    }
  }
  BOOST_LEAF_ASSIGN(settings.source, SourceOf(options));
  BOOST_LEAF_ASSIGN(settings.agent, ProfileOf(options));
  if (!options.Has("fleet-key-file")) {
    return Fail(ErrorKind::kUsage, "--fleet-key-file", "required: FILE with the fleet's keys");
  }
  BOOST_LEAF_ASSIGN(settings.keys, LoadFleetKeys(options.Text("fleet-key-file")));
  return settings;
}

void MeasureWindow(HollowFleet& fleet, std::size_t duration_s, HollowReport& report) {
  fleet.activations().Begin();
  report.before = fleet.Costs();
  std::this_thread::sleep_for(std::chrono::seconds(duration_s));
  report.after = fleet.Costs();
  report.outcome = fleet.Outcome();
  report.spreads = fleet.activations().Spreads();
}

Result<int> Run(const CommandOptions& options) {
  BOOST_LEAF_AUTO(settings, FleetSettings(options));
  BOOST_LEAF_AUTO(warm_up_s, Number(options, "warm-up-s", 0, kMaxSeconds));
  BOOST_LEAF_AUTO(duration_s, Number(options, "duration-s", 1, kMaxSeconds));
  BOOST_LEAF_AUTO(windows, Number(options, "windows", 1, kMaxWindows));
  HollowReport report;
  report.nodes = settings.nodes;
  report.zones = settings.zones;
  report.profile = options.Text("profile");
  HollowFleet fleet(settings);
  BOOST_LEAF_CHECK(fleet.Start());
  std::this_thread::sleep_for(std::chrono::seconds(warm_up_s));
  const bool json = options.values["json"].as<bool>();
  for (std::size_t window = 0; window < windows; ++window) {
    MeasureWindow(fleet, duration_s, report);
    std::cout << (json ? ToJsonText(report) : ToText(report)) << std::flush;
  }
  return report.outcome.nodes_by_version.size() == 1 ? kExitGood : kExitNotSo;
}

}  // namespace

int RunHollow(const std::vector<std::string>& arguments) {
  return RunCommand("hollow", Describe(), arguments, Run);
}

}  // namespace copperlead
