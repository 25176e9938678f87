#include "routing/router_core.h"

#include <algorithm>
#include <utility>

#include "routing/site_split.h"

namespace copperlead {
namespace {

// Minimum time between two probes of an unavailable back end.
constexpr Duration kProbeInterval = Milliseconds(250);

// @return the number of live nodes in the platform's list, which a partition between nodes does not
//         reduce.
std::size_t CountListedNodes(const RoutingSnapshot& snapshot) {
  if (!snapshot.machines) return 0;
  const auto& machines = snapshot.machines->machines;
  return static_cast<std::size_t>(
      std::count_if(machines.begin(), machines.end(), [](const Machine& machine) {
        return machine.kind == MachineKind::kNode && machine.state == MachineState::kLive;
      }));
}

bool AnyAcceptsNewWork(const std::vector<EndpointSlot>& site, Timestamp now) {
  return std::any_of(site.begin(), site.end(),
                     [&](const EndpointSlot& slot) { return AcceptsNewWork(*slot.state, now); });
}

// @return true for an answer that reports a fault of the back end or of a server behind it.
bool IsGatewayFailure(int status) { return status >= 502 && status <= 504; }

}  // namespace

RouterCore::RouterCore(const RouterSettings& settings, std::uint64_t seed,
                       std::shared_ptr<const RetryPolicy> policy)
    : settings_(settings),
      policy_(policy ? std::move(policy) : std::make_shared<StandardRetryPolicy>()),
      seed_(seed),
      picker_(seed),
      budget_(settings.retry_budget_share, settings.retry_budget_floor) {}

void RouterCore::Publish(Timestamp now, RoutingSnapshotPointer snapshot) {
  RouterViewPointer replaced;  // Destroyed after the lock is released.
  const std::size_t listed_nodes = CountListedNodes(*snapshot);
  const std::lock_guard publish_lock(publish_mutex_);
  RouterViewPointer view = store_.Join(now, std::move(snapshot));
  const std::lock_guard lock(mutex_);
  store_.MarkListed(*view);
  listed_nodes_ = listed_nodes;
  replaced = std::exchange(view_, std::move(view));
  UpdateDivisor(now);
}

RoutingSnapshotPointer RouterCore::snapshot() const {
  const std::lock_guard lock(mutex_);
  return view_ ? view_->snapshot : nullptr;
}

void RouterCore::SetLiveNodes(Timestamp now, std::size_t live_nodes,
                              std::optional<std::size_t> node_rank) {
  const std::lock_guard lock(mutex_);
  live_nodes_ = live_nodes;
  node_rank_ = node_rank;
  UpdateDivisor(now);
}

void RouterCore::UpdateDivisor(Timestamp now) {
  divisor_.Observe(now, std::max(live_nodes_, listed_nodes_));
}

void RouterCore::SetDraining() {
  const std::lock_guard lock(mutex_);
  draining_ = true;
}

RouterCounters RouterCore::counters() const {
  const std::lock_guard lock(mutex_);
  return counters_;
}

std::uint64_t RouterCore::in_flight() const {
  const std::lock_guard lock(mutex_);
  return in_flight_;
}

Admission RouterCore::Admit(Timestamp now) {
  const std::lock_guard lock(mutex_);
  ++counters_.requests;
  budget_.CountRequest(now);
  return {view_, draining_};
}

FleetShare RouterCore::ShareOf(Timestamp now, const RouteLimits& limits) {
  FleetShare share;
  share.divisor = divisor_.Value(now);
  share.rank = (node_rank_.value_or(seed_ % share.divisor) + limits.path_hash) % share.divisor;
  return share;
}

std::optional<ErrorKind> RouterCore::Acquire(Timestamp now, const RouteView& route) {
  const std::lock_guard lock(mutex_);
  RouteLimits& limits = *route.limits;
  const FleetShare share = ShareOf(now, limits);
  if (!limits.in_flight.TryAcquire(route.row->max_in_flight, share)) {
    return ErrorKind::kInFlightLimited;
  }
  if (!limits.rate.TryAcquire(now, route.row->requests_per_second, share)) {
    limits.in_flight.Release();
    return ErrorKind::kRateLimited;
  }
  ++in_flight_;
  return std::nullopt;
}

void RouterCore::Release(const RouteView& route) {
  const std::lock_guard lock(mutex_);
  route.limits->in_flight.Release();
  --in_flight_;
}

std::optional<ChosenEndpoint> RouterCore::Choose(Timestamp now, const RouterView& view,
                                                 const ChoiceFacts& facts) {
  const ServiceView& service = *facts.route->service;
  PickFacts pick_facts;
  pick_facts.slots_per_instance = service.slots_per_instance;
  pick_facts.zone = view.snapshot->fleet.zone;
  pick_facts.load_freshness = settings_.load_freshness;
  pick_facts.slow_start = settings_.slow_start;
  pick_facts.tried = facts.tried;
  pick_facts.allow_tried = facts.allow_tried;

  const std::lock_guard lock(mutex_);
  const SiteAvailability available = {AnyAcceptsNewWork(service.old_site, now),
                                      AnyAcceptsNewWork(service.new_site, now)};
  auto site = ChooseSite(*facts.route->row, facts.split_share, available);
  // When neither site is available, a back end of the request's own site may be probed.
  if (!site) site = ChooseSite(*facts.route->row, facts.split_share, {true, true});
  if (!site) return std::nullopt;
  const auto picked = picker_.Pick(now, service.At(*site), pick_facts);
  if (!picked) return std::nullopt;
  ++picked->slot->state->in_flight;
  if (picked->probe) picked->slot->state->next_probe = now + kProbeInterval;
  return ChosenEndpoint{*picked->slot, &service.At(*site), picked->keep_connection, picked->probe};
}

void RouterCore::EndAttempt(Timestamp now, const ChosenEndpoint& chosen, AttemptResult result,
                            const AnswerHead* head) {
  const std::lock_guard lock(mutex_);
  EndpointState& state = *chosen.slot.state;
  switch (result) {
    case AttemptResult::kConnectFailed:
      state.leaving.RecordConnectFailed(now);
      break;
    case AttemptResult::kLostAfterWrite:
    case AttemptResult::kTimeoutAfterWrite:
      RecordFailure(now, chosen);
      break;
    case AttemptResult::kNothingWritten:  // An idle connection had been closed: no sign of a fault.
    case AttemptResult::kDeadlineAfterWrite:  // Caused by the caller, like the next one.
    case AttemptResult::kCallerGone:
      break;
    case AttemptResult::kRefused:
    case AttemptResult::kAnsweredNotRun:
    case AttemptResult::kAnswered:
      RecordHead(now, chosen, result, *head);
      return;
  }
  --state.in_flight;
}

void RouterCore::RecordHead(Timestamp now, const ChosenEndpoint& chosen, AttemptResult result,
                            const AnswerHead& head) {
  EndpointState& state = *chosen.slot.state;
  if (head.load_in_flight) state.load.Record(now, *head.load_in_flight, state.in_flight);
  if (result == AttemptResult::kRefused) {
    if (ClassifyRefusal(head) == RefusalKind::kDraining) {
      state.leaving.RecordDraining(now);
    } else {
      state.shedding.Trigger(now);
    }
    return;
  }
  state.leaving.RecordAnswer(now, chosen.probe);
  state.shedding.Reset();
  if (IsGatewayFailure(head.status)) {
    RecordFailure(now, chosen);
  } else {
    state.failures.RecordSuccess();
    if (chosen.probe) state.failures.EndEjection(now);
  }
}

void RouterCore::RecordFailure(Timestamp now, const ChosenEndpoint& chosen) {
  FailureStreak& failures = chosen.slot.state->failures;
  failures.RecordFailure();
  if (failures.IsEjected(now) || failures.failures() < settings_.ejection_failures) return;
  std::size_t back_ends = 0;
  std::size_t unavailable = 0;
  for (const EndpointSlot& slot : *chosen.site) {
    if (!slot.state->listed_live) continue;
    ++back_ends;
    if (slot.state->failures.IsEjected(now) || slot.state->leaving.IsLeaving(now)) ++unavailable;
  }
  if (!MayEject(back_ends, unavailable, settings_.ejection_limit)) return;
  failures.Eject(now + settings_.ejection_time);
  ++counters_.ejections;
}

void RouterCore::FreeSlot(const ChosenEndpoint& chosen) {
  const std::lock_guard lock(mutex_);
  --chosen.slot.state->in_flight;
}

bool RouterCore::IsStillUsable(Timestamp now, const ChosenEndpoint& chosen) const {
  const std::lock_guard lock(mutex_);
  return AcceptsNewWork(*chosen.slot.state, now);
}

bool RouterCore::TrySpendRetry(Timestamp now) {
  const std::lock_guard lock(mutex_);
  if (!budget_.TrySpendRetry(now)) {
    ++counters_.retries_denied;
    return false;
  }
  ++counters_.retries;
  return true;
}

void RouterCore::CountRefusal(ErrorKind kind) {
  const std::lock_guard lock(mutex_);
  ++counters_.refused[static_cast<std::size_t>(kind)];
}

}  // namespace copperlead
