// The nodes, back ends and source of a demo or a test, as processes on loopback.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standin/documents.h"
#include "standin/http_client.h"
#include "standin/node_view.h"
#include "standin/workplace.h"

namespace copperlead::standin {

// A node and its process; the process is null while the node is down.
struct LocalNode {
  NodePlan plan;
  std::unique_ptr<ChildProcess> process;
  StandinProcess proxy;  // Before its peer address; its process is null without one.

  // Where other nodes reach it.
  const SocketAddress& peer_address() const {
    return plan.peer_advertise.empty() ? plan.peer_listen : plan.peer_advertise;
  }
};

// A back end. Callers reach it at `address`: its own, or that of the fault proxy before it.
struct LocalBackend {
  std::string id;
  StandinProcess standin;
  StandinProcess proxy;  // Its process is null without a fault proxy.
  SocketAddress address;
};

// What a back end is started with.
struct BackendPlan {
  std::string id;
  std::string service;
  std::string site = "old";
  std::string zone = "ank-a";
  bool behind_proxy = false;
  std::vector<std::string> arguments;  // Further flags of `copperlead-standin backend`.
};

// Not thread-safe; Call and the views may be used by any thread once all is started.
class LocalFleet {
 public:
  explicit LocalFleet(const std::string& binaries);
  // Ends every process, nodes first.
  ~LocalFleet();
  LocalFleet(const LocalFleet&) = delete;
  LocalFleet& operator=(const LocalFleet&) = delete;

  Workplace& workplace() { return workplace_; }
  // Where the source listens, also before it is started.
  const SocketAddress& source_address() const { return source_address_; }

  // Starts a back end and adds it to machines().
  LocalBackend& AddBackend(const BackendPlan& plan);
  // Starts the source with configuration() and machines() as they are now.
  void StartSource();
  // Plans a node of `zone` and adds it to machines(); all planned nodes are each other's contacts.
  // The nodes of one zone share an IP. `behind_proxy` lets peers reach it through a fault proxy.
  LocalNode& AddNode(const std::string& id, const std::string& zone, bool reads_source,
                     bool behind_proxy = false);
  // The IP of a zone's nodes.
  std::string ZoneIp(const std::string& zone);
  // Starts the nodes that are down.
  void StartNodes();

  // Documents that the next Publish... makes current.
  ConfigurationPlan& configuration() { return configuration_; }
  MachineListPlan& machines() { return machines_; }
  MachinePlan& Machine(const std::string& id);
  // Put the documents at the source, with the next revision or sequence.
  void PublishConfiguration();
  void PublishMachines();
  // Puts a body as it is.
  void PutConfiguration(const std::string& body) const;

  std::vector<LocalNode>& nodes() { return nodes_; }
  LocalNode& Node(const std::string& id);
  LocalBackend& Backend(const std::string& id);
  std::vector<std::unique_ptr<LocalBackend>>& backends() { return backends_; }
  StandinProcess& source() { return source_; }

  // @return whether each running node is ready and runs `revision`.
  bool AllRun(std::uint64_t revision) const;
  // @return whether each running node counts all running nodes alive and uses the machine list.
  bool AllSeeEachOther() const;
  // @return the sum of a metric over the running nodes.
  double SumOfMetric(const std::string& name) const;

 private:
  int NetworkOf(const std::string& zone);

  Workplace workplace_;
  std::string key_file_;
  SocketAddress source_address_;
  ConfigurationPlan configuration_;
  MachineListPlan machines_;
  StandinProcess source_;
  std::vector<std::unique_ptr<LocalBackend>> backends_;
  std::vector<LocalNode> nodes_;
  std::vector<std::string> zones_;
};

}  // namespace copperlead::standin
