// Decides which configuration this node runs: takes, holds or refuses each version offered.
// The only place that moves a node from one table to another. Pure; its inputs and decisions are
// what `copperlead replay` runs again.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "snapshot/bundle.h"

namespace copperlead {

// Why a version was taken or not.
enum class VersionVerdict : std::uint8_t {
  kTaken,
  kAlreadyRunning,
  kHeldIncomplete,   // Names a service or secret that is not there; waits for it.
  kHeldJoining,      // The floor is not known yet; waits for peers or the bounded wait.
  kRefusedOlder,     // Lower than the running one.
  kRefusedFloor,     // Lower than what peers remember this node to have run.
  kRefusedConflict,  // Same revision as the running one, other table.
  kRefusedFaulty,    // The table has faults.
};
std::string_view Name(VersionVerdict verdict);

// A version offered to this node.
struct Offer {
  std::string origin;  // "source" or the id of the peer that sent the version.
  DocumentVersion version;
  bool faulty = false;
  std::vector<std::string> missing;  // Names that the offered bundle lacks.
  Digest table_digest{};             // Tells a conflict from other secrets.
  std::string fault{};  // Of a faulty one: row, column and cause of the first fault, if known.
};

// True when the version itself was turned down, and not only what is older than the running one.
bool IsRefusal(VersionVerdict verdict);

// What a verdict rests on besides the offer.
struct LedgerState {
  bool joining = true;  // While joining (at start, after a pause) nothing is taken.
  DocumentVersion running;
  Digest running_table{};
  DocumentVersion floor;
};

// One decision, as the journal and `status` show it. Holds no secret.
struct LedgerEntry {
  Timestamp when{};
  Offer offer;
  LedgerState before;
  VersionVerdict verdict = VersionVerdict::kTaken;
  std::string explanation;  // One sentence for an operator.
};

// Deliberately broken rules, for tests that show the checks can fail. Never set in a daemon.
struct LedgerFaults {
  bool accept_older = false;
  bool ignore_floor = false;
  bool accept_incomplete = false;
  bool accept_faulty = false;
  bool replace_on_conflict = false;
};

// The rule itself: the same state and offer always get the same verdict.
VersionVerdict DecideVersion(const LedgerState& state, const Offer& offer,
                             const LedgerFaults& faults = {});

class VersionLedger {
 public:
  explicit VersionLedger(const LedgerFaults& faults = {});

  // Judges a version and records the decision. The caller activates exactly when kTaken.
  VersionVerdict Judge(Timestamp now, const Offer& offer);

  // Raises the floor to what a peer remembers or runs; never lowers it.
  void RaiseFloor(const DocumentVersion& floor);
  void SetJoining(bool joining);

  bool joining() const { return state_.joining; }
  const DocumentVersion& running() const { return state_.running; }
  const DocumentVersion& floor() const { return state_.floor; }
  // The version that waits for a resource, and the one that conflicts with the running one.
  const std::optional<LedgerEntry>& waiting() const { return waiting_; }
  const std::optional<LedgerEntry>& conflict() const { return conflict_; }
  // The latest refusal that the running version has not overtaken.
  const std::optional<LedgerEntry>& last_refused() const { return last_refused_; }
  const std::deque<LedgerEntry>& entries() const { return entries_; }

 private:
  void Record(Timestamp now, const Offer& offer, VersionVerdict verdict);

  LedgerFaults faults_;
  LedgerState state_;
  std::optional<LedgerEntry> waiting_;
  std::optional<LedgerEntry> conflict_;
  std::optional<LedgerEntry> last_refused_;
  std::deque<LedgerEntry> entries_;  // At most kMaxLedgerEntries, oldest first.
};

inline constexpr std::size_t kMaxLedgerEntries = 1024;

}  // namespace copperlead
