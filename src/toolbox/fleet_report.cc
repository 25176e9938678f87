#include "toolbox/fleet_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace copperlead {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t kMostMembersShown = 20;

bool IsReachable(const ReportedMember& member) { return member.state == "alive"; }
bool IsSuspect(const ReportedMember& member) { return member.state == "suspect"; }
bool IsUnreachable(const ReportedMember& member) {
  return IsSuspect(member) || member.state == "dead";
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

// What another node refused; this node's own refusal is noted already.
void AddFleetRefusal(const Json& status, FleetReport& report) {
  const auto& refused = status.at("fleet_refused");
  if (refused.is_null()) return;
  const auto revision = refused.at("revision").get<std::uint64_t>();
  const auto node = refused.at("node").get<std::string>();
  report.refused_revision = std::max(report.refused_revision, revision);
  if (node == report.node_id) return;
  report.notes.push_back("revision " + std::to_string(revision) + " refused by " + node + ": " +
                         refused.at("explanation").get<std::string>());
}

void AddNotes(const Json& status, FleetReport& report) {
  for (const char* key : {"waiting", "conflict", "last_refused"}) {
    AddVersionNote(status, key, report);
  }
  const auto state = status.at("source").at("state").get<std::string>();
  const auto& refused = status.at("last_refused");
  if (!refused.is_null()) report.refused_revision = refused.at("revision").get<std::uint64_t>();
  AddFleetRefusal(status, report);
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

FleetReport Build(const Json& status, std::uint64_t wanted_revision) {
  FleetReport report;
  report.wanted_revision = wanted_revision;
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
    if (IsUnreachable(member)) report.not_answering.push_back(member);
  }
  for (const auto& [name, zone] : report.zones) {
    if (zone.members == 0 && zone.unreachable > 0) report.cut_off_zones.push_back(name);
  }
  AddNotes(status, report);
  const bool no_suspect = std::none_of(members.begin(), members.end(), IsSuspect);
  report.settled = report.newest_revision > 0 && report.newest_revision >= wanted_revision &&
                   report.laggards.empty() && report.cut_off_zones.empty() && no_suspect;
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

void PrintMembers(const char* label, const std::vector<ReportedMember>& members,
                  std::ostream& out) {
  for (std::size_t index = 0; index < members.size(); ++index) {
    if (index == kMostMembersShown) {
      out << "  ... and " << members.size() - index << " more " << label << "\n";
      break;
    }
    const auto& member = members[index];
    out << "  " << label << ": " << member.id << " (" << member.zone << "), " << member.state
        << ", at " << member.revision << "\n";
  }
}

void PrintVerdict(const FleetReport& report, std::ostream& out) {
  if (report.settled) {
    out << "settled: every live node runs revision " << report.newest_revision << "\n";
    return;
  }
  out << "not settled: newest known is revision " << report.newest_revision;
  if (report.WantedIsRefused()) {
    out << "; revision " << report.wanted_revision
        << " was refused: correct it and publish a higher one";
  } else if (report.newest_revision < report.wanted_revision) {
    out << "; revision " << report.wanted_revision << " has not been seen";
  }
  out << "\n";
}

Json ToJson(const std::vector<ReportedMember>& members) {
  Json list = Json::array();
  for (const auto& member : members) {
    list.push_back({{"id", member.id},
                    {"zone", member.zone},
                    {"state", member.state},
                    {"revision", member.revision}});
  }
  return list;
}

Json OrNull(std::uint64_t revision) { return revision == 0 ? Json(nullptr) : Json(revision); }

}  // namespace

Result<FleetReport> ReadFleetReport(std::string_view status, std::uint64_t wanted_revision) {
  try {
    return Build(Json::parse(status), wanted_revision);
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
  PrintMembers("behind", report.laggards, out);
  PrintMembers("not answering", report.not_answering, out);
  for (const auto& zone : report.cut_off_zones) out << "  cut off: zone " << zone << "\n";
  for (const auto& note : report.notes) out << "  " << note << "\n";
  PrintVerdict(report, out);
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
  const Json json = {{"node", report.node_id},
                     {"running_revision", report.running_revision},
                     {"newest_revision", report.newest_revision},
                     {"wanted_revision", OrNull(report.wanted_revision)},
                     {"refused_revision", OrNull(report.refused_revision)},
                     {"settled", report.settled},
                     {"zones", zones},
                     {"laggards", ToJson(report.laggards)},
                     {"not_answering", ToJson(report.not_answering)},
                     {"cut_off_zones", report.cut_off_zones},
                     {"notes", report.notes}};
  return json.dump() + "\n";
}

}  // namespace copperlead
