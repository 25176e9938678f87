// Documents that are shared by the tests of src/snapshot.
#pragma once

#include <string>

#include "snapshot/bundle.h"
#include "snapshot/machines.h"

namespace copperlead {

// @return a sealed and complete bundle of `services` services ("service-0" and so on), each with
//         `routes` routes.
inline Bundle MakeBundle(std::size_t services, std::size_t routes) {
  Bundle bundle;
  bundle.revision = 7;
  for (std::size_t service = 0; service < services; ++service) {
    const std::string name = "service-" + std::to_string(service);
    bundle.services[name] = {6, 130};
    bundle.secrets["token-of-" + name] = "secret value of " + name;
    for (std::size_t route = 0; route < routes; ++route) {
      RouteRow row;
      row.service = name;
      row.route = "/" + name + "/part-" + std::to_string(route);
      row.old_weight = 60;
      row.new_weight = 40;
      row.timeout_ms = 2000;
      row.secret = "token-of-" + name;
      bundle.table.rows.push_back(row);
    }
  }
  Seal(bundle);
  return bundle;
}

// @return a sealed list of `count` live back ends.
inline MachineList MakeMachines(std::size_t count) {
  MachineList list;
  list.sequence = 31;
  for (std::size_t index = 0; index < count; ++index) {
    Machine machine;
    machine.id = "permit-desk-" + std::to_string(index);
    machine.service = "permit-desk";
    machine.zone = "ank-a";
    machine.address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + index)};
    list.machines.push_back(machine);
  }
  Seal(list);
  return list;
}

}  // namespace copperlead
