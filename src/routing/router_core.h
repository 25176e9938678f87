// The state that all requests of a node share, guarded by one mutex: limits, back ends, retry
// budget and counters. A second mutex serializes publishers while they prepare a view. Sessions
// hold the state of each request.
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

// The shared state that a session starts with.
struct Admission {
  RouterViewPointer view;  // Null: no snapshot yet.
  bool draining = false;
};

// A back end chosen for an attempt. It holds an in-flight slot, which EndAttempt() releases, or
// FreeSlot() after an answer.
struct ChosenEndpoint {
  EndpointSlot slot;
  const std::vector<EndpointSlot>* site = nullptr;  // The back ends it was chosen from.
  bool keep_connection = true;
  bool probe = false;
};

// The route of a request, and the back ends that it was sent to.
struct ChoiceFacts {
  const RouteView* route = nullptr;
  std::uint32_t split_share = 0;  // Result of SplitShare().
  std::vector<const EndpointState*> tried;
  bool allow_tried = false;  // A tried back end may be chosen again.
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

  // Counts the request, whether or not it is refused later.
  Admission Admit(Timestamp now);
  // Acquires the route's limits; on success Release() must follow. @return the refusal; nothing on
  // success.
  std::optional<ErrorKind> Acquire(Timestamp now, const RouteView& route);
  void Release(const RouteView& route);
  // Chooses a back end. @return nothing when no back end may get the request now.
  std::optional<ChosenEndpoint> Choose(Timestamp now, const RouterView& view,
                                       const ChoiceFacts& facts);
  // Ends an attempt and updates the back end's state by the result. Frees the in-flight slot,
  // unless there was an answer: then FreeSlot() must follow.
  void EndAttempt(Timestamp now, const ChosenEndpoint& chosen, AttemptResult result,
                  const AnswerHead* head);
  void FreeSlot(const ChosenEndpoint& chosen);
  // @return true while the back end may still get new requests.
  bool IsStillUsable(Timestamp now, const ChosenEndpoint& chosen) const;
  // @return true, having spent a retry, when the budget has one.
  bool TrySpendRetry(Timestamp now);
  void CountRefusal(ErrorKind kind);

 private:
  FleetShare ShareOf(Timestamp now, const RouteLimits& limits);
  void UpdateDivisor(Timestamp now);
  void RecordFailure(Timestamp now, const ChosenEndpoint& chosen);
  void RecordHead(Timestamp now, const ChosenEndpoint& chosen, AttemptResult result,
                  const AnswerHead& head);

  const RouterSettings settings_;
  const std::shared_ptr<const RetryPolicy> policy_;
  const std::uint64_t seed_;

  std::mutex publish_mutex_;  // Locked before mutex_; guards store_.
  StateStore store_;
  mutable std::mutex mutex_;  // Guards everything below, and the states that views point to.
  RouterViewPointer view_;
  EndpointPicker picker_;
  RetryBudget budget_;
  FleetDivisor divisor_;
  std::size_t live_nodes_ = 1;    // Number by the membership view.
  std::size_t listed_nodes_ = 0;  // Number by the platform's list.
  std::optional<std::size_t> node_rank_;
  bool draining_ = false;
  RouterCounters counters_;
  std::uint64_t in_flight_ = 0;
};

}  // namespace copperlead
