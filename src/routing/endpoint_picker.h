// Chooses a back end of a site: the less loaded of two drawn at random.
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

// What the choice depends on beside the back ends.
struct PickFacts {
  std::uint32_t slots_per_instance = 0;         // Most in flight at one of them; 0: no bound.
  std::string_view zone;                        // Of this node; decides between equals.
  Duration load_freshness{};                    // See RouterSettings.
  Duration slow_start{};                        // See RouterSettings.
  std::span<const EndpointState* const> tried;  // By this request.
  bool may_return = false;                      // A tried one may be tried again.
};

struct PickedEndpoint {
  const EndpointSlot* slot = nullptr;
  bool keep_connection = true;  // Within the node's share of its connections.
  bool probe = false;           // It is suspected to be gone and gets one request to find out.
};

// Linear from 0 to 1 over the slow start of a back end that is new or back from ejection.
double WarmShare(const EndpointState& state, Timestamp now, Duration slow_start);

// Tiers, best first; within a tier the less loaded of two, cold ones drawn less often:
//   1. within the node's share of connections, 2. over it (the connection is closed afterwards),
//   3. shedding load, 4. tried before by this request,
//   5. as a probe: ejected, or leaving by own evidence; only a request's first attempt, only where
//   no back end is in use at all, and rarely (see EndpointState::next_probe). Own evidence may
//   mislead: when all back ends shed for a moment, this finds their return without a long wait.
// Never chosen: leaving by the list, or at the in-flight bound.
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
