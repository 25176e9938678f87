// What instances state in their answers (a limit, that they leave), and whether the machines that
// passed such answers on to their clients act on it.
#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "tests/mesh_integration/mesh_fleet.h"

namespace copperlead::standin {

// Thread-safe.
class StatementChecks {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // A request is about to be sent to a machine.
  void Sent(const std::string& id, const MeshMachine& machine);
  // A client has its answer.
  void Answered(const std::string& id, const HttpAnswer& answer);
  // As above. @param instance  the one that answered; empty: a node did
  void Answered(const std::string& id, const std::string& instance, const std::string& limit,
                const std::string& leaving);
  // A machine's process ends, starts or freezes: what it has passed on until now binds it no more.
  void Excuse(const MeshMachine& machine);

  // Sends a request and records both.
  HttpAnswer Call(const MeshFleet& fleet, const MeshMachine& machine, const MeshRequest& request);

  // @return what breaks a limit: more than one and a half times as much as it allows in 4 s, and 5
  // requests, from machines that had passed it on half a second before
  std::vector<std::string> BrokenLimits(const MeshFleet& fleet) const;
  // @return requests that reached an instance from machines that had passed on, 2 s before the
  // request was sent, that it leaves
  std::vector<std::string> LateToLeaving(const MeshFleet& fleet) const;

 private:
  struct Request {
    std::string ip;  // Of the machine that took it.
    Time sent;
  };
  // An answer that a machine passed on.
  struct Passed {
    Time at;
    std::string limit;
    bool leaving = false;
  };
  // A limit that was stated without a change.
  struct Spell {
    Time from;
    Time to;
    Time binds_from;
    std::string text;
    double per_second = 0;
  };

  static std::vector<Spell> SpellsOf(const Instance& instance);
  Time LastExcuse(const std::string& ip, Time before) const;
  const Request* RequestOf(const InstanceRun& run) const;
  bool WasTold(const InstanceRun& run, const Spell& spell) const;
  bool IsLate(const InstanceRun& run, Time started) const;

  mutable std::mutex mutex_;
  std::map<std::string, Request> requests_;  // By id.
  std::map<std::pair<std::string, std::string>, std::vector<Passed>>
      passed_;                                        // By IP and instance.
  std::map<std::string, std::vector<Time>> excuses_;  // By IP.
};

}  // namespace copperlead::standin
