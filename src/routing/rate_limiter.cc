#include "routing/rate_limiter.h"

#include <algorithm>

namespace copperlead {
namespace {

// @return the number of tokens among 0 to `count` - 1 that belong to the share.
std::uint64_t CountTokensBelow(std::uint64_t count, const FleetShare& share) {
  return (count + share.divisor - 1 - share.rank) / share.divisor;
}

}  // namespace

bool RateLimiter::TryAcquire(Timestamp now, std::uint32_t limit, const FleetShare& share) {
  if (limit == 0) return true;
  const std::int64_t second = std::max<std::int64_t>(
      0, std::chrono::floor<std::chrono::seconds>(now).time_since_epoch().count());
  const std::uint64_t first_token = static_cast<std::uint64_t>(second) * limit;
  const std::uint64_t tokens_so_far = CountTokensBelow(first_token + limit, share);
  if (share.divisor <= limit) {
    if (second != second_) {
      second_ = second;
      spent_ = 0;
    }
    const std::uint64_t tokens_now = tokens_so_far - CountTokensBelow(first_token, share);
    if (spent_ >= tokens_now) return false;
    ++spent_;
    return true;
  }
  if (tokens_so_far == 0) return false;
  const std::uint64_t newest_token = (tokens_so_far - 1) * share.divisor + share.rank;
  const auto token_second = static_cast<std::int64_t>(newest_token / limit);
  if (token_second <= token_second_ || second - token_second >= kTokenLifetimeSeconds) return false;
  token_second_ = token_second;
  return true;
}

}  // namespace copperlead
