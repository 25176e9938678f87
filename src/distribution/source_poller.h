// Decides when this node reads the source. At any time only very few nodes should read it, whatever
// the size of the fleet.
//
// A node that runs a configuration polls by its rank in the zone: rank 0 in each interval, rank r
// once in 4^r intervals up to rank 3, so that standbys replace a reader that cannot reach the
// source. The polls of different zones are spread over the interval. A node without a configuration
// first waits for messages from peers; see MayReadFirst.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "distribution/agent.h"
#include "distribution/random_source.h"

namespace copperlead {

// State of the node that the poller needs for a check.
struct PollSituation {
  bool role_allowed = true;       // False while joining after a pause, and when leaving.
  bool has_peer_contact = false;  // A peer sent a message since the join began.
  bool has_document = false;      // A configuration runs.
  bool peer_ahead = false;        // A peer is known that runs a version this node wants.
  bool has_machines = false;      // A list of machines is in use.
  std::size_t rank = 0;           // Rank of this node in its zone.
  std::size_t zone_index = 0;
  std::size_t zone_count = 1;
  std::size_t live_count = 1;  // Members believed alive, this node included.
  Timestamp view_changed_at{};
};

// What to do with an answer from the source.
enum class AnswerUse {
  kIgnore,         // No read was outstanding, or the read failed again.
  kReportFailure,  // Reads of this stream began to fail.
  kTake,           // The document is new or not modified.
};

class SourcePoller {
 public:
  // @param contact_count number of first contacts in the settings.
  SourcePoller(const AgentSettings& settings, std::size_t contact_count, std::uint64_t seed,
               Timestamp now);

  // True when Check is due. Before that, the caller need not collect the situation.
  bool IsDue(Timestamp now) const { return now >= next_check_; }
  // @return the streams to read now. The caller adds the ETags.
  std::vector<FetchFromSource> Check(Timestamp now, const PollSituation& situation);

  AnswerUse Accept(Timestamp now, const SourceAnswered& answer);

  // Sets the revision of the last configuration read if it was behind the running one, else 0.
  void SetBehind(std::uint64_t revision);

  // Forgets the outstanding reads and gives up the reader role.
  void Reset();
  Timestamp NextDeadline() const { return next_check_; }
  bool is_reader() const { return is_reader_; }
  const SourceState& state() const { return state_; }

 private:
  // Polling of one stream.
  struct Stream {
    bool answered = false;  // True after the first answer, time-out or failure.
    bool outstanding = false;
    Timestamp read_deadline{};  // Time when an outstanding read counts as failed.
    std::size_t failures_in_a_row = 0;
    Timestamp backoff_end{};  // End of the backoff after a failure.
  };

  bool MayRead(Timestamp now, const PollSituation& situation);
  bool MayReadFirst(Timestamp now, const PollSituation& situation) const;
  Duration ProbeIntervals(std::int64_t count) const;
  bool IsDueByRank(Timestamp now, const PollSituation& situation) const;
  void ExpireOutstanding(Timestamp now);
  void CountFailure(Timestamp now, Stream& stream);
  void UpdateKind();
  Duration WallTime(Timestamp now) const;
  Duration ZonePhase(const PollSituation& situation) const;
  Timestamp NextSlot(Timestamp now, const PollSituation& situation) const;
  FetchFromSource BeginRead(Timestamp now, StreamKind kind);

  const AgentSettings& settings_;
  RandomSource random_;
  Timestamp started_;
  Timestamp isolated_start_;        // Earliest first read without a message from a peer.
  std::uint64_t first_read_share_;  // Share of the random wait before the first read, per mille.
  Duration own_phase_;              // Phase of polls that are not spread by zone.
  Timestamp next_check_;
  bool may_poll_ = false;   // Whether the last check allowed this node to poll.
  bool is_reader_ = false;  // Whether it also had rank 0.
  std::array<Stream, kStreamCount> streams_;
  SourceState state_;
};

}  // namespace copperlead
