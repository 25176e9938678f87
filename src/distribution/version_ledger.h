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

// One decision, as the journal and `status` show it. Holds no secret.
struct LedgerEntry {
  Timestamp when{};
  std::string origin;  // "source" or the id of the peer that sent the version.
  DocumentVersion offered;
  Digest table_digest{};  // Of the offered table; tells a conflict from other secrets.
  bool faulty = false;
  std::vector<std::string> missing;  // Names the offered bundle lacks.
  DocumentVersion running_before;
  DocumentVersion floor;
  bool joining = false;
  VersionVerdict verdict = VersionVerdict::kTaken;
  std::string explanation;  // One sentence for an operator.
};

// The facts that a verdict rests on.
struct Offer {
  std::string origin;
  DocumentVersion version;
  bool faulty = false;
  std::vector<std::string> missing;
  Digest table_digest{};
};

// Deliberately broken rules, for tests that show the checks can fail. Never set in a daemon.
struct LedgerFaults {
  bool accept_older = false;
  bool ignore_floor = false;
  bool accept_incomplete = false;
  bool accept_faulty = false;
  bool replace_on_conflict = false;
};

class VersionLedger {
 public:
  explicit VersionLedger(const LedgerFaults& faults = {});

  // Judges a version and records the decision. The caller activates exactly when kTaken.
  VersionVerdict Judge(Timestamp now, const Offer& offer);

  // Raises the floor to what a peer remembers or runs; never lowers it.
  void RaiseFloor(const DocumentVersion& floor);
  // While joining (at start, after a pause) nothing is taken.
  void SetJoining(bool joining);

  bool joining() const { return joining_; }
  const DocumentVersion& running() const { return running_; }
  const DocumentVersion& floor() const { return floor_; }
  // The version that waits for a resource, and the one that conflicts with the running one.
  const std::optional<LedgerEntry>& waiting() const { return waiting_; }
  const std::optional<LedgerEntry>& conflict() const { return conflict_; }
  const std::deque<LedgerEntry>& entries() const { return entries_; }

 private:
  VersionVerdict Decide(const Offer& offer) const;
  void Record(Timestamp now, const Offer& offer, VersionVerdict verdict);

  LedgerFaults faults_;
  bool joining_ = true;
  DocumentVersion running_;
  Digest running_table_{};
  DocumentVersion floor_;
  std::optional<LedgerEntry> waiting_;
  std::optional<LedgerEntry> conflict_;
  std::deque<LedgerEntry> entries_;  // At most kMaxLedgerEntries, oldest first.
};

inline constexpr std::size_t kMaxLedgerEntries = 1024;

}  // namespace copperlead
