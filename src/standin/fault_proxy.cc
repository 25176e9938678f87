// `copperlead-standin fault-proxy`: its command line and control path.

#include <httplib.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

#include "standin/command.h"
#include "standin/forwarder.h"
#include "standin/http_service.h"
#include "standin/options.h"

namespace copperlead::standin {
namespace {

const std::map<std::string, FaultKind>& KindsByName() {
  static const std::map<std::string, FaultKind> kinds = {
      {"none", FaultKind::kNone},     {"cut", FaultKind::kCut},
      {"freeze", FaultKind::kFreeze}, {"delay", FaultKind::kDelay},
      {"reset", FaultKind::kReset},   {"drop", FaultKind::kDrop},
      {"refuse", FaultKind::kRefuse}, {"stop-accepting", FaultKind::kStopAccepting}};
  return kinds;
}

const std::map<std::string, FaultDirection>& DirectionsByName() {
  static const std::map<std::string, FaultDirection> directions = {
      {"", FaultDirection::kBoth},
      {"both", FaultDirection::kBoth},
      {"forward", FaultDirection::kForward},
      {"backward", FaultDirection::kBackward}};
  return directions;
}

void SetFault(const httplib::Request& request, httplib::Response& response, FaultBoard& board) {
  const auto kind = KindsByName().find(request.get_param_value("fault"));
  const auto direction = DirectionsByName().find(request.get_param_value("direction"));
  if (kind == KindsByName().end() || direction == DirectionsByName().end()) {
    response.status = 400;
    response.set_content(
        "fault: none, cut, freeze, delay, reset, drop, refuse or stop-accepting; "
        "direction: both, forward or backward; after, times, ms, percent, gentle: numbers; "
        "only_from, except_from: IPs of senders of datagrams\n",
        "text/plain");
    return;
  }
  Fault fault;
  fault.kind = kind->second;
  fault.direction = direction->second;
  fault.wait = std::chrono::milliseconds(NumberParameter(request, "ms", 0));
  fault.after = NumberParameter(request, "after", 0);
  fault.times = NumberParameter(request, "times", UINT64_MAX);
  fault.percent = static_cast<std::uint32_t>(NumberParameter(request, "percent", 0));
  fault.gentle = NumberParameter(request, "gentle", 0) != 0;
  fault.only_from = request.get_param_value("only_from");
  fault.except_from = request.get_param_value("except_from");
  board.Set(fault);
}

std::string CountersText(const FaultBoard& board) {
  return nlohmann::json{{"connections", board.connections.load()},
                        {"resets", board.resets.load()},
                        {"forward_bytes", board.forward_bytes.load()},
                        {"backward_bytes", board.backward_bytes.load()},
                        {"datagrams", board.datagrams.load()},
                        {"lost_datagrams", board.lost_datagrams.load()}}
      .dump();
}

}  // namespace

int RunFaultProxy(const std::vector<std::string>& arguments) {
  namespace program_options = boost::program_options;
  program_options::options_description description("copperlead-standin fault-proxy");
  const auto text = [] { return program_options::value<std::string>(); };
  description.add_options()                                                             //
      ("listen", text()->default_value("127.0.0.1:0"), "IP:PORT to forward from")       //
      ("control", text()->default_value("127.0.0.1:0"), "IP:PORT of the control path")  //
      ("to", text()->required(), "IP:PORT to forward to")                               //
      ("udp", program_options::bool_switch(), "forward UDP on the same port too");
  program_options::variables_map values;
  if (const auto code = ParseOptions(arguments, description, values)) return *code;
  const auto listen = AddressOption(values, "listen");
  const auto control = AddressOption(values, "control");
  const auto target = AddressOption(values, "to");
  if (!listen || !control || !target) return kExitUsage;

  BlockStopSignals();
  const auto sockets = BindForwarder(*listen, values["udp"].as<bool>());
  if (!sockets) {
    std::cerr << "copperlead-standin: cannot bind " << ToString(*listen) << "\n";
    return kExitUsage;
  }
  static FaultBoard board;
  HttpService control_service(4);
  control_service.server().Post("/control/fault",
                                [](const httplib::Request& request, httplib::Response& response) {
                                  SetFault(request, response, board);
                                });
  control_service.server().Get("/control/counters",
                               [](const httplib::Request&, httplib::Response& response) {
                                 response.set_content(CountersText(board), "application/json");
                               });
  if (!control_service.Start(*control)) return kExitUsage;
  StartTcpForwarder(*sockets, *target, board);
  if (sockets->udp >= 0) StartUdpForwarder(*sockets, *target, board);
  std::cout << nlohmann::json{{"listen", ToString(sockets->address)},
                              {"control", ToString(control_service.address())}}
            << std::endl;
  WaitForStopSignal();
  std::_Exit(0);  // The forwarders' threads hold nothing that outlives the process.
}

}  // namespace copperlead::standin
