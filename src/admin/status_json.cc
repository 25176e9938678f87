// JSON of /status and /journal, both ways where a command reads it back.

#include <algorithm>
#include <array>
#include <charconv>
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
  return {{"revision", version.major},
          {"resource_epoch", version.minor},
          {"content", version.content_hash}};
}

Json ToJson(const Offer& offer) {
  return {{"origin", offer.origin},
          {"version", ToJson(offer.version)},
          {"faulty", offer.faulty},
          {"missing", offer.missing},
          {"table_digest", ToHex(offer.table_digest)},
          {"fault", offer.fault}};
}

Json ToJson(const LedgerState& state) {
  return {{"joining", state.joining},
          {"running", ToJson(state.running)},
          {"running_table", ToHex(state.running_table)},
          {"floor", ToJson(state.floor)}};
}

Json ToJson(const LedgerEntry& entry) {
  return {{"when_us", entry.when.time_since_epoch().count()},
          {"offer", ToJson(entry.offer)},
          {"before", ToJson(entry.before)},
          {"verdict", Name(entry.verdict)},
          {"explanation", entry.explanation}};
}

// What `status` shows of a version that is not run.
Json Summary(const std::optional<LedgerEntry>& entry) {
  if (!entry) return nullptr;
  return {{"revision", entry->offer.version.major},
          {"origin", entry->offer.origin},
          {"verdict", Name(entry->verdict)},
          {"missing", entry->offer.missing},
          {"explanation", entry->explanation}};
}

Json ToJson(const std::optional<RefusedVersion>& refused) {
  if (!refused) return nullptr;
  return {{"revision", refused->version.major},
          {"node", refused->node},
          {"explanation", refused->explanation}};
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

// Reads 64 hexadecimal digits, as ToHex writes them.
Digest DigestFrom(const Json& json) {
  constexpr int kHexadecimal = 16;
  const auto text = json.get<std::string>();
  Digest digest{};
  if (text.size() != digest.size() * 2) throw std::invalid_argument("a digest has 64 digits");
  for (std::size_t index = 0; index < digest.size(); ++index) {
    const char* const first = text.data() + index * 2;
    const auto [end, code] = std::from_chars(first, first + 2, digest[index], kHexadecimal);
    if (code != std::errc() || end != first + 2) throw std::invalid_argument("not a digest");
  }
  return digest;
}

Offer OfferFrom(const Json& json) {
  Offer offer;
  offer.origin = json.at("origin").get<std::string>();
  offer.version = VersionFrom(json.at("version"));
  offer.faulty = json.at("faulty").get<bool>();
  offer.missing = json.at("missing").get<std::vector<std::string>>();
  offer.table_digest = DigestFrom(json.at("table_digest"));
  offer.fault = json.value("fault", "");
  return offer;
}

LedgerState StateFrom(const Json& json) {
  LedgerState state;
  state.joining = json.at("joining").get<bool>();
  state.running = VersionFrom(json.at("running"));
  state.running_table = DigestFrom(json.at("running_table"));
  state.floor = VersionFrom(json.at("floor"));
  return state;
}

VersionVerdict VerdictFrom(const Json& json) {
  const auto name = json.get<std::string>();
  const auto* const found =
      std::find_if(kVerdicts.begin(), kVerdicts.end(),
                   [&](VersionVerdict verdict) { return Name(verdict) == name; });
  if (found == kVerdicts.end()) throw std::invalid_argument("unknown verdict \"" + name + "\"");
  return *found;
}

// Throws nlohmann's exceptions or std::invalid_argument on a missing or mistyped field.
LedgerEntry EntryFrom(const Json& json) {
  LedgerEntry entry;
  entry.when = Timestamp(Duration(json.at("when_us").get<std::int64_t>()));
  entry.offer = OfferFrom(json.at("offer"));
  entry.before = StateFrom(json.at("before"));
  entry.verdict = VerdictFrom(json.at("verdict"));
  entry.explanation = json.at("explanation").get<std::string>();
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
      {"fleet_refused", ToJson(status.fleet_refused)},
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
