// Bounds retries to a share of live traffic, so that a failing service does not get a multiple of
// its load just when it can bear least.
#pragma once

#include <array>
#include <cstdint>

#include "base/time.h"

namespace copperlead {

// Counts requests and retries in ten one-second buckets. Not thread-safe.
class RetryBudget {
 public:
  // @param share of the last ten seconds' requests that may be retries.
  // @param floor retries that each second allows whatever the share.
  RetryBudget(double share, std::uint32_t floor) : share_(share), floor_(floor) {}

  void CountRequest(Timestamp now);
  // @return true, and counts the retry, when the budget allows it.
  bool TakeRetry(Timestamp now);

 private:
  struct Second {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };
  static constexpr std::int64_t kSeconds = 10;

  Second& At(Timestamp now);

  double share_;
  std::uint32_t floor_;
  std::array<Second, kSeconds> seconds_{};
};

}  // namespace copperlead
