// When this node reads the source. Very few nodes should at any time, whatever the fleet's size.
//
// A node that runs a configuration polls by its rank in the zone: rank 0 each interval, rank r
// each interval * 4^r up to rank 3, so that a reader that cannot reach the source is made up for.
// The polls of different zones are spread over the interval. A node without one first listens for
// peers; see MayReadFirst.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "distribution/agent.h"
#include "distribution/random_source.h"

namespace copperlead {

// What the poller must know of the node at a check.
struct PollSituation {
  bool role_allowed = true;       // False while joining after a pause, and when leaving.
  bool has_peer_contact = false;  // Some peer was heard since the start.
  bool has_document = false;      // A configuration runs.
  bool peer_ahead = false;        // A peer is known that has what this node lacks.
  bool has_machines = false;      // A list of machines is in use.
  std::size_t rank = 0;           // In the own zone.
  std::size_t zone_index = 0;
  std::size_t zone_count = 1;
  std::size_t live_count = 1;  // Members believed alive, this node included.
  Timestamp view_changed_at{};
};

// What to do with an answer of the source.
enum class AnswerUse {
  kIgnore,         // Nothing was asked, or what was asked is void; or it failed again.
  kReportFailure,  // Reads of this stream began to fail.
  kTake,           // New or not modified.
};

class SourcePoller {
 public:
  // @param contact_count first contacts in the settings.
  SourcePoller(const AgentSettings& settings, std::size_t contact_count, std::uint64_t seed,
               Timestamp now);

  // True when Check is due; the situation need not be put together before.
  bool Due(Timestamp now) const { return now >= next_check_; }
  // @return the streams to ask for now; the caller adds the ETags.
  std::vector<FetchFromSource> Check(Timestamp now, const PollSituation& situation);

  AnswerUse Accept(Timestamp now, const SourceAnswered& answer);

  // Marks whether the last configuration read was behind the running one.
  void SetBehind(std::uint64_t revision);

  // Forgets what is outstanding and drops the role.
  void Drop();
  Timestamp NextDeadline() const { return next_check_; }
  bool is_reader() const { return is_reader_; }
  const SourceState& state() const { return state_; }

 private:
  // Polling of one stream.
  struct Stream {
    bool answered = false;  // Ever, whatever the answer.
    bool outstanding = false;
    Timestamp void_at{};  // When an outstanding read counts as failed.
    std::size_t failures_in_a_row = 0;
    Timestamp not_before{};  // Backoff after failures.
  };

  bool MayRead(Timestamp now, const PollSituation& situation);
  bool MayReadFirst(Timestamp now, const PollSituation& situation) const;
  Duration Probes(std::int64_t count) const;
  bool IsDueByRank(Timestamp now, const PollSituation& situation) const;
  void ExpireOutstanding(Timestamp now);
  void CountFailure(Timestamp now, Stream& stream);
  void UpdateKind();
  Duration WallTime(Timestamp now) const;
  Duration ZonePhase(const PollSituation& situation) const;
  Timestamp NextSlot(Timestamp now, const PollSituation& situation) const;
  FetchFromSource Ask(Timestamp now, StreamKind kind);

  const AgentSettings& settings_;
  RandomSource random_;
  Timestamp started_;
  Timestamp isolated_start_;       // First read of a node that hears no peer.
  std::uint64_t first_read_draw_;  // Place of the first read in the random wait, per mille.
  Duration own_phase_;             // Of a node whose polls are not spread by zone.
  Timestamp next_check_;
  bool may_poll_ = false;   // Whether the last check found this node fit to poll.
  bool is_reader_ = false;  // Whether it did so, and at rank 0.
  std::array<Stream, kStreamCount> streams_;
  SourceState state_;
};

}  // namespace copperlead
