// JSON of /status and /journal, both ways where a command reads it back.

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "admin/node_status.h"

namespace copperlead {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::array kVerdicts = {VersionVerdict::kTaken,           VersionVerdict::kAlreadyRunning,
                                  VersionVerdict::kHeldIncomplete,  VersionVerdict::kHeldJoining,
                                  VersionVerdict::kRefusedOlder,    VersionVerdict::kRefusedFloor,
                                  VersionVerdict::kRefusedConflict, VersionVerdict::kRefusedFaulty};

Json ToJson(const DocumentVersion& version) {
  return {
      {"revision", version.major}, {"resource_epoch", version.minor}, {"content", version.content}};
}

Json ToJson(const LedgerEntry& entry) {
  return {{"when_us", entry.when.time_since_epoch().count()},
          {"origin", entry.origin},
          {"offered", ToJson(entry.offered)},
          {"faulty", entry.faulty},
          {"missing", entry.missing},
          {"running_before", ToJson(entry.running_before)},
          {"floor", ToJson(entry.floor)},
          {"joining", entry.joining},
          {"verdict", Name(entry.verdict)},
          {"explanation", entry.explanation}};
}

// What `status` shows of a version that is not run.
Json Summary(const std::optional<LedgerEntry>& entry) {
  if (!entry) return nullptr;
  return {{"revision", entry->offered.major},
          {"origin", entry->origin},
          {"verdict", Name(entry->verdict)},
          {"missing", entry->missing},
          {"explanation", entry->explanation}};
}

template <class T>
Json OrNull(const std::optional<T>& value) {
  return value ? Json(*value) : Json(nullptr);
}

Json ToJson(const FleetEntry& entry) {
  return {{"id", entry.id},
          {"zone", entry.zone},
          {"state", Name(entry.state)},
          {"revision", entry.revision},
          {"last_heard_ms_ago", OrNull(entry.last_heard_ms_ago)}};
}

Json ToJson(const SourceStatus& source) {
  return {{"state", source.state},
          {"last_success_ms_ago", OrNull(source.last_success_ms_ago)},
          {"reads", source.reads},
          {"failures", source.failures},
          {"behind_revision", OrNull(source.behind_revision)}};
}

DocumentVersion VersionFrom(const Json& json) {
  return {json.at("revision").get<std::uint64_t>(), json.at("resource_epoch").get<std::uint32_t>(),
          json.at("content").get<std::uint64_t>()};
}

// Throws nlohmann's exceptions on a missing or mistyped field.
LedgerEntry EntryFrom(const Json& json) {
  LedgerEntry entry;
  entry.when = Timestamp(Duration(json.at("when_us").get<std::int64_t>()));
  entry.origin = json.at("origin").get<std::string>();
  entry.offered = VersionFrom(json.at("offered"));
  entry.faulty = json.at("faulty").get<bool>();
  entry.missing = json.at("missing").get<std::vector<std::string>>();
  entry.running_before = VersionFrom(json.at("running_before"));
  entry.floor = VersionFrom(json.at("floor"));
  entry.joining = json.at("joining").get<bool>();
  entry.explanation = json.at("explanation").get<std::string>();
  const auto name = json.at("verdict").get<std::string>();
  const auto* const found =
      std::find_if(kVerdicts.begin(), kVerdicts.end(),
                   [&](VersionVerdict verdict) { return Name(verdict) == name; });
  if (found == kVerdicts.end()) throw std::invalid_argument("unknown verdict \"" + name + "\"");
  entry.verdict = *found;
  return entry;
}

}  // namespace

std::string StatusToJson(const NodeStatus& status) {
  Json fleet = Json::array();
  for (const auto& entry : status.fleet) fleet.push_back(ToJson(entry));
  const Json json = {
      {"id", status.id},
      {"zone", status.zone},
      {"ready", status.ready},
      {"reader", status.reader},
      {"joining", status.joining},
      {"floor_unverified", status.floor_unverified},
      {"running",
       {{"revision", status.revision},
        {"resource_epoch", status.resource_epoch},
        {"digest", status.digest}}},
      {"floor", status.floor},
      {"machines_sequence", status.machines_sequence},
      {"waiting", Summary(status.waiting)},
      {"conflict", Summary(status.conflict)},
      {"last_refused", Summary(status.last_refused)},
      {"source", ToJson(status.source)},
      {"fleet", std::move(fleet)},
  };
  return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string JournalToJson(const NodeId& id, const std::deque<LedgerEntry>& entries) {
  Json list = Json::array();
  for (const auto& entry : entries) list.push_back(ToJson(entry));
  const Json json = {{"id", id}, {"entries", std::move(list)}};
  return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

Result<std::vector<LedgerEntry>> JournalFromJson(std::string_view body) {
  std::vector<LedgerEntry> entries;
  try {
    const Json json = Json::parse(body);
    for (const auto& entry : json.at("entries")) entries.push_back(EntryFrom(entry));
  } catch (const Json::parse_error& error) {
    return Fail(ErrorKind::kMalformedJson, "byte " + std::to_string(error.byte), error.what());
  } catch (const std::exception& error) {
    return Fail(ErrorKind::kBadValue, "entry " + std::to_string(entries.size() + 1), error.what());
  }
  return entries;
}

}  // namespace copperlead
