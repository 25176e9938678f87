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
  description.usage = "copperlead status --node IP:PORT [--revision N] [--watch] [--json]";
  description.purpose =
      "Shows the revisions that the fleet runs, by zone, and who is behind.\n"
      "Just after a publication the fleet may still be settled on the revision before: --revision\n"
      "waits for the new one, and ends the watch when the asked node has refused it.\n"
      "Exit 0: all live nodes run one revision; 1: not yet, or it was refused; 3: the node cannot\n"
      "be reached.";
  description.example = "copperlead status --node 127.0.0.1:7900 --revision 42 --watch";
  description.options.add_options()("node", options::value<std::string>(),
                                    "admin IP:PORT of any node")(
      "revision", options::value<std::string>(), "not settled below this revision")(
      "watch", options::bool_switch(), "repeat every second until the fleet has settled")(
      "json", options::bool_switch(), "one JSON object per look");
  return description;
}

Result<FleetReport> Look(const SocketAddress& node, std::uint64_t wanted_revision) {
  BOOST_LEAF_AUTO(body, FetchFromAdmin(node, "/status"));
  return ReadFleetReport(body, wanted_revision);
}

void Print(const FleetReport& report, bool json, bool redraw) {
  if (redraw) std::cout << kClearScreen;
  std::cout << (json ? ToJsonText(report) : ToText(report)) << std::flush;
}

// @return whether the fleet has settled.
Result<bool> Show(const SocketAddress& node, std::uint64_t wanted_revision,
                  const CommandOptions& options) {
  const bool watch = options.values["watch"].as<bool>();
  const bool json = options.values["json"].as<bool>();
  const bool redraw = watch && !json && isatty(STDOUT_FILENO) == 1;
  while (true) {
    BOOST_LEAF_AUTO(report, Look(node, wanted_revision));
    Print(report, json, redraw);
    if (report.settled || report.WantedIsRefused() || !watch) return report.settled;
    std::this_thread::sleep_for(kWatchInterval);
  }
}

Result<int> Run(const CommandOptions& options) {
  BOOST_LEAF_AUTO(node, RequiredAddress(options, "node"));
  std::uint64_t wanted_revision = 0;
  if (options.Has("revision")) {
    BOOST_LEAF_ASSIGN(wanted_revision, RequiredRevision(options, "revision"));
  }
  BOOST_LEAF_AUTO(settled, Show(node, wanted_revision, options));
  return settled ? kExitGood : kExitNotSo;
}

}  // namespace

int RunStatus(const std::vector<std::string>& arguments) {
  return RunCommand("status", Describe(), arguments, Run);
}

}  // namespace copperlead
