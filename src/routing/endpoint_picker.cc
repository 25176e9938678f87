#include "routing/endpoint_picker.h"

#include <algorithm>
#include <limits>

namespace copperlead {
namespace {

constexpr double kMinSlowStartWeight = 0.05;
// Attempts to draw a back end that slow start doesn't reject; the last one drawn is used anyway.
constexpr int kMaxDraws = 4;

bool WasTried(const EndpointState* state, const PickFacts& facts) {
  return std::find(facts.tried.begin(), facts.tried.end(), state) != facts.tried.end();
}

// @return the limit of this node's attempts in flight at one back end, reduced in slow start.
std::uint32_t MaxInFlight(Timestamp now, const EndpointState& state, const PickFacts& facts) {
  if (facts.slots_per_instance == 0) return std::numeric_limits<std::uint32_t>::max();
  const double weight = SlowStartWeight(state, now, facts.slow_start);
  const double bound = weight * facts.slots_per_instance;
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(bound));
}

std::uint32_t Load(Timestamp now, const EndpointSlot& slot, const PickFacts& facts) {
  return slot.state->in_flight + slot.state->load.OthersInFlight(now, facts.load_freshness);
}

// @return true when `left` has the lower load, or the same load and is in this node's zone.
bool IsBetter(Timestamp now, const EndpointSlot& left, const EndpointSlot& right,
              const PickFacts& facts) {
  const std::uint32_t left_load = Load(now, left, facts);
  const std::uint32_t right_load = Load(now, right, facts);
  if (left_load != right_load) return left_load < right_load;
  return left.endpoint->zone == facts.zone;
}

}  // namespace

double SlowStartWeight(const EndpointState& state, Timestamp now, Duration slow_start) {
  const Timestamp start = std::max(state.first_seen, state.failures.ejected_until());
  if (start == Timestamp::min() || now >= start + slow_start) return 1;
  if (now < start) return 1;  // Only a probe considers an ejected back end; it is not weighted.
  const double share = std::chrono::duration<double>(now - start) / slow_start;
  return std::max(kMinSlowStartWeight, share);
}

EndpointPicker::Tier EndpointPicker::TierOf(Timestamp now, const EndpointSlot& slot,
                                            const PickFacts& facts) {
  const EndpointState& state = *slot.state;
  if (!state.listed_live) return Tier::kNever;
  const bool tried = WasTried(&state, facts);
  if (state.leaving.IsLeaving(now) || state.failures.IsEjected(now)) {
    return facts.tried.empty() && now >= state.next_probe ? Tier::kProbe : Tier::kNever;
  }
  if (state.in_flight >= MaxInFlight(now, state, facts)) return Tier::kFull;
  if (tried) return facts.allow_tried ? Tier::kTried : Tier::kNever;
  if (state.shedding.IsActive(now)) return Tier::kShedding;
  if (state.in_flight >= slot.endpoint->connection_share) return Tier::kOverShare;
  return Tier::kInShare;
}

std::optional<PickedEndpoint> EndpointPicker::Pick(Timestamp now,
                                                   const std::vector<EndpointSlot>& site,
                                                   const PickFacts& facts) {
  Tier best = Tier::kNever;
  bool any_full = false;
  candidates_.clear();
  for (const EndpointSlot& slot : site) {
    const Tier tier = TierOf(now, slot, facts);
    if (tier == Tier::kFull) any_full = true;
    if (tier >= Tier::kFull || tier > best) continue;
    if (tier < best) candidates_.clear();
    best = tier;
    candidates_.push_back(&slot);
  }
  if (candidates_.empty() || (best == Tier::kProbe && any_full)) return std::nullopt;
  PickedEndpoint picked;
  picked.slot = Draw(now, facts);
  picked.keep_connection = picked.slot->state->in_flight < picked.slot->endpoint->connection_share;
  picked.probe = best == Tier::kProbe;
  return picked;
}

const EndpointSlot* EndpointPicker::Draw(Timestamp now, const PickFacts& facts) {
  const auto draw_weighted = [&]() -> std::size_t {
    std::size_t index = 0;
    for (int draw = 0; draw < kMaxDraws; ++draw) {
      index = random_() % candidates_.size();
      const double weight = SlowStartWeight(*candidates_[index]->state, now, facts.slow_start);
      if (weight >= 1 || Random() < weight) break;
    }
    return index;
  };
  const std::size_t first = draw_weighted();
  if (candidates_.size() == 1) return candidates_[first];
  std::size_t second = draw_weighted();
  if (second == first)
    second = (first + 1 + random_() % (candidates_.size() - 1)) % candidates_.size();
  const EndpointSlot* left = candidates_[first];
  const EndpointSlot* right = candidates_[second];
  return IsBetter(now, *right, *left, facts) ? right : left;
}

double EndpointPicker::Random() { return std::generate_canonical<double, 53>(random_); }

}  // namespace copperlead
