// Reads a /status document and says how far the fleet has settled. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace copperlead {

// A member as /status shows it.
struct ReportedMember {
  std::string id;
  std::string zone;
  std::string state;
  std::uint64_t revision = 0;
};

// The members of one zone by what they run.
struct ZoneReport {
  std::size_t members = 0;                                   // Not dead, not leaving.
  std::size_t unreachable = 0;                               // Suspect or dead.
  std::map<std::uint64_t, std::size_t> members_by_revision;  // Reachable ones.
};

struct FleetReport {
  std::string node_id;
  std::uint64_t running_revision = 0;  // Of the node that was asked.
  std::uint64_t newest_revision = 0;   // Highest that any member is known to run.
  std::map<std::string, ZoneReport> zones;
  std::vector<ReportedMember> laggards;    // Known to be reachable and older than the newest.
  std::vector<std::string> cut_off_zones;  // No member of the zone answers.
  std::vector<std::string> notes;  // Waiting, conflicting or refused versions; a failing source.
  bool settled = false;  // Every live member runs the newest revision and no zone is cut off.
};

// @return the report; kMalformedJson or kBadValue when `status` is no /status document.
Result<FleetReport> ReadFleetReport(std::string_view status);

// @return the report as lines for people.
std::string ToText(const FleetReport& report);

// @return the report as one JSON object.
std::string ToJsonText(const FleetReport& report);

}  // namespace copperlead
