// Limits retries to a share of the requests, so that they don't multiply the load of a service that
// is already failing.
#pragma once

#include <array>
#include <cstdint>

#include "base/time.h"

namespace copperlead {

// Counts requests and retries in ten one-second buckets. Not thread-safe.
class RetryBudget {
 public:
  // @param share retries allowed, as a share of the requests of the last ten seconds.
  // @param floor retries allowed in each second regardless of the share.
  RetryBudget(double share, std::uint32_t floor) : share_(share), floor_(floor) {}

  void CountRequest(Timestamp now);
  // @return true, having counted the retry, when the budget allows it.
  bool TrySpendRetry(Timestamp now);

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
