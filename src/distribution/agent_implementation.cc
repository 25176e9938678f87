#include "distribution/agent_implementation.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace copperlead {
namespace {

// Number of probe intervals for which a member believed dead still counts in the ranking of
// readers. This is long enough for the member to receive a false report of its death and to refute
// it. In the meantime its standbys replace it.
constexpr std::int64_t kLeaderRetentionProbes = 10;

// Salts that derive distinct random sequences from one seed.
enum SeedSalt : std::uint64_t {
  kMembershipSeed = 1,
  kPollerSeed,
  kConfigurationRepairSeed,
  kMachineRepairSeed,
  kSeedsPerNode,
};

std::vector<Machine> NodesOf(const MachineList& list) {
  std::vector<Machine> nodes;
  for (const Machine& machine : list.machines) {
    if (machine.kind == MachineKind::kNode) nodes.push_back(machine);
  }
  return nodes;
}

// Returns true when the lists contain the same nodes. Most changes of the list concern back ends.
bool SameNodes(const MachineList& left, const MachineList& right) {
  return NodesOf(left) == NodesOf(right);
}

std::uint64_t Salted(std::uint64_t seed, SeedSalt salt) { return seed * kSeedsPerNode + salt; }

TransferDecoder& DecoderOf(const AgentSettings& settings) {
  return settings.decoder ? *settings.decoder : TransferDecoder::Uncached();
}

DocumentVersion LaterOf(const DocumentVersion& left, const DocumentVersion& right) {
  return IsNewer(left, right) ? left : right;
}

MemberRecord WithoutVersion(MemberRecord record) {
  record.configuration = {};
  return record;
}

}  // namespace

Agent::Implementation::Implementation(const AgentSettings& settings, MemberRecord self,
                                      const std::vector<SocketAddress>& contacts,
                                      std::uint64_t seed, Timestamp now)
    : settings_(settings),
      membership_(settings_.membership, WithoutVersion(std::move(self)),
                  Salted(seed, kMembershipSeed), now),
      view_(membership_, settings_.membership.probe_interval * kLeaderRetentionProbes),
      configuration_(settings_.faults, settings_.history_size, outbox_, DecoderOf(settings_)),
      machines_(settings_.history_size, outbox_, DecoderOf(settings_)),
      configuration_pusher_(settings_, membership_, view_, configuration_,
                            EtagOf(StreamKind::kConfiguration), outbox_),
      machine_pusher_(settings_, membership_, view_, machines_, EtagOf(StreamKind::kMachines),
                      outbox_),
      configuration_repairer_(settings_, membership_, view_, configuration_, outbox_,
                              Salted(seed, kConfigurationRepairSeed)),
      machine_repairer_(settings_, membership_, view_, machines_, outbox_,
                        Salted(seed, kMachineRepairSeed)),
      poller_(settings_, contacts.size(), Salted(seed, kPollerSeed), now),
      whole_transfer_limiter_(settings_.whole_transfers_per_second),
      join_gate_(settings_.join_wait, settings_.join_quorum),
      deadline_(now) {
  membership_.AddContacts(contacts);
}

std::vector<Action> Agent::Implementation::Step(Timestamp now, const Event& event) {
  if (!started_) {
    Start(now);
  } else if (now > deadline_ + settings_.pause_threshold) {
    ResetAfterPause(now);
  }
  std::visit([&](const auto& typed) { On(now, typed); }, event);
  RunDueWork(now);
  membership_.SetVersions(configuration_.running(), machines_.running());
  UpdateRefusal();
  UpdateDeadline(now);
  return outbox_.has_messages() ? outbox_.Take(membership_.Summary()) : outbox_.Take();
}

// Refusals because of the floor concern this node only and are not reported to the fleet. The other
// refusals concern the version itself.
void Agent::Implementation::UpdateRefusal() {
  fleet_refusal_.SetRunning(configuration_.running());
  const std::optional<LedgerEntry>& own = configuration_.ledger().last_refused();
  if (own && own->verdict != VersionVerdict::kRefusedFloor) {
    fleet_refusal_.Record({own->offer.version, membership_.self().id,
                           own->explanation.substr(0, kMaxExplanationBytes)});
  }
  membership_.SetRefused(fleet_refusal_.known());
}

void Agent::Implementation::Start(Timestamp now) {
  started_ = true;
  BeginJoin(now);
}

void Agent::Implementation::BeginJoin(Timestamp now) {
  configuration_.ledger().SetJoining(true);
  join_gate_.Begin(now);
  outbox_.Send(membership_.Join(now));
}

// The process was paused, so its view of the fleet is outdated. It continues to run its version,
// but has no role and takes no version until the new wait for peers ends.
void Agent::Implementation::ResetAfterPause(Timestamp now) {
  poller_.Reset();
  configuration_pusher_.Reset();
  machine_pusher_.Reset();
  configuration_repairer_.Reset();
  machine_repairer_.Reset();
  if (!leaving_) BeginJoin(now);
}

void Agent::Implementation::On(Timestamp now, const TimerFired& /*event*/) {
  if (now >= membership_.NextDeadline()) outbox_.Send(membership_.Tick(now));
}

// Does the work that may be due after any event.
void Agent::Implementation::RunDueWork(Timestamp now) {
  UpdateJoinGate(now);
  configuration_pusher_.Tick(now);
  machine_pusher_.Tick(now);
  configuration_repairer_.Tick(now);
  machine_repairer_.Tick(now);
  PollSource(now);
}

void Agent::Implementation::UpdateJoinGate(Timestamp now) {
  if (!join_gate_.Update(now)) return;
  configuration_.ledger().SetJoining(false);
  const SourceFinding finding = configuration_.OfferHeldAgain(now);
  if (finding == SourceFinding::kTaken) PushFromSource(now, configuration_pusher_);
}

void Agent::Implementation::PollSource(Timestamp now) {
  if (leaving_ || !poller_.IsDue(now)) return;
  view_.Refresh(now);
  PollSituation situation;
  situation.has_document = !configuration_.running().none();
  if (!situation.has_document && Repairs(StreamKind::kConfiguration)) {
    configuration_repairer_.FindTarget(now);
  }
  situation.role_allowed = !join_gate_.waiting();
  situation.has_peer_contact = join_gate_.has_peer_contact();
  situation.peer_ahead = configuration_repairer_.has_target();
  situation.has_machines = !machines_.running().none();
  // A node that starts uses the rank of its current view, because it has no earlier one.
  const std::size_t stable_rank = view_.StableRank(now);
  situation.rank = situation.has_document ? stable_rank : view_.own_rank();
  situation.zone_index = view_.zone_index();
  situation.zone_count = view_.zone_count();
  situation.live_count = membership_.LiveCount();
  situation.view_changed_at = view_.changed_at();
  for (FetchFromSource& fetch : poller_.Check(now, situation)) {
    if (fetch.stream == StreamKind::kConfiguration) version_at_read_ = configuration_.running();
    fetch.etag = EtagOf(fetch.stream).BeginRead(StreamOf(fetch.stream).running());
    outbox_.Add(std::move(fetch));
  }
}

void Agent::Implementation::On(Timestamp now, const SourceAnswered& event) {
  const AnswerUse use = poller_.Accept(now, event);
  if (use == AnswerUse::kReportFailure) {
    outbox_.Add(Report{event.error.kind, event.error.place, event.error.cause});
  }
  if (use != AnswerUse::kTake) return;
  if (event.status == SourceAnswered::Status::kNotModified) {
    OnNotModified(event);
  } else if (event.stream == StreamKind::kMachines) {
    HandleSourceMachines(now, event);
  } else {
    HandleSourceConfiguration(now, event);
  }
}

// A 304 for this node's own ETag changes nothing. A 304 for a peer's ETag means that the source
// serves the document of the running version, and must have the same effect as reading that
// document.
void Agent::Implementation::OnNotModified(const SourceAnswered& event) {
  const DocumentVersion running = StreamOf(event.stream).running();
  if (!EtagOf(event.stream).RecordNotModified(event.etag, running)) return;
  if (event.stream != StreamKind::kConfiguration) return;
  configuration_.ConfirmFromSource();
  poller_.SetBehind(0);
}

void Agent::Implementation::HandleSourceMachines(Timestamp now, const SourceAnswered& event) {
  if (event.machines == nullptr) return;
  const DocumentVersion& read = event.machines->version;
  const bool taken = machines_.ReceiveFromSource(event.machines);
  EtagOf(event.stream).RecordDocument(event.etag, read, LaterOf(read, machines_.running()));
  if (!taken) return;
  SeedMembership(now);
  PushFromSource(now, machine_pusher_);
}

void Agent::Implementation::HandleSourceConfiguration(Timestamp now, const SourceAnswered& event) {
  if (event.configuration == nullptr) return;
  const DocumentVersion& read = event.configuration->bundle.version;
  const bool faulty = !event.configuration->faults.empty();
  const SourceFinding finding =
      configuration_.ReceiveFromSource(now, event.configuration, version_at_read_);
  EtagOf(event.stream)
      .RecordDocument(event.etag, faulty ? DocumentVersion{} : read,
                      LaterOf(read, configuration_.running()));
  const bool behind = finding == SourceFinding::kBehind;
  poller_.SetBehind(behind ? event.configuration->bundle.revision : 0);
  if (finding == SourceFinding::kTaken) PushFromSource(now, configuration_pusher_);
}

void Agent::Implementation::PushFromSource(Timestamp now, Pusher& pusher) {
  if (!Pushes()) return;
  view_.Refresh(now);
  pusher.PushToAllZones(now);
}

void Agent::Implementation::On(Timestamp now, const StopRequested& /*event*/) {
  if (leaving_) return;
  leaving_ = true;
  poller_.Reset();
  outbox_.Send(membership_.Leave(now));
}

void Agent::Implementation::SeedMembership(Timestamp now) {
  const MachineListPointer before = std::exchange(seeded_list_, machines_.list());
  if (before != nullptr && SameNodes(*before, *seeded_list_)) return;
  std::vector<MemberRecord> seeds;
  for (const Machine& machine : machines_.list()->machines) {
    if (machine.kind != MachineKind::kNode || machine.id == membership_.self().id) continue;
    MemberRecord record;
    record.id = machine.id;
    record.zone = machine.zone;
    record.address = machine.address;
    const bool leaves = machine.state == MachineState::kLeaving;
    record.state = leaves ? MemberState::kLeaving : MemberState::kAlive;
    seeds.push_back(std::move(record));
  }
  membership_.AddSeeds(now, seeds);
  if (!seeds.empty()) RejoinAfterSeeding(now);
}

// Repeats the join when the list names nodes while no peer has sent a message and nothing runs, so
// that these nodes are asked before anything is activated.
void Agent::Implementation::RejoinAfterSeeding(Timestamp now) {
  const bool unneeded = join_gate_.has_peer_contact() || !configuration_.running().none();
  if (unneeded || rejoined_after_seeding_) return;
  rejoined_after_seeding_ = true;
  BeginJoin(now);
}

void Agent::Implementation::UpdateDeadline(Timestamp now) {
  Timestamp deadline = membership_.NextDeadline();
  deadline = std::min(deadline, join_gate_.NextDeadline());
  deadline = std::min(deadline, configuration_pusher_.NextDeadline());
  deadline = std::min(deadline, machine_pusher_.NextDeadline());
  deadline = std::min(deadline, configuration_repairer_.NextDeadline());
  deadline = std::min(deadline, machine_repairer_.NextDeadline());
  if (!leaving_) deadline = std::min(deadline, poller_.NextDeadline());
  deadline_ = std::max(deadline, now);
}

DocumentStream& Agent::Implementation::StreamOf(StreamKind kind) {
  if (kind == StreamKind::kConfiguration) return configuration_;
  return machines_;
}

SourceEtag& Agent::Implementation::EtagOf(StreamKind kind) {
  return etags_.at(static_cast<std::size_t>(kind));
}

Pusher& Agent::Implementation::PusherOf(StreamKind kind) {
  return kind == StreamKind::kConfiguration ? configuration_pusher_ : machine_pusher_;
}

Repairer& Agent::Implementation::RepairerOf(StreamKind kind) {
  return kind == StreamKind::kConfiguration ? configuration_repairer_ : machine_repairer_;
}

bool Agent::Implementation::Pushes() const {
  return settings_.strategy != Strategy::kGossipOnly &&
         settings_.strategy != Strategy::kEveryNodePolls;
}

// The strategies without repair still deliver its first document to a node that has none.
bool Agent::Implementation::Repairs(StreamKind kind) {
  switch (settings_.strategy) {
    case Strategy::kFull:
    case Strategy::kGossipOnly:
      return true;
    case Strategy::kEveryNodePolls:
      return false;
    case Strategy::kFlatPush:
    case Strategy::kTreeOnly:
      return StreamOf(kind).running().none();
  }
  return true;
}

}  // namespace copperlead
