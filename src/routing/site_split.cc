#include "routing/site_split.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace copperlead {
namespace {

constexpr std::uint64_t kShareCount = 100;
// Seed of the hash: the same on every node and different from all other uses of the hash. Its bytes
// spell "site".
constexpr std::uint64_t kSplitSeed = 0x73697465;

}  // namespace

std::uint32_t SplitShare(std::string_view request_id) {
  const std::uint64_t hash = XXH3_64bits_withSeed(request_id.data(), request_id.size(), kSplitSeed);
  return static_cast<std::uint32_t>(((hash >> 32) * kShareCount) >> 32);
}

std::optional<Site> ChooseSite(const RouteRow& row, std::uint32_t share,
                               const SiteAvailability& available) {
  const bool in_old_share = share < row.old_weight;
  const bool old_usable = available.old_site && row.old_weight > 0;
  const bool new_usable = available.new_site && row.new_weight > 0;
  if (in_old_share && old_usable) return Site::kOld;
  if (new_usable) return Site::kNew;
  if (old_usable) return Site::kOld;
  return std::nullopt;
}

}  // namespace copperlead
