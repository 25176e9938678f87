// Limits how many whole documents this node sends per second. Each refused peer gets a later retry
// time, so that the requests of many nodes that join at once are spread out.
#pragma once

#include <algorithm>
#include <cstddef>

#include "base/time.h"

namespace copperlead {

class TransferRateLimiter {
 public:
  // @param per_second rate, and also the burst that is admitted at once; raised to 1 if it is 0.
  explicit TransferRateLimiter(std::size_t per_second)
      : burst_(std::max<std::size_t>(per_second, 1)),
        gap_(Duration(std::chrono::seconds(1)) / static_cast<std::int64_t>(burst_)) {}

  // Takes a slot if one is free. @return true when the transfer may be sent now.
  bool TryAdmit(Timestamp now) {
    const Timestamp earliest = now - gap_ * static_cast<std::int64_t>(burst_ - 1);
    if (next_slot_ > now) return false;
    next_slot_ = std::max(next_slot_, earliest) + gap_;
    return true;
  }

  // @return how long a refused peer should wait before it retries. Each call hands out another
  //         slot, at most kMaxRetryDelay away.
  Duration RetryDelay(Timestamp now) {
    latest_retry_slot_ = std::max(latest_retry_slot_, next_slot_) + gap_;
    latest_retry_slot_ = std::min(latest_retry_slot_, now + kMaxRetryDelay);
    return std::max<Duration>(latest_retry_slot_ - now, gap_);
  }

 private:
  static constexpr Duration kMaxRetryDelay = std::chrono::seconds(5);

  std::size_t burst_;
  Duration gap_;
  Timestamp next_slot_{};          // Earliest free slot; in the past while unused slots remain.
  Timestamp latest_retry_slot_{};  // Latest slot given to a refused peer.
};

}  // namespace copperlead
