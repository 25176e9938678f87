#include "toolbox/fleet_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace copperlead {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t kMostLaggardsShown = 20;

bool IsReachable(const ReportedMember& member) { return member.state == "alive"; }
bool IsUnreachable(const ReportedMember& member) {
  return member.state == "suspect" || member.state == "dead";
}

std::vector<ReportedMember> ReadMembers(const Json& fleet) {
  std::vector<ReportedMember> members;
  for (const auto& entry : fleet) {
    members.push_back({entry.at("id").get<std::string>(), entry.at("zone").get<std::string>(),
                       entry.at("state").get<std::string>(),
                       entry.at("revision").get<std::uint64_t>()});
  }
  return members;
}

void AddToZone(const ReportedMember& member, ZoneReport& zone) {
  if (IsUnreachable(member)) ++zone.unreachable;
  if (!IsReachable(member)) return;
  ++zone.members;
  ++zone.members_by_revision[member.revision];
}

void AddVersionNote(const Json& status, const char* key, FleetReport& report) {
  const auto& entry = status.at(key);
  if (entry.is_null()) return;
  report.notes.push_back(std::string(key) + ": " + entry.at("explanation").get<std::string>());
}

void AddNotes(const Json& status, FleetReport& report) {
  for (const char* key : {"waiting", "conflict", "last_refused"}) {
    AddVersionNote(status, key, report);
  }
  const auto state = status.at("source").at("state").get<std::string>();
  if (state == "failing") report.notes.push_back("source: reads are failing");
  if (state == "behind") {
    report.notes.push_back("source: shows revision " +
                           status.at("source").at("behind_revision").dump() +
                           ", older than the running one; it is ignored");
  }
  if (status.at("floor_unverified").get<bool>()) {
    report.notes.push_back("floor unverified: no peer answered when this node started");
  }
}

FleetReport Build(const Json& status) {
  FleetReport report;
  report.node_id = status.at("id").get<std::string>();
  report.running_revision = status.at("running").at("revision").get<std::uint64_t>();
  const auto members = ReadMembers(status.at("fleet"));
  for (const auto& member : members) {
    report.newest_revision = std::max(report.newest_revision, member.revision);
    AddToZone(member, report.zones[member.zone]);
  }
  for (const auto& member : members) {
    if (IsReachable(member) && member.revision < report.newest_revision) {
      report.laggards.push_back(member);
    }
  }
  for (const auto& [name, zone] : report.zones) {
    if (zone.members == 0 && zone.unreachable > 0) report.cut_off_zones.push_back(name);
  }
  AddNotes(status, report);
  report.settled =
      report.newest_revision > 0 && report.laggards.empty() && report.cut_off_zones.empty();
  return report;
}

void PrintZone(const std::string& name, const ZoneReport& zone, std::ostream& out) {
  out << "  " << name << ": " << zone.members << " live";
  if (zone.unreachable > 0) out << ", " << zone.unreachable << " not answering";
  for (const auto& [revision, count] : zone.members_by_revision) {
    out << "; " << count << " at " << (revision == 0 ? "unknown" : std::to_string(revision));
  }
  out << "\n";
}

}  // namespace

Result<FleetReport> ReadFleetReport(std::string_view status) {
  try {
    return Build(Json::parse(status));
  } catch (const Json::parse_error& error) {
    return Fail(ErrorKind::kMalformedJson, "byte " + std::to_string(error.byte), error.what());
  } catch (const Json::exception& error) {
    return Fail(ErrorKind::kBadValue, "/status", error.what());
  }
}

std::string ToText(const FleetReport& report) {
  std::ostringstream out;
  out << "seen by " << report.node_id << ", which runs revision " << report.running_revision
      << "\n";
  for (const auto& [name, zone] : report.zones) PrintZone(name, zone, out);
  for (std::size_t index = 0; index < report.laggards.size(); ++index) {
    if (index == kMostLaggardsShown) {
      out << "  ... and " << report.laggards.size() - index << " more\n";
      break;
    }
    const auto& laggard = report.laggards[index];
    out << "  behind: " << laggard.id << " (" << laggard.zone << ") at " << laggard.revision
        << "\n";
  }
  for (const auto& zone : report.cut_off_zones) out << "  cut off: zone " << zone << "\n";
  for (const auto& note : report.notes) out << "  " << note << "\n";
  out << (report.settled ? "settled: every live node runs revision "
                         : "not settled: newest known is revision ")
      << report.newest_revision << "\n";
  return out.str();
}

std::string ToJsonText(const FleetReport& report) {
  Json zones = Json::object();
  for (const auto& [name, zone] : report.zones) {
    Json revisions = Json::object();
    for (const auto& [revision, count] : zone.members_by_revision) {
      revisions[std::to_string(revision)] = count;
    }
    zones[name] = {
        {"live", zone.members}, {"unreachable", zone.unreachable}, {"revisions", revisions}};
  }
  Json laggards = Json::array();
  for (const auto& member : report.laggards) {
    laggards.push_back({{"id", member.id}, {"zone", member.zone}, {"revision", member.revision}});
  }
  const Json json = {{"node", report.node_id},
                     {"running_revision", report.running_revision},
                     {"newest_revision", report.newest_revision},
                     {"settled", report.settled},
                     {"zones", zones},
                     {"laggards", laggards},
                     {"cut_off_zones", report.cut_off_zones},
                     {"notes", report.notes}};
  return json.dump() + "\n";
}

}  // namespace copperlead
