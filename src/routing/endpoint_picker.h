// Chooses a back end of a site by the power of two choices: two are drawn at random and the less
// loaded one is used.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "routing/endpoint_state.h"

namespace copperlead {

// Inputs of the choice other than the back ends themselves.
struct PickFacts {
  std::uint32_t slots_per_instance =
      0;                      // Limit of attempts in flight at one back end; 0: no limit.
  std::string_view zone;      // This node's zone; preferred at equal load.
  Duration load_freshness{};  // Same as in RouterSettings.
  Duration slow_start{};      // Same as in RouterSettings.
  std::span<const EndpointState* const> tried;  // Back ends that this request was sent to.
  bool allow_tried = false;                     // A tried back end may be chosen again.
};

struct PickedEndpoint {
  const EndpointSlot* slot = nullptr;
  bool keep_connection = true;  // The node's share of connections allows keeping it open.
  bool probe = false;  // The request tests whether an unavailable back end is available again.
};

// @return the relative weight of a back end, 0.05 to 1. It rises linearly during the slow start
//         that follows its appearance or its ejection.
double SlowStartWeight(const EndpointState& state, Timestamp now, Duration slow_start);

// Back ends are sorted into tiers, best first. The less loaded of two drawn from the best tier is
// chosen; back ends in slow start are drawn less often. The tiers are:
//   1. back ends within the node's share of connections;
//   2. back ends over that share, whose connection is closed after the answer;
//   3. back ends that shed load;
//   4. back ends that this request was sent to before;
//   5. back ends that are ejected, or leaving by this node's own evidence, as a probe. Probes are
//      made only by a request's first attempt, only where no back end is in use at all, and rarely
//      (see EndpointState::next_probe). The node's evidence may be wrong: when all back ends shed
//      load for a moment, probes notice their return without a long wait.
// Back ends that leave by the platform's list or are at their in-flight limit are never chosen.
// Not thread-safe (scratch space).
class EndpointPicker {
 public:
  explicit EndpointPicker(std::uint64_t seed) : random_(seed) {}

  // @return nothing when no back end may be chosen.
  std::optional<PickedEndpoint> Pick(Timestamp now, const std::vector<EndpointSlot>& site,
                                     const PickFacts& facts);

 private:
  enum class Tier { kInShare, kOverShare, kShedding, kTried, kProbe, kFull, kNever };

  static Tier TierOf(Timestamp now, const EndpointSlot& slot, const PickFacts& facts);
  const EndpointSlot* Draw(Timestamp now, const PickFacts& facts);
  double Random();

  std::mt19937_64 random_;
  std::vector<const EndpointSlot*> candidates_;
};

}  // namespace copperlead
