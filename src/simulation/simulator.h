// The discrete-event simulation: agents, network, source and checks under one virtual clock.
//
// Scenarios drive it: they change the network, the source or the fleet and let virtual time run.
// Single-threaded; the same options give the same run.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "simulation/convergence.h"
#include "simulation/documents.h"
#include "simulation/event_queue.h"
#include "simulation/invariants.h"
#include "simulation/network_model.h"
#include "simulation/options.h"
#include "simulation/source_model.h"
#include "simulation/trace.h"
#include "simulation/traffic_meter.h"
#include "simulation/wire_size.h"

namespace copperlead::simulation {

// What the simulator knows of one node; a new life starts with a new agent.
struct SimulatedNode {
  std::unique_ptr<Agent> agent;  // Null while the node is down.
  std::uint32_t life = 0;        // Events of earlier lives are dropped.
  bool paused = false;
  std::vector<Event> inbox;  // Arrived while paused.
  std::optional<Timestamp> timer_at;
  std::uint64_t timer = 0;  // Number of the timer set last.
  Timestamp busy_until{};   // The node works on one message at a time.
  Timestamp started_at{};
  bool ready_seen = false;
  BundlePointer active;  // What its data path runs.
  MachineListPointer machines;

  bool running() const { return agent != nullptr && !paused; }
};

class Simulator {
 public:
  explicit Simulator(const SimulationOptions& options);

  const SimulationOptions& options() const { return options_; }
  const Topology& topology() const { return topology_; }
  Timestamp now() const { return now_; }
  // Virtual time since the start of the run.
  Duration elapsed() const;
  Random& random() { return random_; }
  NetworkModel& network() { return network_; }
  SourceModel& source() { return source_; }
  DocumentFactory& documents() { return documents_; }
  const InvariantChecker& checker() const { return checker_; }
  const TrafficMeter& traffic() const { return traffic_; }
  const ConvergenceTracker& convergence() const { return convergence_; }
  const ConvergenceTracker& machine_convergence() const { return machine_convergence_; }
  const DurationSamples& join_times() const { return join_times_; }
  const SimulatedNode& node(NodeIndex node) const { return nodes_[node]; }

  // Forgets samples taken so far (those of the start-up).
  void ResetMeasurements();

  // Lets virtual time pass.
  void RunFor(Duration duration);

  // Life cycle of nodes.
  void Start(NodeIndex node);
  void Crash(NodeIndex node);
  void StopInGoodOrder(NodeIndex node);  // Tells the agent to leave; crash it a little later.
  void Pause(NodeIndex node);
  void Wake(NodeIndex node);
  std::uint64_t starts() const { return starts_; }

  // Publishes at the source and starts measuring convergence to it.
  void PublishEdit(const PublishedConfiguration& configuration);
  void PublishMachines(const PublishedMachines& machines);
  // Ends all cuts and failures of the source; impaired nodes are measured from now.
  void Heal();

  // @return the live nodes that hold the reader role.
  std::vector<NodeIndex> Readers() const;
  // True when every live node is ready and runs the newest accepted version.
  bool Settled() const;
  // Checks that every running node has settled.
  void ExpectSettled();

 private:
  // Something that happens to a node.
  struct Occurrence {
    NodeIndex node = 0;
    // Timers and answers of the source end with the life that asked for them; messages reach
    // whichever process has the address by then.
    std::uint32_t life = kAnyLife;
    std::uint64_t timer = 0;  // Of TimerFired: only the timer set last counts.
    bool waited = false;      // Has waited its turn at a busy node.
    Event event;
  };
  static constexpr std::uint32_t kAnyLife = 0;

  void Dispatch(Occurrence occurrence);
  // True when the event is about the node's present life and not about a timer set anew.
  bool IsCurrent(const Occurrence& occurrence) const;
  // Gives the event to the node's agent, now or when it is no longer busy.
  void Deliver(Occurrence occurrence);
  void SetTimer(NodeIndex node, Timestamp when);
  void Step(NodeIndex node, const Event& event);
  void CarryOut(NodeIndex node, const SendMessage& action);
  void CarryOut(NodeIndex node, const FetchFromSource& action);
  void CarryOut(NodeIndex node, const ActivateBundle& action);
  void CarryOut(NodeIndex node, const ActivateMachines& action);
  void CarryOut(NodeIndex node, const Report& action);
  void ScheduleTimer(NodeIndex node);
  void NoteReady(NodeIndex node);
  WireSize SizeOf(const std::shared_ptr<const Message>& message);

  SimulationOptions options_;
  AgentSettings agent_settings_;
  Topology topology_;
  Timestamp now_;
  Random random_;
  NetworkModel network_;
  SourceModel source_;
  DocumentFactory documents_;
  InvariantChecker checker_;
  TrafficMeter traffic_;
  ConvergenceTracker convergence_;
  ConvergenceTracker machine_convergence_;
  DurationSamples join_times_;
  std::vector<SimulatedNode> nodes_;
  EventQueue<Occurrence> queue_;
  Trace trace_;
  std::uint64_t starts_ = 0;
  std::shared_ptr<const Message> last_sized_;  // Often sent to several peers in a row.
  WireSize last_size_;
};

}  // namespace copperlead::simulation
