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

// One sentence that explains the verdict to an operator.
std::string Explain(const LedgerEntry& entry) {
  const std::string offered = ToString(entry.offer.version);
  const std::string running = ToString(entry.before.running);
  const std::string from = " from " + entry.offer.origin;
  switch (entry.verdict) {
    case VersionVerdict::kTaken:
      return "Version " + offered + from + " replaces version " + running + ".";
    case VersionVerdict::kAlreadyRunning:
      return "Version " + offered + from + " is the one that runs.";
    case VersionVerdict::kHeldIncomplete:
      return "Version " + offered + from + " waits: its table names " + Join(entry.offer.missing) +
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
             ToString(entry.before.floor) + "; publish a higher revision.";
    case VersionVerdict::kRefusedConflict:
      return "Version " + offered + from + " is refused: version " + running +
             " runs with another table under the same revision; publish a higher revision.";
    case VersionVerdict::kRefusedFaulty:
      return "Version " + offered + from + " is refused whole: " +
             (entry.offer.fault.empty() ? "its table has faults" : entry.offer.fault) +
             "; version " + running + " stays.";
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

bool IsRefusal(VersionVerdict verdict) {
  return verdict == VersionVerdict::kRefusedFaulty || verdict == VersionVerdict::kRefusedFloor ||
         verdict == VersionVerdict::kRefusedConflict;
}

VersionVerdict DecideVersion(const LedgerState& state, const Offer& offer,
                             const LedgerFaults& faults) {
  const bool runs = !state.running.none();
  if (runs && offer.version == state.running) return VersionVerdict::kAlreadyRunning;
  const bool same_revision = runs && offer.version.major == state.running.major;
  if (same_revision && offer.table_digest != state.running_table) {
    if (!faults.replace_on_conflict) return VersionVerdict::kRefusedConflict;
  } else if (runs && !Supersedes(offer.version, state.running) && !faults.accept_older) {
    return VersionVerdict::kRefusedOlder;
  }
  if (IsNewer(state.floor, offer.version) && !faults.ignore_floor) {
    return VersionVerdict::kRefusedFloor;
  }
  if (offer.faulty && !faults.accept_faulty) return VersionVerdict::kRefusedFaulty;
  if (!offer.missing.empty() && !faults.accept_incomplete) return VersionVerdict::kHeldIncomplete;
  if (state.joining) return VersionVerdict::kHeldJoining;
  return VersionVerdict::kTaken;
}

VersionLedger::VersionLedger(const LedgerFaults& faults) : faults_(faults) {}

VersionVerdict VersionLedger::Decide(Timestamp now, const Offer& offer) {
  const VersionVerdict verdict = DecideVersion(state_, offer, faults_);
  Record(now, offer, verdict);
  if (verdict == VersionVerdict::kTaken) {
    state_.running = offer.version;
    state_.running_table = offer.table_digest;
  }
  return verdict;
}

void VersionLedger::RaiseFloor(const DocumentVersion& floor) {
  if (IsNewer(floor, state_.floor)) state_.floor = floor;
}

void VersionLedger::SetJoining(bool joining) { state_.joining = joining; }

void VersionLedger::Record(Timestamp now, const Offer& offer, VersionVerdict verdict) {
  LedgerEntry entry{now, offer, state_, verdict, ""};
  entry.explanation = Explain(entry);

  const bool held =
      verdict == VersionVerdict::kHeldIncomplete || verdict == VersionVerdict::kHeldJoining;
  const bool taken = verdict == VersionVerdict::kTaken;
  // waiting_ is the newest held version that the running one has not superseded since.
  if (held && !(waiting_ && IsNewer(waiting_->offer.version, offer.version))) waiting_ = entry;
  const bool decided_again = waiting_ && waiting_->offer.version == offer.version;
  if (!held && decided_again) waiting_.reset();
  if (taken && waiting_ && !IsNewer(waiting_->offer.version, offer.version)) waiting_.reset();
  if (verdict == VersionVerdict::kRefusedConflict) conflict_ = entry;
  if (taken && conflict_ && offer.version.major > conflict_->offer.version.major) conflict_.reset();

  if (IsRefusal(verdict) && !IsNewer(state_.running, offer.version)) last_refused_ = entry;
  const bool superseded =
      taken && last_refused_ && IsNewer(offer.version, last_refused_->offer.version);
  if (superseded) last_refused_.reset();

  entries_.push_back(std::move(entry));
  if (entries_.size() > kMaxLedgerEntries) entries_.pop_front();
}

}  // namespace copperlead
