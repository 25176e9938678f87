#include "distribution/version_ledger.h"

#include <utility>

#include "distribution/version_order.h"

namespace copperlead {
namespace {

std::string Join(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    if (!text.empty()) text += ", ";
    text += name;
  }
  return text;
}

// One sentence for an operator about why `entry.offered` was judged so.
std::string Explain(const LedgerEntry& entry) {
  const std::string offered = ToString(entry.offered);
  const std::string running = ToString(entry.running_before);
  const std::string from = " from " + entry.origin;
  switch (entry.verdict) {
    case VersionVerdict::kTaken:
      return "Version " + offered + from + " replaces version " + running + ".";
    case VersionVerdict::kAlreadyRunning:
      return "Version " + offered + from + " is the one that runs.";
    case VersionVerdict::kHeldIncomplete:
      return "Version " + offered + from + " waits: its table names " + Join(entry.missing) +
             ", which is not there; version " + running + " stays.";
    case VersionVerdict::kHeldJoining:
      return "Version " + offered + from +
             " waits until peers have said which version this node may not fall below.";
    case VersionVerdict::kRefusedOlder:
      return "Version " + offered + from + " is refused: version " + running +
             " runs and comes after it.";
    case VersionVerdict::kRefusedFloor:
      return "Version " + offered + from +
             " is refused: peers run, or remember this node to have "
             "run, version " +
             ToString(entry.floor) + "; publish a higher revision.";
    case VersionVerdict::kRefusedConflict:
      return "Version " + offered + from + " is refused: version " + running +
             " runs with another table under the same revision; publish a higher revision.";
    case VersionVerdict::kRefusedFaulty:
      return "Version " + offered + from + " is refused whole: its table has faults; version " +
             running + " stays.";
  }
  return "";
}

}  // namespace

std::string_view Name(VersionVerdict verdict) {
  switch (verdict) {
    case VersionVerdict::kTaken:
      return "taken";
    case VersionVerdict::kAlreadyRunning:
      return "already_running";
    case VersionVerdict::kHeldIncomplete:
      return "held_incomplete";
    case VersionVerdict::kHeldJoining:
      return "held_joining";
    case VersionVerdict::kRefusedOlder:
      return "refused_older";
    case VersionVerdict::kRefusedFloor:
      return "refused_floor";
    case VersionVerdict::kRefusedConflict:
      return "refused_conflict";
    case VersionVerdict::kRefusedFaulty:
      return "refused_faulty";
  }
  return "unknown";
}

VersionLedger::VersionLedger(const LedgerFaults& faults) : faults_(faults) {}

VersionVerdict VersionLedger::Judge(Timestamp now, const Offer& offer) {
  const VersionVerdict verdict = Decide(offer);
  Record(now, offer, verdict);
  if (verdict == VersionVerdict::kTaken) {
    running_ = offer.version;
    running_table_ = offer.table_digest;
  }
  return verdict;
}

void VersionLedger::RaiseFloor(const DocumentVersion& floor) {
  if (IsNewer(floor, floor_)) floor_ = floor;
}

void VersionLedger::SetJoining(bool joining) { joining_ = joining; }

VersionVerdict VersionLedger::Decide(const Offer& offer) const {
  const bool runs = !running_.none();
  if (runs && offer.version == running_) return VersionVerdict::kAlreadyRunning;
  const bool same_revision = runs && offer.version.major == running_.major;
  if (same_revision && offer.table_digest != running_table_) {
    if (!faults_.replace_on_conflict) return VersionVerdict::kRefusedConflict;
  } else if (runs && !Supersedes(offer.version, running_) && !faults_.accept_older) {
    return VersionVerdict::kRefusedOlder;
  }
  if (IsNewer(floor_, offer.version) && !faults_.ignore_floor) return VersionVerdict::kRefusedFloor;
  if (offer.faulty && !faults_.accept_faulty) return VersionVerdict::kRefusedFaulty;
  if (!offer.missing.empty() && !faults_.accept_incomplete) return VersionVerdict::kHeldIncomplete;
  if (joining_) return VersionVerdict::kHeldJoining;
  return VersionVerdict::kTaken;
}

void VersionLedger::Record(Timestamp now, const Offer& offer, VersionVerdict verdict) {
  LedgerEntry entry;
  entry.when = now;
  entry.origin = offer.origin;
  entry.offered = offer.version;
  entry.table_digest = offer.table_digest;
  entry.faulty = offer.faulty;
  entry.missing = offer.missing;
  entry.running_before = running_;
  entry.floor = floor_;
  entry.joining = joining_;
  entry.verdict = verdict;
  entry.explanation = Explain(entry);

  const bool held =
      verdict == VersionVerdict::kHeldIncomplete || verdict == VersionVerdict::kHeldJoining;
  const bool taken = verdict == VersionVerdict::kTaken;
  // What waits is the newest version that was held and has not been overtaken since.
  if (held && !(waiting_ && IsNewer(waiting_->offered, offer.version))) waiting_ = entry;
  const bool judged_anew = waiting_ && waiting_->offered == offer.version;
  if (!held && judged_anew) waiting_.reset();
  if (taken && waiting_ && !IsNewer(waiting_->offered, offer.version)) waiting_.reset();
  if (verdict == VersionVerdict::kRefusedConflict) conflict_ = entry;
  if (taken && conflict_ && offer.version.major > conflict_->offered.major) conflict_.reset();

  entries_.push_back(std::move(entry));
  if (entries_.size() > kMaxLedgerEntries) entries_.pop_front();
}

}  // namespace copperlead
