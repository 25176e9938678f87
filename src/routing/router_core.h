// The state that all requests of a node share, behind one mutex: limits, back ends, budget,
// counters. A second one keeps publishers apart while they prepare a view. Sessions hold the
// per-request part.
#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>

#include "routing/endpoint_picker.h"
#include "routing/fleet_share.h"
#include "routing/request_router.h"
#include "routing/retry_budget.h"
#include "routing/retry_policy.h"
#include "routing/router_view.h"

namespace copperlead {

// What a session may start with.
struct Admission {
  RouterViewPointer view;  // Null: no snapshot yet.
  bool draining = false;
};

// A back end chosen for an attempt, with its in-flight slot taken: give it back by EndAttempt().
struct ChosenEndpoint {
  EndpointSlot slot;
  const std::vector<EndpointSlot>* site = nullptr;  // That it was chosen from.
  bool keep_connection = true;
  bool probe = false;
};

// Where a request goes, and where it has been.
struct ChoiceFacts {
  const RouteView* route = nullptr;
  std::uint32_t split_share = 0;  // See SplitShare().
  std::vector<const EndpointState*> tried;
  bool may_return = false;  // A tried back end may be tried again.
};

// Thread-safe: any thread may call any method.
class RouterCore {
 public:
  RouterCore(const RouterSettings& settings, std::uint64_t seed,
             std::shared_ptr<const RetryPolicy> policy);

  void Publish(Timestamp now, RoutingSnapshotPointer snapshot);
  RoutingSnapshotPointer snapshot() const;
  void SetLiveNodes(Timestamp now, std::size_t live_nodes, std::optional<std::size_t> node_rank);
  void SetDraining();
  RouterCounters counters() const;
  std::uint64_t in_flight() const;
  const RetryPolicy& policy() const { return *policy_; }

  // Counts the request, whether it will be refused or not.
  Admission Admit(Timestamp now);
  // Takes the route's limits. @return the refusal; nothing when taken: give them back by Release().
  std::optional<ErrorKind> Acquire(Timestamp now, const RouteView& route);
  void Release(const RouteView& route);
  // @return nothing when no back end may get the request now.
  std::optional<ChosenEndpoint> Choose(Timestamp now, const RouterView& view,
                                       const ChoiceFacts& facts);
  // Ends an attempt and learns from how it ended. Frees the in-flight slot unless the answer is
  // being relayed: then FreeSlot() follows.
  void EndAttempt(Timestamp now, const ChosenEndpoint& chosen, AttemptEnd end,
                  const AnswerHead* head);
  void FreeSlot(const ChosenEndpoint& chosen);
  // @return true while the back end may still get something new.
  bool MayStillUse(Timestamp now, const ChosenEndpoint& chosen) const;
  // @return true when the budget has a retry, which is then spent.
  bool TakeRetry(Timestamp now);
  void CountRefusal(ErrorKind kind);

 private:
  FleetShare ShareOf(Timestamp now, const RouteLimits& limits);
  void UpdateDivisor(Timestamp now);
  void RecordFailure(Timestamp now, const ChosenEndpoint& chosen);
  void RecordHead(Timestamp now, const ChosenEndpoint& chosen, AttemptEnd end,
                  const AnswerHead& head);

  const RouterSettings settings_;
  const std::shared_ptr<const RetryPolicy> policy_;
  const std::uint64_t seed_;

  std::mutex publish_mutex_;  // Taken before mutex_; guards store_.
  StateStore store_;
  mutable std::mutex mutex_;  // Guards everything below, and the states that views point to.
  RouterViewPointer view_;
  EndpointPicker picker_;
  RetryBudget budget_;
  FleetDivisor divisor_;
  std::size_t live_nodes_ = 1;    // By the membership view.
  std::size_t listed_nodes_ = 0;  // By the platform's list.
  std::optional<std::size_t> node_rank_;
  bool draining_ = false;
  RouterCounters counters_;
  std::uint64_t in_flight_ = 0;
};

}  // namespace copperlead
