// The command `copperlead-standin instance`.
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>

#include "standin/command.h"
#include "standin/http_service.h"
#include "standin/instance.h"
#include "standin/options.h"
#include "standin/socket_address.h"

namespace copperlead::standin {
namespace {

// Reads the fault that a test names. @return nothing for an unknown name.
std::optional<InstanceTrouble> TroubleNamed(const std::string& name) {
  static const std::map<std::string, InstanceTrouble> troubles = {
      {"none", InstanceTrouble::kNone},         {"lost", InstanceTrouble::kLost},
      {"cut", InstanceTrouble::kCut},           {"extra", InstanceTrouble::kExtra},
      {"unframed", InstanceTrouble::kUnframed}, {"unsigned", InstanceTrouble::kUnsigned},
      {"error", InstanceTrouble::kError},       {"shed", InstanceTrouble::kShed},
      {"closing", InstanceTrouble::kClosing},   {"silent", InstanceTrouble::kSilent}};
  const auto found = troubles.find(name);
  if (found == troubles.end()) return std::nullopt;
  return found->second;
}

}  // namespace

int RunInstance(const std::vector<std::string>& arguments) {
  namespace program_options = boost::program_options;
  program_options::options_description description("copperlead-standin instance");
  const auto text = [] { return program_options::value<std::string>(); };
  const auto number = [](std::uint32_t value) {
    return program_options::value<std::uint32_t>()->default_value(value);
  };
  description.add_options()                                                              //
      ("listen", text()->default_value("127.0.0.1:0"), "IP:PORT of the instance")        //
      ("id", text()->required(), "id of this incarnation")                               //
      ("slots", number(6), "requests worked on at a time")                               //
      ("work-ms", number(5), "work of a request")                                        //
      ("limit", text()->default_value(""), "limit that its answers state; empty: none")  //
      ("leaving", program_options::bool_switch(), "its answers state that it leaves")    //
      ("fault", text()->default_value("none"),
       "none, lost, cut, extra, unframed, unsigned, error, shed, closing or silent");
  program_options::variables_map values;
  if (const auto code = ParseOptions(arguments, description, values)) return *code;
  const auto listen = AddressOption(values, "listen");
  const auto trouble = TroubleNamed(values["fault"].as<std::string>());
  if (!listen || !trouble) return kExitUsage;

  BlockStopSignals();
  InstanceSettings settings;
  settings.id = values["id"].as<std::string>();
  settings.slots = values["slots"].as<std::uint32_t>();
  settings.work = std::chrono::milliseconds(values["work-ms"].as<std::uint32_t>());
  Instance instance(settings);
  instance.SetFault({*trouble, UINT64_MAX});
  instance.StateLimit(values["limit"].as<std::string>());
  if (values["leaving"].as<bool>()) instance.StateLeaving();
  if (!instance.Start(*listen)) return kExitUsage;
  std::cout << nlohmann::json{{"listen", ToString(instance.address())}} << std::endl;
  WaitForStopSignal();
  return 0;
}

}  // namespace copperlead::standin
