// A small fleet of Agents in virtual time, with one source, links that can lose, delay, duplicate
// and block messages, and checks after every activation. Meant for up to a few tens of nodes.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "distribution/agent.h"
#include "distribution/random_source.h"

namespace copperlead {

inline constexpr std::string_view kTestHeader =
    "service,route,old_weight,new_weight,timeout_ms,requests_per_second,max_in_flight,max_retries,"
    "repeatable,secret\n";

// A configuration as the source serves it: one route, its weight and the value of its secret.
struct TestEdit {
  std::uint64_t revision = 1;
  int new_weight = 0;
  std::string secret = "first";  // Empty if the source lacks the secret that the table names.
  bool faulty = false;           // Weights that do not sum to 100.
};
std::shared_ptr<const ConfigurationDocument> MakeDocument(const TestEdit& edit);

// One node and its current agent.
struct TestNode {
  std::string id;
  std::string zone;
  SocketAddress address;
  std::vector<SocketAddress> contacts;
  AgentSettings settings;
  std::unique_ptr<Agent> agent;
  std::uint64_t generation = 0;  // Rises at each start and kill; older events are dropped.
  Timestamp timer{};             // Time when the next TimerFired is due.
  bool paused = false;
  std::vector<Event> backlog;              // Events that arrived during the pause.
  std::vector<BundlePointer> activations;  // Activations since the last start.
  std::vector<Report> reports;
  std::uint64_t source_reads = 0;
};

class TestFleet {
 public:
  explicit TestFleet(std::uint64_t seed) : random_(seed), seed_(seed) { PublishMachines(1); }

  // Adds a node "zone/number" whose contacts are the first nodes added, and starts it.
  TestNode& Add(const std::string& zone, const AgentSettings& settings);
  // Adds a node with the given contacts instead.
  TestNode& Add(const std::string& zone, const AgentSettings& settings,
                const std::vector<SocketAddress>& contacts);
  void Fill(std::size_t zones, std::size_t nodes_per_zone, const AgentSettings& settings);
  // Restarts a node without any state.
  void Restart(const std::string& id);
  void Kill(const std::string& id);
  void Pause(const std::string& id);
  void Resume(const std::string& id);
  // Passes an event to a node at once.
  void Deliver(const std::string& id, const Event& event);

  void Publish(const TestEdit& edit) { Publish(MakeDocument(edit)); }
  void Publish(std::shared_ptr<const ConfigurationDocument> document);

  // Publishes a list of all nodes added so far.
  void PublishMachines(std::uint64_t sequence);

  void RunFor(Duration duration);
  // @return true when the condition became true within the limit.
  bool RunUntil(const std::function<bool()>& condition, Duration limit);
  bool AllRun(std::uint64_t revision) const;
  std::vector<std::string> IdsOf(const std::string& zone) const;
  TestNode& node(const std::string& id) { return *nodes_.at(id); }
  std::map<std::string, std::unique_ptr<TestNode>>& nodes() { return nodes_; }
  Timestamp now() const { return now_; }
  std::size_t CountReports(ErrorKind kind) const;
  static std::size_t CountReports(const TestNode& node, ErrorKind kind);

  // --- Faults ---
  double loss = 0.0;
  Duration max_delay = Milliseconds(5);  // Random delays up to this reorder messages.
  double duplicates = 0.0;
  bool source_down = false;
  std::set<std::string> without_source;  // Nodes whose reads fail.
  // Returns whether a message may pass, by the ids of sender and receiver.
  std::function<bool(const std::string&, const std::string&)> link = [](const auto&, const auto&) {
    return true;
  };
  // Returns whether a message may pass, also by its content. If null, all messages filter.
  std::function<bool(const std::string&, const std::string&, const Message&)> filter;
  // Documents that the source serves to the nodes of a zone instead of the latest published one.
  std::map<std::string, std::shared_ptr<const ConfigurationDocument>> stale_zones;
  // Called for every message that is sent.
  std::function<void(const TestNode& from, const SocketAddress& to, const Message&)> on_send;

  std::uint64_t document_answers = 0;   // Configuration reads answered with a document.
  std::uint64_t total_reads = 0;        // Configuration reads.
  std::uint64_t total_documents = 0;    // Reads of either stream answered with a document.
  std::vector<std::string> violations;  // Violations of the rules that must always hold.

 private:
  struct Scheduled {
    Timestamp when;
    std::uint64_t order;
    std::string node;
    std::uint64_t generation;
    std::function<Event()> make;  // Null for a timer.
    bool operator<(const Scheduled& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };

  void Start(TestNode& node);
  void Schedule(Timestamp when, const TestNode& node, std::function<Event()> make);
  void Step(TestNode& node, const Event& event);
  void Execute(TestNode& node, const Action& action);
  void Transmit(const TestNode& from, const SendMessage& send);
  void Fetch(TestNode& node, const FetchFromSource& fetch);
  void CheckActivation(TestNode& node, const BundlePointer& bundle);
  bool RunNext(Timestamp limit);
  SourceAnswered Answer(const std::string& id, const FetchFromSource& fetch) const;

  RandomSource random_;
  std::uint64_t seed_;
  Timestamp now_ = Timestamp(std::chrono::hours(1));
  std::uint64_t order_ = 0;
  std::priority_queue<Scheduled> queue_;
  std::map<std::string, std::unique_ptr<TestNode>> nodes_;
  std::map<SocketAddress, std::string> by_address_;
  std::vector<SocketAddress> first_contacts_;
  std::shared_ptr<const ConfigurationDocument> document_;
  std::string etag_;
  std::uint64_t publications_ = 0;
  MachineListPointer machines_;
};

}  // namespace copperlead
