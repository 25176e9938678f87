// The demo: Avlak's four zones with two nodes each on loopback, shown through a migration step.
#pragma once

#include <functional>
#include <string>

#include "standin/local_fleet.h"

namespace copperlead::standin {

// Runs the steps in order and prints what each shows. A step that does not show what it should
// throws std::runtime_error.
class Demo {
 public:
  explicit Demo(const std::string& binaries) : fleet_(binaries) {}

  void StartFleet();
  void CarryRequests();
  void EditCell();
  void RefuseBadEdit();
  void KillSource();
  void DrainNodes();
  void PrintSummary() const;

 private:
  // Figures for the summary.
  struct Figures {
    double start_ms = 0;
    double first_node_ms = 0;  // From the edit's publication until one node runs it.
    double all_nodes_ms = 0;   // The same until all nodes run it.
    double edit_bytes = 0;     // Sent by all nodes in that time.
    double quiet_bytes_per_node_per_second = 0;
  };

  void PlanTable();
  void StartBackends();
  // Throws, with the logs' folder kept, unless `condition` holds in time.
  void Expect(const std::string& what, const std::function<bool()>& condition);
  // Sends with a fresh request id; throws unless the answer is whole and 200.
  HttpAnswer Request(const LocalNode& node, const std::string& method, const std::string& path,
                     const std::string& body = "");
  std::string SiteOfAnswer(const HttpAnswer& answer) const;
  void MeasureQuiet();

  LocalFleet fleet_;
  Figures figures_;
  int request_number_ = 0;
};

}  // namespace copperlead::standin
