// Sorted lists of the members that may hold a role, kept until the fleet changes.
//
// Not thread-safe. Filled on demand; a change of a member's configuration alone is patched in
// place, so an edit that every heartbeat reports does not rebuild the lists.
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "membership/member.h"

namespace copperlead {

class EligibleCache {
 public:
  // Calls its argument for each eligible member, in the order of ids.
  using Visitor = std::function<void(const MemberRecord&)>;
  using Enumerate = std::function<void(const Visitor&)>;

  // Drops the lists; the next reader rebuilds what it needs.
  void Invalidate();
  // Takes over a configuration that changed and nothing else.
  void PatchConfiguration(const MemberRecord& record);

  const std::vector<MemberRecord>& All(const Enumerate& enumerate);
  const std::vector<MemberRecord>& InZone(const ZoneName& zone, const Enumerate& enumerate);

 private:
  bool all_valid_ = false;
  std::vector<MemberRecord> all_;
  std::map<ZoneName, std::vector<MemberRecord>> zones_;  // Only zones that were asked for.
};

}  // namespace copperlead
