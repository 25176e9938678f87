#include "membership/eligible_cache.h"

#include <algorithm>

namespace copperlead {
namespace {

void Patch(std::vector<MemberRecord>& records, const MemberRecord& record) {
  const auto found =
      std::lower_bound(records.begin(), records.end(), record.id,
                       [](const MemberRecord& left, const NodeId& id) { return left.id < id; });
  if (found == records.end() || found->id != record.id) return;
  found->configuration = record.configuration;
}

}  // namespace

void EligibleCache::Invalidate() {
  all_valid_ = false;
  all_.clear();
  zones_.clear();
}

void EligibleCache::PatchConfiguration(const MemberRecord& record) {
  if (all_valid_) Patch(all_, record);
  const auto zone = zones_.find(record.zone);
  if (zone != zones_.end()) Patch(zone->second, record);
}

const std::vector<MemberRecord>& EligibleCache::All(const Enumerate& enumerate) {
  if (all_valid_) return all_;
  enumerate([this](const MemberRecord& record) { all_.push_back(record); });
  all_valid_ = true;
  return all_;
}

const std::vector<MemberRecord>& EligibleCache::InZone(const ZoneName& zone,
                                                       const Enumerate& enumerate) {
  const auto [found, inserted] = zones_.try_emplace(zone);
  auto& records = found->second;
  if (!inserted) return records;
  enumerate([&](const MemberRecord& record) {
    if (record.zone == zone) records.push_back(record);
  });
  return records;
}

}  // namespace copperlead
