#include "distribution/source_poller.h"

#include <algorithm>

#include "distribution/reader_election.h"

namespace copperlead {
namespace {

using std::chrono::seconds;

// A read without an answer for this long is void; the shell's own timeouts are shorter.
constexpr Duration kReadTimeout = seconds(5);
// Nodes without a configuration look whether they should read at least this often.
constexpr Duration kFirstCheckInterval = Milliseconds(500);
// Times in probe intervals, in which member lists are completed.
// The member list must not have changed for this long before a first read.
constexpr std::int64_t kSettleProbes = 1;
// After this long without a change the list is taken to be whole, and no random wait is added.
constexpr std::int64_t kCertainProbes = 3;
// A member list that does not settle delays a first read by this and twice the random wait.
constexpr std::int64_t kUnsettledProbes = 2;
// A node that runs a configuration polls once its list has been certain, or this long after its
// start: before, many nodes of a fleet that starts take themselves for the reader.
constexpr std::int64_t kUnsettledRoleProbes = 10;
// The random wait grows with the members known, up to a limit: in a large fleet lists are still
// partial when they seem settled, and many nodes take themselves for the reader.
constexpr Duration kWaitPerMember = Milliseconds(20);
constexpr Duration kLongestRandomWait = seconds(10);
constexpr std::uint64_t kPerMille = 1000;
// Further wait per rank of a first read: the reader comes first.
constexpr Duration kFirstReadStep = seconds(2);
// Members of higher rank never do the first read while they hear the fleet.
constexpr std::size_t kMaxFirstReadRank = 7;
// Longest wait for a peer that is ahead but does not deliver.
constexpr Duration kLongestPeerWait = seconds(30);
// Each unanswered contact widens the random wait of an isolated node by this.
constexpr Duration kWaitPerContact = seconds(1);
// Ranks that poll at all, and by how much slower each is than the one before.
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
  const auto uncertainty = static_cast<std::int64_t>(contact_count);
  isolated_start_ = contact_count == 0 ? now + random_.UpTo(settings.join_wait)
                                       : now + settings.join_wait +
                                             random_.UpTo(kWaitPerContact * (uncertainty + 1));
  first_read_draw_ = random_.Below(kPerMille + 1);
  own_phase_ = random_.UpTo(settings.source_interval);
  next_check_ = now + random_.UpTo(kFirstCheckInterval);
  if (!settings.has_source) next_check_ = Timestamp::max();
}

std::vector<FetchFromSource> SourcePoller::Check(Timestamp now, const PollSituation& situation) {
  ExpireOutstanding(now);
  const bool everyone = settings_.strategy == Strategy::kEveryNodePolls;
  const bool settled = now >= std::min(situation.view_changed_at + Probes(kCertainProbes),
                                       started_ + Probes(kUnsettledRoleProbes));
  may_poll_ = situation.role_allowed && (settled || everyone);
  is_reader_ = may_poll_ && (situation.rank == 0 || everyone);
  UpdateKind();
  next_check_ = NextSlot(now, situation);
  std::vector<FetchFromSource> fetches;
  if (!MayRead(now, situation)) return fetches;
  // A node that knows nobody asks who there is before it asks for the configuration.
  const bool knows_nobody = !situation.has_peer_contact && !situation.has_machines;
  const bool machines_first =
      knows_nobody && !streams_[IndexOf(StreamKind::kMachines)].answered && !everyone;
  for (const StreamKind kind : {StreamKind::kMachines, StreamKind::kConfiguration}) {
    const Stream& stream = streams_[IndexOf(kind)];
    if (stream.outstanding || now < stream.not_before) continue;
    if (machines_first && kind == StreamKind::kConfiguration) continue;
    fetches.push_back(Ask(now, kind));
  }
  return fetches;
}

FetchFromSource SourcePoller::Ask(Timestamp now, StreamKind kind) {
  Stream& stream = streams_[IndexOf(kind)];
  stream.outstanding = true;
  stream.void_at = now + kReadTimeout;
  ++state_.reads;
  return {kind, {}};
}

bool SourcePoller::MayRead(Timestamp now, const PollSituation& situation) {
  if (settings_.strategy == Strategy::kEveryNodePolls) return true;
  if (!situation.has_document) return MayReadFirst(now, situation);
  return may_poll_ && IsDueByRank(now, situation);
}

// A herd that starts together must not read together. A node that hears the fleet waits until its
// view has settled, and the longer the lower it ranks; one that hears nobody waits a random time
// that grows with the number of contacts it should have heard. Whoever learns of a peer that has
// a configuration gets it there instead.
bool SourcePoller::MayReadFirst(Timestamp now, const PollSituation& situation) const {
  if (situation.peer_ahead && now < started_ + kLongestPeerWait) return false;
  const Duration rank_wait = RankWait(situation.rank);
  if (!situation.has_peer_contact) return now >= isolated_start_ + rank_wait;
  if (situation.rank > kMaxFirstReadRank) return false;
  const auto live_count = static_cast<std::int64_t>(situation.live_count);
  const Duration random_wait = std::min(kWaitPerMember * live_count, kLongestRandomWait) *
                               static_cast<std::int64_t>(first_read_draw_) /
                               static_cast<std::int64_t>(kPerMille);
  const Timestamp changed = std::max(situation.view_changed_at, started_);
  const Timestamp settled =
      changed + std::min(Probes(kSettleProbes) + random_wait, Probes(kCertainProbes));
  const Timestamp latest = started_ + Probes(kUnsettledProbes) + 2 * random_wait;
  return now >= std::min(settled, latest) + rank_wait;
}

Duration SourcePoller::Probes(std::int64_t count) const {
  return settings_.membership.probe_interval * count;
}

// Standbys look at the source too, each rank kRankSlowdown times less often than the one before, in
// case the reader cannot. Intervals are numbered by the wall clock and each rank has turns of its
// own among them, so that at most one standby of a zone reads in an interval.
bool SourcePoller::IsDueByRank(Timestamp now, const PollSituation& situation) const {
  if (situation.rank > kMaxPollingRank) return false;
  if (situation.rank == 0) return true;
  const auto rank = static_cast<std::int64_t>(situation.rank);
  std::int64_t slowdown = 1;
  for (std::int64_t step = 0; step < rank; ++step) slowdown *= kRankSlowdown;
  const Duration since_phase = WallTime(now) - ZonePhase(situation);
  const std::int64_t interval_number = since_phase / settings_.source_interval;
  // Shifted by zone: when all readers fail together, some zone's standby reads in each interval.
  const auto zone_index = static_cast<std::int64_t>(situation.zone_index);
  return (interval_number + zone_index) % slowdown == rank;
}

void SourcePoller::ExpireOutstanding(Timestamp now) {
  for (Stream& stream : streams_) {
    if (!stream.outstanding || now < stream.void_at) continue;
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
  stream.not_before = Timestamp{};
  if (answer.stream == StreamKind::kConfiguration) state_.last_success = now;
  UpdateKind();
  return AnswerUse::kTake;
}

// Exponential backoff with full jitter: readers that failed together do not return together.
void SourcePoller::CountFailure(Timestamp now, Stream& stream) {
  ++state_.failures;
  stream.failures_in_a_row = std::min(stream.failures_in_a_row + 1, kMaxBackoffDoublings);
  const std::int64_t factor = std::int64_t{1} << stream.failures_in_a_row;
  const Duration limit =
      std::min(settings_.source_interval * factor, settings_.source_backoff_limit);
  stream.not_before = now + random_.UpTo(limit);
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

void SourcePoller::Drop() {
  for (Stream& stream : streams_) stream.outstanding = false;
  may_poll_ = false;
  is_reader_ = false;
  UpdateKind();
}

Duration SourcePoller::WallTime(Timestamp now) const {
  return now.time_since_epoch() + Milliseconds(settings_.wall_clock_offset_ms);
}

// Readers of different zones, and of different rank, read at different parts of the interval by the
// wall clock.
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
