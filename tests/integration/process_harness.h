// Real processes for the integration tests: the programs of COPPERLEAD_BINARIES, run as a
// LocalFleet; helpers to wait on conditions and to stop and wake processes.
#pragma once

#include <gtest/gtest.h>
#include <signal.h>

#include <cstdlib>
#include <string>

#include "standin/local_fleet.h"

namespace copperlead::standin {

// The folder of the programs under test.
inline std::string Binaries() {
  const char* folder = std::getenv("COPPERLEAD_BINARIES");
  return folder != nullptr ? folder : "build/bin";
}

// Flags that make tests quick; nothing else differs from a deployment.
inline std::vector<std::string> PollEvery(int milliseconds) {
  return {"--source-interval-ms", std::to_string(milliseconds)};
}

inline void Kill(LocalNode& node) {
  node.process->Signal(SIGKILL);
  node.process->Wait(kPatience);
  node.process.reset();
}

// Sets the source's mode, for example "back&versions=1".
inline void SetSourceMode(LocalFleet& fleet, const std::string& mode) {
  ASSERT_EQ(Post(fleet.source().control, "/control/mode?mode=" + mode).status, 200);
}

// Sets the fault of a fault proxy, for example "reset&direction=forward&after=10".
inline void SetFault(const StandinProcess& proxy, const std::string& fault) {
  ASSERT_EQ(Post(proxy.control, "/control/fault?fault=" + fault).status, 200);
}

// Loses what the nodes of `zone` would hear from the others. All nodes stand behind fault proxies.
inline void CutTowardsZone(LocalFleet& fleet, const std::string& zone) {
  for (const auto& node : fleet.nodes()) {
    if (node.plan.zone == zone) SetFault(node.proxy, "cut&except_from=" + fleet.ZoneIp(zone));
  }
}

// Loses what the others would hear from the nodes of `zone`.
inline void CutFromZone(LocalFleet& fleet, const std::string& zone) {
  for (const auto& node : fleet.nodes()) {
    if (node.plan.zone != zone) SetFault(node.proxy, "cut&only_from=" + fleet.ZoneIp(zone));
  }
}

// Ends the faults of all nodes' proxies.
inline void HealNodes(LocalFleet& fleet) {
  for (const auto& node : fleet.nodes()) SetFault(node.proxy, "none");
}

// Stops a process for as long as this lives.
class Paused {
 public:
  explicit Paused(ChildProcess& process) : process_(process) { process_.Signal(SIGSTOP); }
  ~Paused() { process_.Signal(SIGCONT); }
  Paused(const Paused&) = delete;
  Paused& operator=(const Paused&) = delete;

 private:
  ChildProcess& process_;
};

}  // namespace copperlead::standin
