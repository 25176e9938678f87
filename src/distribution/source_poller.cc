#include "distribution/source_poller.h"

#include <algorithm>

#include "distribution/reader_election.h"

namespace copperlead {
namespace {

using std::chrono::seconds;

// A read without an answer for this long counts as failed. The timeouts of the code that performs
// the reads are shorter.
constexpr Duration kReadTimeout = seconds(5);
// Nodes without a configuration check at least this often whether they should read.
constexpr Duration kFirstCheckInterval = Milliseconds(500);
// The *Probes constants count probe intervals, because probes complete the member lists.
// The member list must not have changed for this long before a first read.
constexpr std::int64_t kSettleProbes = 1;
// After this long without a change the list is assumed complete, and no random wait is added.
constexpr std::int64_t kCompleteProbes = 3;
// A member list that keeps changing delays a first read by at most this plus twice the random wait.
constexpr std::int64_t kUnsettledProbes = 2;
// A node that runs a configuration polls once its member list is assumed complete, or this long
// after its start. Earlier, many nodes of a starting fleet would take themselves for the reader.
constexpr std::int64_t kUnsettledRoleProbes = 10;
// The random wait grows with the number of known members, up to a limit. In a large fleet the lists
// are still partial when they stop changing, and many nodes take themselves for the reader.
constexpr Duration kWaitPerMember = Milliseconds(20);
constexpr Duration kMaxRandomWait = seconds(10);
constexpr std::uint64_t kPerMille = 1000;
// Additional wait per rank before a first read, so that the reader reads first.
constexpr Duration kFirstReadStep = seconds(2);
// Members of higher rank never do a first read while they receive messages from peers.
constexpr std::size_t kMaxFirstReadRank = 7;
// Maximum wait for a peer that is ahead but does not deliver.
constexpr Duration kMaxPeerWait = seconds(30);
// Each contact adds this to the random wait of a node that receives no message.
constexpr Duration kWaitPerContact = seconds(1);
// Highest rank that polls, and the factor by which each rank polls less often than the one before.
constexpr std::size_t kMaxPollingRank = kPollingRanks - 1;
constexpr std::int64_t kRankSlowdown = 4;
constexpr std::size_t kMaxBackoffDoublings = 16;

std::size_t IndexOf(StreamKind kind) { return static_cast<std::size_t>(kind); }

Duration RankWait(std::size_t rank) {
  const std::size_t steps = std::min<std::size_t>(rank, 30);
  return kFirstReadStep * static_cast<std::int64_t>(steps);
}

}  // namespace

SourcePoller::SourcePoller(const AgentSettings& settings, std::size_t contact_count,
                           std::uint64_t seed, Timestamp now)
    : settings_(settings), random_(seed), started_(now) {
  const auto contacts = static_cast<std::int64_t>(contact_count);
  isolated_start_ = contact_count == 0
                        ? now + random_.UpTo(settings.join_wait)
                        : now + settings.join_wait + random_.UpTo(kWaitPerContact * (contacts + 1));
  first_read_share_ = random_.Below(kPerMille + 1);
  own_phase_ = random_.UpTo(settings.source_interval);
  next_check_ = now + random_.UpTo(kFirstCheckInterval);
  if (!settings.has_source) next_check_ = Timestamp::max();
}

std::vector<FetchFromSource> SourcePoller::Check(Timestamp now, const PollSituation& situation) {
  ExpireOutstanding(now);
  const bool every_node = settings_.strategy == Strategy::kEveryNodePolls;
  const bool settled = now >= std::min(situation.view_changed_at + ProbeIntervals(kCompleteProbes),
                                       started_ + ProbeIntervals(kUnsettledRoleProbes));
  may_poll_ = situation.role_allowed && (settled || every_node);
  is_reader_ = may_poll_ && (situation.rank == 0 || every_node);
  UpdateKind();
  next_check_ = NextSlot(now, situation);
  std::vector<FetchFromSource> fetches;
  if (!MayRead(now, situation)) return fetches;
  // A node that knows no peers reads the machine list before it reads the configuration.
  const bool knows_no_peer = !situation.has_peer_contact && !situation.has_machines;
  const bool machines_first =
      knows_no_peer && !streams_[IndexOf(StreamKind::kMachines)].answered && !every_node;
  for (const StreamKind kind : {StreamKind::kMachines, StreamKind::kConfiguration}) {
    const Stream& stream = streams_[IndexOf(kind)];
    if (stream.outstanding || now < stream.backoff_end) continue;
    if (machines_first && kind == StreamKind::kConfiguration) continue;
    fetches.push_back(BeginRead(now, kind));
  }
  return fetches;
}

FetchFromSource SourcePoller::BeginRead(Timestamp now, StreamKind kind) {
  Stream& stream = streams_[IndexOf(kind)];
  stream.outstanding = true;
  stream.read_deadline = now + kReadTimeout;
  ++state_.reads;
  return {kind, {}};
}

bool SourcePoller::MayRead(Timestamp now, const PollSituation& situation) {
  if (settings_.strategy == Strategy::kEveryNodePolls) return true;
  if (!situation.has_document) return MayReadFirst(now, situation);
  return may_poll_ && IsDueByRank(now, situation);
}

// Keeps nodes that start together from reading together. A node that receives messages from
// peers waits until its view has settled, plus a time that grows with its rank number. One that
// receives none waits a random time that grows with the number of its contacts. A node that knows a
// peer with a configuration gets the configuration from that peer instead.
bool SourcePoller::MayReadFirst(Timestamp now, const PollSituation& situation) const {
  if (situation.peer_ahead && now < started_ + kMaxPeerWait) return false;
  const Duration rank_wait = RankWait(situation.rank);
  if (!situation.has_peer_contact) return now >= isolated_start_ + rank_wait;
  if (situation.rank > kMaxFirstReadRank) return false;
  const auto live_count = static_cast<std::int64_t>(situation.live_count);
  const Duration random_wait = std::min(kWaitPerMember * live_count, kMaxRandomWait) *
                               static_cast<std::int64_t>(first_read_share_) /
                               static_cast<std::int64_t>(kPerMille);
  const Timestamp changed = std::max(situation.view_changed_at, started_);
  const Timestamp settled = changed + std::min(ProbeIntervals(kSettleProbes) + random_wait,
                                               ProbeIntervals(kCompleteProbes));
  const Timestamp latest = started_ + ProbeIntervals(kUnsettledProbes) + 2 * random_wait;
  return now >= std::min(settled, latest) + rank_wait;
}

Duration SourcePoller::ProbeIntervals(std::int64_t count) const {
  return settings_.membership.probe_interval * count;
}

// Standbys poll the source too, in case the reader cannot reach it. Each rank polls kRankSlowdown
// times less often than the one before. Intervals are numbered by the wall clock and each rank has
// its own intervals, so that at most one standby of a zone reads in an interval.
bool SourcePoller::IsDueByRank(Timestamp now, const PollSituation& situation) const {
  if (situation.rank > kMaxPollingRank) return false;
  if (situation.rank == 0) return true;
  const auto rank = static_cast<std::int64_t>(situation.rank);
  std::int64_t slowdown = 1;
  for (std::int64_t step = 0; step < rank; ++step) slowdown *= kRankSlowdown;
  const Duration since_phase = WallTime(now) - ZonePhase(situation);
  const std::int64_t interval_number = since_phase / settings_.source_interval;
  // Shifted by zone, so that a standby of some zone reads in each interval when all readers fail.
  const auto zone_index = static_cast<std::int64_t>(situation.zone_index);
  return (interval_number + zone_index) % slowdown == rank;
}

void SourcePoller::ExpireOutstanding(Timestamp now) {
  for (Stream& stream : streams_) {
    if (!stream.outstanding || now < stream.read_deadline) continue;
    stream.outstanding = false;
    stream.answered = true;
    CountFailure(now, stream);
  }
}

AnswerUse SourcePoller::Accept(Timestamp now, const SourceAnswered& answer) {
  Stream& stream = streams_[IndexOf(answer.stream)];
  if (!stream.outstanding) return AnswerUse::kIgnore;
  stream.outstanding = false;
  stream.answered = true;
  if (answer.status == SourceAnswered::Status::kFailed) {
    CountFailure(now, stream);
    UpdateKind();
    return stream.failures_in_a_row == 1 ? AnswerUse::kReportFailure : AnswerUse::kIgnore;
  }
  stream.failures_in_a_row = 0;
  stream.backoff_end = Timestamp{};
  if (answer.stream == StreamKind::kConfiguration) state_.last_success = now;
  UpdateKind();
  return AnswerUse::kTake;
}

// Uses exponential backoff with full jitter, so that readers that failed together do not retry
// together.
void SourcePoller::CountFailure(Timestamp now, Stream& stream) {
  ++state_.failures;
  stream.failures_in_a_row = std::min(stream.failures_in_a_row + 1, kMaxBackoffDoublings);
  const std::int64_t factor = std::int64_t{1} << stream.failures_in_a_row;
  const Duration limit =
      std::min(settings_.source_interval * factor, settings_.source_backoff_limit);
  stream.backoff_end = now + random_.UpTo(limit);
}

void SourcePoller::SetBehind(std::uint64_t revision) {
  state_.behind_revision = revision;
  UpdateKind();
}

void SourcePoller::UpdateKind() {
  using Kind = SourceState::Kind;
  if (streams_[IndexOf(StreamKind::kConfiguration)].failures_in_a_row > 0) {
    state_.kind = Kind::kFailing;
  } else if (state_.behind_revision != 0) {
    state_.kind = Kind::kBehind;
  } else if (!is_reader_) {
    state_.kind = Kind::kNotReader;
  } else {
    state_.kind = state_.last_success == Timestamp{} ? Kind::kNever : Kind::kHealthy;
  }
}

void SourcePoller::Reset() {
  for (Stream& stream : streams_) stream.outstanding = false;
  may_poll_ = false;
  is_reader_ = false;
  UpdateKind();
}

Duration SourcePoller::WallTime(Timestamp now) const {
  return now.time_since_epoch() + Milliseconds(settings_.wall_clock_offset_ms);
}

// Returns the phase of this node's polls in the interval by the wall clock. It differs between
// zones and between ranks.
Duration SourcePoller::ZonePhase(const PollSituation& situation) const {
  const auto zone_index = static_cast<std::int64_t>(situation.zone_index);
  const auto zone_count = static_cast<std::int64_t>(std::max<std::size_t>(situation.zone_count, 1));
  const Duration zone_share = settings_.source_interval / zone_count;
  const auto rank = static_cast<std::int64_t>(std::min(situation.rank, kMaxPollingRank));
  const Duration rank_shift = zone_share * rank / static_cast<std::int64_t>(kMaxPollingRank + 1);
  return zone_share * zone_index + rank_shift;
}

Timestamp SourcePoller::NextSlot(Timestamp now, const PollSituation& situation) const {
  const bool first = !situation.has_document;
  const bool by_zone = !first && settings_.strategy != Strategy::kEveryNodePolls;
  const Duration interval =
      first ? std::min(settings_.source_interval, kFirstCheckInterval) : settings_.source_interval;
  const Duration phase = by_zone ? ZonePhase(situation) : own_phase_;
  Duration wait = (phase - WallTime(now)) % interval;
  if (wait <= Duration::zero()) wait += interval;
  return now + wait;
}

}  // namespace copperlead
