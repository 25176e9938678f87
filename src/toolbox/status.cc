// `copperlead status`: how far the fleet has settled, as one node sees it.

#include <unistd.h>

#include <chrono>
#include <iostream>
#include <thread>

#include "toolbox/admin_client.h"
#include "toolbox/command.h"
#include "toolbox/command_options.h"
#include "toolbox/fleet_report.h"

namespace copperlead {
namespace {

namespace options = boost::program_options;

constexpr auto kWatchInterval = std::chrono::seconds(1);
constexpr const char* kClearScreen = "\x1b[H\x1b[2J";

CommandDescription Describe() {
  CommandDescription description;
  description.usage = "copperlead status --node IP:PORT [--watch] [--json]";
  description.purpose =
      "Shows the revisions that the fleet runs, by zone, and who is behind.\n"
      "Exit 0: all live nodes run one revision; 1: not yet; 3: the node cannot be reached.";
  description.example = "copperlead status --node 127.0.0.1:7900 --watch";
  description.options.add_options()("node", options::value<std::string>(),
                                    "admin IP:PORT of any node")(
      "watch", options::bool_switch(), "repeat every second until the fleet has settled")(
      "json", options::bool_switch(), "one JSON object per look");
  return description;
}

Result<FleetReport> Look(const SocketAddress& node) {
  BOOST_LEAF_AUTO(body, FetchFromAdmin(node, "/status"));
  return ReadFleetReport(body);
}

void Print(const FleetReport& report, bool json, bool redraw) {
  if (redraw) std::cout << kClearScreen;
  std::cout << (json ? ToJsonText(report) : ToText(report)) << std::flush;
}

// @return whether the fleet has settled.
Result<bool> Show(const SocketAddress& node, const CommandOptions& options) {
  const bool watch = options.values["watch"].as<bool>();
  const bool json = options.values["json"].as<bool>();
  const bool redraw = watch && !json && isatty(STDOUT_FILENO) == 1;
  while (true) {
    BOOST_LEAF_AUTO(report, Look(node));
    Print(report, json, redraw);
    if (report.settled || !watch) return report.settled;
    std::this_thread::sleep_for(kWatchInterval);
  }
}

Result<int> Run(const std::vector<std::string>& arguments) {
  BOOST_LEAF_AUTO(options, ReadCommandOptions(Describe(), arguments));
  if (options.help_shown) return kExitGood;
  BOOST_LEAF_AUTO(node, RequiredAddress(options, "node"));
  BOOST_LEAF_AUTO(settled, Show(node, options));
  return settled ? kExitGood : kExitNotSo;
}

}  // namespace

int RunStatus(const std::vector<std::string>& arguments) {
  const auto outcome = Resolve([&] { return Run(arguments); });
  return outcome ? outcome.value() : ReportCommandError("status", outcome.error());
}

}  // namespace copperlead
