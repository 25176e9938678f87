// A hollow node: the deciding code and the real sockets of a daemon, without its proxy. Thousands
// fit into one process, as the nodes of a process share a few threads.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/address.h"
#include "distribution/agent.h"
#include "source/source_client.h"
#include "transport/reactor.h"
#include "transport/transport.h"

namespace copperlead {

struct HollowNodeSettings {
  std::string id;
  std::string zone;
  SocketAddress listen;
  std::vector<SocketAddress> contacts;
  std::optional<SocketAddress> source;
  FleetKeys keys;
  AgentSettings agent;
  std::uint64_t seed = 0;
};

// What one node came to, for the report.
struct HollowNodeState {
  DocumentVersion running;
  std::size_t live_members = 0;
  std::uint64_t source_reads = 0;
  bool is_reader = false;
  bool ready = false;
};

class HollowNode : public std::enable_shared_from_this<HollowNode> {
 public:
  // Called on the reactor's thread when the node activates a configuration.
  using ActivationListener = std::function<void(const DocumentVersion& version, Timestamp when)>;

  // @param reactor may be shared by many nodes; each node runs on its thread only.
  HollowNode(HollowNodeSettings settings, std::shared_ptr<Reactor> reactor,
             ActivationListener listener);

  // Binds the node's sockets and starts it. Call once.
  // @return kAddressInUse naming the address.
  Result<Done> Start();
  // Stops without a farewell, as a killed process would. Not from the reactor's thread.
  void Stop();

  // After Start().
  SocketAddress address() const { return transport_->local_address(); }
  const TransportCounters& counters() const { return transport_->counters(); }
  // Any thread but the reactor's.
  HollowNodeState State();

 private:
  void StartAgent();
  void Step(const Event& event);
  void CarryOut(const Action& action);
  void Fetch(const FetchFromSource& request);
  void ScheduleTimer();
  void OnTimer(Timestamp scheduled);

  const HollowNodeSettings settings_;
  const std::shared_ptr<Reactor> reactor_;
  const ActivationListener listener_;
  std::unique_ptr<Transport> transport_;
  // Of the reactor's thread.
  std::unique_ptr<Agent> agent_;
  std::unique_ptr<SourceClient> source_;  // Made at the first fetch: few nodes ever read.
  std::optional<Timestamp> next_timer_;
};

}  // namespace copperlead
