// A seeded network in virtual time that drives Membership objects: loss, delay, duplication, cuts,
// crashes, restarts and pauses. Same seed, same run.
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
  Duration shortest_delay = std::chrono::microseconds(500);
  Duration longest_delay = std::chrono::microseconds(2500);  // Spread makes messages cross.
  std::uint64_t seed = 1;
};

class VirtualNetwork {
 public:
  VirtualNetwork(const MembershipSettings& settings, const NetworkSettings& network);

  // Starts `count` nodes in `zones` zones, "n0000" onwards; each knows the first three as contacts.
  void StartFleet(std::size_t count, std::size_t zones);
  // Starts all of them as if they had known each other for long (by the platform's list).
  void StartSeededFleet(std::size_t count, std::size_t zones);

  void Start(std::size_t index, std::uint32_t incarnation);  // Also restarts.
  void Crash(std::size_t index);
  void Pause(std::size_t index);  // Messages wait in its socket.
  void Wake(std::size_t index);   // Delivers what waited, then joins again.
  void Leave(std::size_t index);

  // True when messages from the first to the second node (by index) are dropped.
  using Cut = std::function<bool(std::size_t from, std::size_t to)>;
  void SetCut(Cut cut) { cut_ = std::move(cut); }

  void RunFor(Duration duration);
  // Runs until `condition` holds, checked each 100 ms.
  // @return the time it took; `limit` when it never held.
  Duration RunUntil(const std::function<bool()>& condition, Duration limit);

  Timestamp now() const { return now_; }
  std::size_t size() const { return nodes_.size(); }
  bool running(std::size_t index) const { return nodes_[index].membership != nullptr; }
  Membership& at(std::size_t index) { return *nodes_[index].membership; }

  // Node `observer`'s view of node `subject`; kDead when unknown.
  MemberState StateAt(std::size_t observer, std::size_t subject);
  // True when every running node sees every running node alive, and `count` of them.
  bool AllAlive(std::size_t count);
  // True when all running nodes have the same membership hash.
  bool HashesAgree();
  // True when every running node holds `subject` dead.
  bool DeadEverywhere(std::size_t subject);
  // Number of pairs in which one running node holds another dead, without those of `excluded`.
  std::size_t FalseDeaths(std::size_t excluded = SIZE_MAX);
  // Sum of the incarnations of the running nodes.
  std::uint32_t IncarnationSum();

  std::uint64_t messages_sent() const { return messages_sent_; }
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  void ResetCounters();

 private:
  struct Node {
    std::unique_ptr<Membership> membership;
    MemberRecord identity;
    std::vector<SocketAddress> contacts;
    std::uint64_t life = 0;  // Changes with each start, so old timers are void.
    bool paused = false;
    std::vector<std::pair<SocketAddress, std::shared_ptr<const Message>>> waiting;
  };
  struct Event {
    Timestamp when{};
    std::uint64_t sequence = 0;
    std::size_t node = 0;
    std::uint64_t life = 0;  // Of a timer.
    SocketAddress from;
    std::shared_ptr<const Message> message;  // Null: a timer.

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
  Cut cut_;
  std::uint64_t messages_sent_ = 0;
  std::uint64_t bytes_sent_ = 0;
};

}  // namespace copperlead
