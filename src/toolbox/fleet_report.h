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
  std::uint64_t wanted_revision = 0;          // That settling waits for; 0: any.
  std::vector<ReportedMember> laggards;       // Known to be reachable and older than the newest.
  std::vector<ReportedMember> not_answering;  // Suspect or dead, with what they last ran.
  std::vector<std::string> cut_off_zones;     // No member of the zone answers.
  std::vector<std::string> notes;  // Waiting, conflicting or refused versions; a failing source.
  std::uint64_t refused_revision = 0;  // Of the refusal among the notes; 0: none.
  // Every live member runs the newest revision, which is the wanted one or above; no zone is cut
  // off, and no member is suspect: it may live and run something older. A dead one is not waited
  // for.
  bool settled = false;

  // @return whether the wanted revision was refused, so that waiting for it is in vain.
  bool WantedIsRefused() const {
    return wanted_revision > newest_revision && wanted_revision == refused_revision;
  }
};

// @param wanted_revision the fleet does not count as settled below it.
// @return the report; kMalformedJson or kBadValue when `status` is no /status document.
Result<FleetReport> ReadFleetReport(std::string_view status, std::uint64_t wanted_revision = 0);

// @return the report as lines for people: one for each zone, and a bounded number of members.
std::string ToText(const FleetReport& report);

// @return the report as one JSON object.
std::string ToJsonText(const FleetReport& report);

}  // namespace copperlead
