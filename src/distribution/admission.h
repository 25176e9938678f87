// Bounds how many whole documents this node sends per second; those beyond are told when to ask
// again, each a later time, so that a herd that joins is spread out.
#pragma once

#include <algorithm>
#include <cstddef>

#include "base/time.h"

namespace copperlead {

class Admission {
 public:
  // @param per_second rate, also the burst that is admitted at once; at least 1.
  explicit Admission(std::size_t per_second)
      : burst_(std::max<std::size_t>(per_second, 1)),
        gap_(Duration(std::chrono::seconds(1)) / static_cast<std::int64_t>(burst_)) {}

  // Takes a slot. @return true when the transfer may go out now.
  bool Admit(Timestamp now) {
    const Timestamp earliest = now - gap_ * static_cast<std::int64_t>(burst_ - 1);
    if (next_slot_ > now) return false;
    next_slot_ = std::max(next_slot_, earliest) + gap_;
    return true;
  }

  // @return how long the refused peer should wait: it is given a slot of its own, up to
  //         kMaxPromise away.
  Duration Promise(Timestamp now) {
    next_promise_ = std::max(next_promise_, next_slot_) + gap_;
    next_promise_ = std::min(next_promise_, now + kMaxPromise);
    return std::max<Duration>(next_promise_ - now, gap_);
  }

 private:
  static constexpr Duration kMaxPromise = std::chrono::seconds(5);

  std::size_t burst_;
  Duration gap_;
  Timestamp next_slot_{};     // Earliest free slot; the past when slots are saved up.
  Timestamp next_promise_{};  // Latest slot told to a refused peer.
};

}  // namespace copperlead
