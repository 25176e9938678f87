// Helpers shared by the routing tests: tables, machine lists, snapshots and requests.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "routing/request_router.h"

namespace copperlead::routing_test {

inline constexpr Timestamp kStart{std::chrono::seconds(1000)};

// @return a route "/permits" of permit-desk: all requests go to the old site, with a timeout of ten
//         seconds and three retries.
inline RouteRow MakeRow() {
  RouteRow row;
  row.service = "permit-desk";
  row.route = "/permits";
  row.old_weight = 100;
  row.timeout_ms = 10000;
  row.max_retries = 3;
  return row;
}

inline BundlePointer MakeBundle(const std::vector<RouteRow>& rows,
                                const ServiceSettings& settings = {6, 130}) {
  auto bundle = std::make_shared<Bundle>();
  bundle->revision = 1;
  bundle->table.rows = rows;
  for (const RouteRow& row : rows) bundle->services[row.service] = settings;
  return bundle;
}

inline Machine MakeBackEnd(std::size_t number, Site site = Site::kOld) {
  Machine machine;
  machine.id = (site == Site::kOld ? "old-" : "new-") + std::to_string(100 + number);
  machine.service = "permit-desk";
  machine.site = site;
  machine.zone = "ank-a";
  machine.address = {"127.0.0.1",
                     static_cast<std::uint16_t>((site == Site::kOld ? 9000 : 9500) + number)};
  return machine;
}

// @return the back ends old-100, old-101, ... and new-100, new-101, ...
inline MachineList MakeMachines(std::size_t old_site, std::size_t new_site = 0) {
  MachineList list;
  for (std::size_t number = 0; number < old_site; ++number) {
    list.machines.push_back(MakeBackEnd(number));
  }
  for (std::size_t number = 0; number < new_site; ++number) {
    list.machines.push_back(MakeBackEnd(number, Site::kNew));
  }
  return list;
}

inline RoutingSnapshotPointer MakeSnapshot(const std::vector<RouteRow>& rows,
                                           const MachineList& machines,
                                           const FleetShape& fleet = {}) {
  return BuildRoutingSnapshot(MakeBundle(rows), std::make_shared<const MachineList>(machines),
                              fleet);
}

inline RequestFacts MakeRequest(const std::string& method = "POST",
                                const std::string& request_id = "request-1") {
  RequestFacts facts;
  facts.method = method;
  facts.path = "/permits/1";
  facts.request_id = request_id;
  return facts;
}

// @return the kind of an AnswerError; kCount for any other action.
inline ErrorKind KindOf(const RequestAction& action) {
  const auto* answer = std::get_if<AnswerError>(&action);
  return answer == nullptr ? ErrorKind::kCount : answer->kind;
}

// @return the id of the back end that an attempt goes to; empty for any other action.
inline std::string TargetOf(const RequestAction& action) {
  const auto* attempt = std::get_if<SendAttempt>(&action);
  return attempt == nullptr ? "" : attempt->endpoint.id;
}

inline AnswerHead NotRunHead() {
  AnswerHead head;
  head.status = 503;
  head.says_not_run = true;
  return head;
}

}  // namespace copperlead::routing_test
