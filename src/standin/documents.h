// The platform's two documents, made from plain values, for the demo and for tests. Values are
// written as given, so that faulty documents can be made too.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace copperlead::standin {

// One row of the table.
struct RoutePlan {
  std::string service;
  std::string route;
  int old_weight = 100;
  int new_weight = 0;
  int timeout_ms = 10000;
  int requests_per_second = 0;
  int max_in_flight = 0;
  int max_retries = 2;
  std::string repeatable = "by-method";
  std::string secret;
};

// @return a row with the default settings.
RoutePlan Row(const std::string& service, const std::string& route);

struct ConfigurationPlan {
  std::uint64_t revision = 1;
  std::vector<RoutePlan> routes;
  std::map<std::string, int> slots_by_service;
  std::map<std::string, std::string> secrets;  // Values in base64.

  // The row of `route`; it must be there.
  RoutePlan& Route(const std::string& route);
};

// Column of `old_weight` in the tables that ToJson writes; columns count from 1.
inline constexpr int kOldWeightColumn = 3;

struct MachinePlan {
  std::string id;
  std::string kind = "backend";
  std::string service;
  std::string site;
  std::string zone;
  std::string address;
  std::string state = "live";
};

struct MachineListPlan {
  std::uint64_t sequence = 1;
  std::vector<MachinePlan> machines;
};

// @return the body of /v1/configuration.
std::string ToJson(const ConfigurationPlan& plan);
// @return the body of /v1/machines.
std::string ToJson(const MachineListPlan& plan);

}  // namespace copperlead::standin
