#include "routing/retry_budget.h"

namespace copperlead {
namespace {

std::int64_t SecondNumber(Timestamp now) {
  return std::chrono::floor<std::chrono::seconds>(now).time_since_epoch().count();
}

}  // namespace

RetryBudget::Second& RetryBudget::At(Timestamp now) {
  const std::int64_t number = SecondNumber(now);
  Second& second = seconds_[static_cast<std::size_t>((number % kSeconds + kSeconds) % kSeconds)];
  if (second.number != number) second = Second{number, 0, 0};
  return second;
}

void RetryBudget::CountRequest(Timestamp now) { ++At(now).requests; }

bool RetryBudget::TrySpendRetry(Timestamp now) {
  Second& current = At(now);
  std::uint64_t requests = 0;
  std::uint64_t retries = 0;
  for (const Second& second : seconds_) {
    if (second.number <= current.number - kSeconds) continue;
    requests += second.requests;
    retries += second.retries;
  }
  const bool in_share = static_cast<double>(retries + 1) <= share_ * static_cast<double>(requests);
  if (!in_share && current.retries >= floor_) return false;
  ++current.retries;
  return true;
}

}  // namespace copperlead
