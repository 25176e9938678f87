#include "standin/documents.h"

#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

namespace copperlead::standin {
namespace {

constexpr int kConnectionsPerInstance = 130;

std::string TableText(const std::vector<RoutePlan>& routes) {
  std::ostringstream text;
  text << "service,route,old_weight,new_weight,timeout_ms,requests_per_second,max_in_flight,"
          "max_retries,repeatable,secret\n";
  for (const auto& row : routes) {
    text << row.service << ',' << row.route << ',' << row.old_weight << ',' << row.new_weight << ','
         << row.timeout_ms << ',' << row.requests_per_second << ',' << row.max_in_flight << ','
         << row.max_retries << ',' << row.repeatable << ',' << row.secret << '\n';
  }
  return text.str();
}

}  // namespace

RoutePlan Row(const std::string& service, const std::string& route) {
  RoutePlan row;
  row.service = service;
  row.route = route;
  return row;
}

RoutePlan& ConfigurationPlan::Route(const std::string& route) {
  for (auto& row : routes) {
    if (row.route == route) return row;
  }
  throw std::invalid_argument("no route " + route);
}

std::string ToJson(const ConfigurationPlan& plan) {
  nlohmann::json services = nlohmann::json::object();
  for (const auto& [name, slots] : plan.slots_by_service) {
    services[name] = {{"slots_per_instance", slots},
                      {"connections_per_instance", kConnectionsPerInstance}};
  }
  const nlohmann::json document = {{"revision", plan.revision},
                                   {"table", TableText(plan.routes)},
                                   {"services", services},
                                   {"secrets", plan.secrets}};
  return document.dump();
}

std::string ToJson(const MachineListPlan& plan) {
  nlohmann::json machines = nlohmann::json::array();
  for (const auto& machine : plan.machines) {
    nlohmann::json entry = {{"id", machine.id},
                            {"kind", machine.kind},
                            {"zone", machine.zone},
                            {"address", machine.address},
                            {"state", machine.state}};
    if (machine.kind == "backend") {
      entry["service"] = machine.service;
      entry["site"] = machine.site;
    }
    machines.push_back(entry);
  }
  return nlohmann::json{{"sequence", plan.sequence}, {"machines", machines}}.dump();
}

}  // namespace copperlead::standin
