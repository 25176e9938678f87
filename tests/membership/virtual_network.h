// A simulated network in virtual time for Membership objects, with loss, delay, duplication,
// partitions, crashes, restarts and pauses. The same seed gives the same run.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "membership/membership.h"
#include "membership/random.h"

namespace copperlead {

struct NetworkSettings {
  double loss = 0;         // Share of messages lost.
  double duplication = 0;  // Share of messages delivered twice.
  Duration min_delay = std::chrono::microseconds(500);
  Duration max_delay = std::chrono::microseconds(2500);  // The range of delays reorders messages.
  std::uint64_t seed = 1;
};

class VirtualNetwork {
 public:
  VirtualNetwork(const MembershipSettings& settings, const NetworkSettings& network);

  // Starts `count` nodes in `zones` zones, with ids from "n0000". Each has the first three as
  // contacts.
  void StartFleet(std::size_t count, std::size_t zones);
  // Starts `count` nodes that already know each other from the platform's list.
  void StartSeededFleet(std::size_t count, std::size_t zones);

  void Start(std::size_t index, std::uint32_t incarnation);  // Also restarts a node.
  void Crash(std::size_t index);
  void Pause(std::size_t index);   // Messages to the node are queued meanwhile.
  void Resume(std::size_t index);  // Delivers the queued messages, then joins again.
  void Leave(std::size_t index);

  // True when messages from the first to the second node (by index) are dropped.
  using IsPartitioned = std::function<bool(std::size_t from, std::size_t to)>;
  void SetPartition(IsPartitioned partition) { is_partitioned_ = std::move(partition); }

  void RunFor(Duration duration);
  // Runs until `condition`, which is checked every 100 ms, holds or `limit` has passed.
  // @return the time that has passed, at least `limit` when the condition never held.
  Duration RunUntil(const std::function<bool()>& condition, Duration limit);

  Timestamp now() const { return now_; }
  std::size_t size() const { return nodes_.size(); }
  bool running(std::size_t index) const { return nodes_[index].membership != nullptr; }
  Membership& at(std::size_t index) { return *nodes_[index].membership; }

  // State of node `subject` as seen by node `observer`; kDead when it is not known.
  MemberState StateAt(std::size_t observer, std::size_t subject);
  // True when every running node sees all running nodes alive and counts `count` live nodes.
  bool AllAlive(std::size_t count);
  // True when all running nodes have the same membership hash.
  bool HashesAgree();
  // True when every other running node regards `subject` as dead.
  bool DeadEverywhere(std::size_t subject);
  // Number of pairs in which one running node regards another as dead, without pairs that include
  // `excluded`.
  std::size_t FalseDeaths(std::size_t excluded = SIZE_MAX);
  // Sum of the incarnations of all running nodes.
  std::uint32_t IncarnationSum();

  std::uint64_t messages_sent() const { return messages_sent_; }
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  void ResetCounters();

 private:
  struct Node {
    std::unique_ptr<Membership> membership;
    MemberRecord identity;
    std::vector<SocketAddress> contacts;
    // Changes when a new timer replaces the scheduled one, which is then ignored.
    std::uint64_t timer_generation = 0;
    bool paused = false;
    std::vector<std::pair<SocketAddress, std::shared_ptr<const Message>>> queued_messages;
  };
  struct Event {
    Timestamp when{};
    std::uint64_t sequence = 0;
    std::size_t node = 0;
    std::uint64_t timer_generation = 0;  // Node::timer_generation when a timer was set.
    SocketAddress from;
    std::shared_ptr<const Message> message;  // Null for a timer.

    bool operator>(const Event& other) const {
      return when != other.when ? when > other.when : sequence > other.sequence;
    }
  };

  void AddNode(std::size_t index, std::size_t zones);
  void Send(std::size_t from, const std::vector<OutgoingMessage>& messages);
  void Deliver(std::size_t from, std::size_t to, const std::shared_ptr<const Message>& message);
  void ScheduleTimer(std::size_t index);
  void Process(const Event& event);
  double Chance() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }

  MembershipSettings settings_;
  NetworkSettings network_;
  RandomEngine random_;
  Timestamp now_{std::chrono::seconds(1000)};
  std::uint64_t sequence_ = 0;
  std::vector<Node> nodes_;
  std::map<SocketAddress, std::size_t> by_address_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  IsPartitioned is_partitioned_;
  std::uint64_t messages_sent_ = 0;
  std::uint64_t bytes_sent_ = 0;
};

}  // namespace copperlead
