// Decides which configuration this node runs: each version that is offered is taken, held or
// refused. Nothing else moves a node from one table to another. The ledger does no I/O and reads no
// clock; `copperlead replay` repeats its recorded inputs and decisions.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "snapshot/bundle.h"

namespace copperlead {

// Whether a version was taken, held or refused, and why.
enum class VersionVerdict : std::uint8_t {
  kTaken,
  kAlreadyRunning,
  kHeldIncomplete,   // It names a missing service or secret and waits for it.
  kHeldJoining,      // The floor is unknown until peers answer or the bounded wait ends.
  kRefusedOlder,     // It is lower than the running version.
  kRefusedFloor,     // It is lower than the floor that peers reported.
  kRefusedConflict,  // It has the revision of the running one but another table.
  kRefusedFaulty,    // Its table has faults.
};
std::string_view Name(VersionVerdict verdict);

// A version offered to this node.
struct Offer {
  std::string origin;  // "source" or the id of the peer that sent the version.
  DocumentVersion version;
  bool faulty = false;
  std::vector<std::string> missing;  // Names that the table uses and the bundle lacks.
  Digest table_digest{};             // Distinguishes a conflict from changed secrets.
  std::string fault{};  // Row, column and cause of the first fault of a faulty table, if known.
};

// True when the version was refused for another reason than being older than the running one.
bool IsRefusal(VersionVerdict verdict);

// State that determines a verdict together with the offer.
struct LedgerState {
  bool joining = true;  // True at start and after a pause; nothing is taken.
  DocumentVersion running;
  Digest running_table{};
  DocumentVersion floor;
};

// One decision, as the journal and `status` show it. It contains no secret.
struct LedgerEntry {
  Timestamp when{};
  Offer offer;
  LedgerState before;
  VersionVerdict verdict = VersionVerdict::kTaken;
  std::string explanation;  // One sentence for an operator.
};

// Rules that tests break on purpose, to show that their checks can fail. Never set in a daemon.
struct LedgerFaults {
  bool accept_older = false;
  bool ignore_floor = false;
  bool accept_incomplete = false;
  bool accept_faulty = false;
  bool replace_on_conflict = false;
};

// Pure function: the same state and offer always give the same verdict.
VersionVerdict DecideVersion(const LedgerState& state, const Offer& offer,
                             const LedgerFaults& faults = {});

class VersionLedger {
 public:
  explicit VersionLedger(const LedgerFaults& faults = {});

  // Decides on a version and records the decision. The caller activates the version if and only if
  // the result is kTaken.
  VersionVerdict Decide(Timestamp now, const Offer& offer);

  // Raises the floor to a version that a peer remembers or runs. Never lowers it.
  void RaiseFloor(const DocumentVersion& floor);
  void SetJoining(bool joining);

  bool joining() const { return state_.joining; }
  const DocumentVersion& running() const { return state_.running; }
  const DocumentVersion& floor() const { return state_.floor; }
  // Version that is held, and version that conflicts with the running one.
  const std::optional<LedgerEntry>& waiting() const { return waiting_; }
  const std::optional<LedgerEntry>& conflict() const { return conflict_; }
  // Latest refusal whose version is not superseded by the running one.
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
