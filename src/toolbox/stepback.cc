// `copperlead stepback`: the table of an earlier revision, to be published as a new, higher one.

#include <iostream>

#include "toolbox/admin_client.h"
#include "toolbox/command.h"
#include "toolbox/command_options.h"
#include "toolbox/fleet_report.h"

namespace copperlead {
namespace {

namespace options = boost::program_options;

CommandDescription Describe() {
  CommandDescription description;
  description.usage = "copperlead stepback --node IP:PORT --to REVISION";
  description.purpose =
      "Prints the table of an earlier revision from the fleet's memory. No node goes back by\n"
      "itself: publish the printed table under a revision above the running one, which is named\n"
      "on standard error. Rows come in the order of their routes.\n"
      "Exit 0: printed; 1: the revision is not in the node's history; 3: cannot reach.";
  description.example = "copperlead stepback --node 127.0.0.1:7900 --to 41 > table.csv";
  description.options.add_options()("node", options::value<std::string>(),
                                    "admin IP:PORT of any node")(
      "to", options::value<std::string>(), "revision whose table to print");
  return description;
}

Result<std::string> FetchTable(const SocketAddress& node, std::uint64_t revision) {
  auto table =
      Resolve([&] { return FetchFromAdmin(node, "/history/" + std::to_string(revision)); });
  if (table) return std::move(table.value());
  Error error = table.error();
  if (error.kind == ErrorKind::kUnexpectedStatus) {
    error.cause += "; a node keeps the last tables that it accepted since its start: ask another";
  }
  return boost::leaf::new_error(std::move(error));
}

Result<int> Run(const CommandOptions& options) {
  BOOST_LEAF_AUTO(node, RequiredAddress(options, "node"));
  BOOST_LEAF_AUTO(revision, RequiredRevision(options, "to"));
  BOOST_LEAF_AUTO(status, FetchFromAdmin(node, "/status"));
  BOOST_LEAF_AUTO(report, ReadFleetReport(status));
  BOOST_LEAF_AUTO(table, FetchTable(node, revision));
  std::cout << table;
  std::cerr << "publish this table as revision " << report.newest_revision + 1
            << " or higher; the fleet runs " << report.newest_revision << "\n";
  return kExitGood;
}

}  // namespace

int RunStepback(const std::vector<std::string>& arguments) {
  return RunCommand("stepback", Describe(), arguments, Run);
}

}  // namespace copperlead
