#include "distribution/agent.h"

#include <algorithm>
#include <utility>

#include "distribution/admission.h"
#include "distribution/configuration_stream.h"
#include "distribution/fleet_view.h"
#include "distribution/join_gate.h"
#include "distribution/machine_stream.h"
#include "distribution/outbox.h"
#include "distribution/pusher.h"
#include "distribution/repairer.h"
#include "distribution/source_poller.h"
#include "distribution/version_order.h"

namespace copperlead {
namespace {

// Members asked for their summary per StatusRequested.
constexpr std::size_t kMaxStatusQueries = 50;

// Distinct streams of random numbers from one seed.
enum SeedSalt : std::uint64_t { kMembershipSeed = 1, kPollerSeed, kRepairSeed };

MemberRecord WithoutVersion(MemberRecord record) {
  record.configuration = {};
  return record;
}

}  // namespace

class Agent::Implementation {
 public:
  Implementation(const AgentSettings& settings, MemberRecord self,
                 std::vector<SocketAddress> contacts, std::uint64_t seed, Timestamp now)
      : settings_(settings),
        membership_(settings_.membership, WithoutVersion(std::move(self)), seed + kMembershipSeed,
                    now),
        view_(membership_),
        configuration_(settings_.faults, settings_.history_size, outbox_),
        machines_(settings_.history_size, outbox_),
        configuration_pusher_(settings_, membership_, view_, configuration_, outbox_),
        machine_pusher_(settings_, membership_, view_, machines_, outbox_),
        configuration_repairer_(settings_, membership_, view_, configuration_, outbox_,
                                seed + kRepairSeed),
        machine_repairer_(settings_, membership_, view_, machines_, outbox_,
                          seed * 3 + kRepairSeed),
        poller_(settings_, contacts.size(), seed + kPollerSeed, now),
        admission_(settings_.whole_transfers_per_second),
        gate_(settings_.join_wait, settings_.join_quorum),
        deadline_(now) {
    membership_.AddContacts(contacts);
  }

  std::vector<Action> Step(Timestamp now, const Event& event);

  AgentSettings settings_;
  Outbox outbox_;
  Membership membership_;
  FleetView view_;
  ConfigurationStream configuration_;
  MachineStream machines_;
  Pusher configuration_pusher_;
  Pusher machine_pusher_;
  Repairer configuration_repairer_;
  Repairer machine_repairer_;
  SourcePoller poller_;
  Admission admission_;
  JoinGate gate_;
  Timestamp deadline_;  // The last one given out.
  bool started_ = false;
  bool leaving_ = false;
  bool rejoined_for_seeds_ = false;
  DocumentVersion asked_at_;  // What ran when the source was last asked.
  NodeId status_cursor_;      // Last member that was queried.

 private:
  void On(Timestamp now, const TimerFired& event);
  void On(Timestamp now, const MessageReceived& event);
  void On(Timestamp now, const SourceAnswered& event);
  void On(Timestamp now, const StopRequested& event);
  void On(Timestamp now, const StatusRequested& event);

  void OnBody(Timestamp now, const MemberRecord& sender, const Push& push);
  void OnBody(Timestamp now, const MemberRecord& sender, const PushAck& acknowledgement);
  void OnBody(Timestamp now, const MemberRecord& sender, const Pull& pull);
  void OnBody(Timestamp now, const MemberRecord& sender, const Busy& busy);
  void OnBody(Timestamp now, const MemberRecord& sender, const JoinReply& reply);
  void OnBody(Timestamp now, const MemberRecord& sender, const StatusQuery& query);
  template <class Other>
  void OnBody(Timestamp /*now*/, const MemberRecord& /*sender*/, const Other& /*body*/) {}

  void Start(Timestamp now);
  void WakeFromPause(Timestamp now);
  void BeginJoin(Timestamp now);
  void UpdateGate(Timestamp now);
  void HearSummary(Timestamp now, const NodeSummary& sender);
  void Pursue(Timestamp now);
  void PollSource(Timestamp now);
  void SpreadFromSource(Timestamp now, Pusher& pusher);
  void SeedMembership(Timestamp now);
  void RejoinForSeeds(Timestamp now);
  void UpdateDeadline(Timestamp now);

  DocumentStream& StreamOf(StreamKind kind);
  Pusher& PusherOf(StreamKind kind);
  Repairer& RepairerOf(StreamKind kind);
  bool Pushes() const;
  bool Repairs(StreamKind kind);
};

std::vector<Action> Agent::Implementation::Step(Timestamp now, const Event& event) {
  if (!started_) {
    Start(now);
  } else if (now > deadline_ + settings_.pause_threshold) {
    WakeFromPause(now);
  }
  std::visit([&](const auto& typed) { On(now, typed); }, event);
  Pursue(now);
  membership_.SetVersions(configuration_.running(), machines_.running());
  UpdateDeadline(now);
  return outbox_.has_messages() ? outbox_.Take(membership_.Summary()) : outbox_.Take();
}

void Agent::Implementation::Start(Timestamp now) {
  started_ = true;
  BeginJoin(now);
}

void Agent::Implementation::BeginJoin(Timestamp now) {
  configuration_.ledger().SetJoining(true);
  gate_.Begin(now);
  outbox_.Send(membership_.Join(now));
}

// The process did not run for a while: what it believed of the fleet is old. It keeps running the
// version it runs, but holds no role and takes nothing until it has heard the fleet again.
void Agent::Implementation::WakeFromPause(Timestamp now) {
  poller_.Drop();
  configuration_pusher_.Drop();
  machine_pusher_.Drop();
  configuration_repairer_.Drop();
  machine_repairer_.Drop();
  if (!leaving_) BeginJoin(now);
}

void Agent::Implementation::On(Timestamp now, const TimerFired& /*event*/) {
  if (now >= membership_.NextDeadline()) outbox_.Send(membership_.Tick(now));
}

// What is due after any event.
void Agent::Implementation::Pursue(Timestamp now) {
  UpdateGate(now);
  configuration_pusher_.Tick(now);
  machine_pusher_.Tick(now);
  configuration_repairer_.Tick(now);
  machine_repairer_.Tick(now);
  PollSource(now);
}

void Agent::Implementation::UpdateGate(Timestamp now) {
  if (!gate_.Update(now)) return;
  configuration_.ledger().SetJoining(false);
  const SourceFinding finding = configuration_.OfferHeld(now);
  if (finding == SourceFinding::kTaken) SpreadFromSource(now, configuration_pusher_);
}

void Agent::Implementation::PollSource(Timestamp now) {
  if (leaving_ || !poller_.Due(now)) return;
  view_.Refresh(now);
  PollSituation situation;
  situation.has_document = !configuration_.running().none();
  if (!situation.has_document && Repairs(StreamKind::kConfiguration)) {
    configuration_repairer_.Seek(now);
  }
  situation.role_allowed = !gate_.waiting();
  situation.heard_fleet = gate_.heard_fleet();
  situation.peer_ahead = configuration_repairer_.wanted();
  situation.has_machines = !machines_.running().none();
  situation.rank = view_.own_rank();
  situation.zone_index = view_.zone_index();
  situation.zone_count = view_.zone_count();
  situation.live_count = membership_.LiveCount();
  situation.view_changed_at = view_.changed_at();
  for (FetchFromSource& fetch : poller_.Check(now, situation)) {
    if (fetch.stream == StreamKind::kConfiguration) asked_at_ = configuration_.running();
    outbox_.Add(std::move(fetch));
  }
}

void Agent::Implementation::On(Timestamp now, const SourceAnswered& event) {
  if (!poller_.Accept(now, event)) return;
  if (event.status == SourceAnswered::Status::kFailed) {
    outbox_.ReportOnce(event.error.kind, event.error.place, event.error.cause);
    return;
  }
  if (event.status == SourceAnswered::Status::kNotModified) return;
  if (event.stream == StreamKind::kMachines) {
    if (!machines_.ReceiveFromSource(event.machines)) return;
    SeedMembership(now);
    SpreadFromSource(now, machine_pusher_);
    return;
  }
  if (event.configuration == nullptr) return;
  const SourceFinding finding =
      configuration_.ReceiveFromSource(now, event.configuration, asked_at_);
  const bool behind = finding == SourceFinding::kBehind;
  poller_.SetBehind(behind ? event.configuration->bundle.revision : 0);
  if (finding == SourceFinding::kTaken) SpreadFromSource(now, configuration_pusher_);
}

void Agent::Implementation::SpreadFromSource(Timestamp now, Pusher& pusher) {
  if (!Pushes()) return;
  view_.Refresh(now);
  pusher.SpreadEverywhere(now);
}

void Agent::Implementation::On(Timestamp now, const MessageReceived& event) {
  const Message& message = *event.message;
  outbox_.Send(membership_.Handle(now, event.from, message));
  MemberRecord sender = message.sender.record;
  if (sender.id == membership_.self().id) return;
  gate_.HearMessage();
  HearSummary(now, message.sender);
  std::visit([&](const auto& body) { OnBody(now, sender, body); }, message.body);
}

void Agent::Implementation::HearSummary(Timestamp now, const NodeSummary& sender) {
  const MemberRecord& record = sender.record;
  if (gate_.waiting()) configuration_.ledger().RaiseFloor(record.configuration);
  configuration_pusher_.HearVersion(record.id, record.configuration);
  machine_pusher_.HearVersion(record.id, sender.machines);
  if (Repairs(StreamKind::kConfiguration)) {
    configuration_repairer_.Hear(now, record, record.configuration);
  }
  if (Repairs(StreamKind::kMachines)) machine_repairer_.Hear(now, record, sender.machines);
}

void Agent::Implementation::OnBody(Timestamp /*now*/, const MemberRecord& sender,
                                   const JoinReply& reply) {
  gate_.HearReply(sender.id);
  configuration_.ledger().RaiseFloor(reply.remembered);
  configuration_.ledger().RaiseFloor(membership_.HighestHeard());
}

void Agent::Implementation::OnBody(Timestamp now, const MemberRecord& sender, const Push& push) {
  const StreamKind kind = push.transfer.stream;
  DocumentStream& stream = StreamOf(kind);
  const DocumentVersion& version = push.transfer.version;
  const Receipt receipt = stream.Receive(now, push.transfer, sender.id);
  if (receipt == Receipt::kUnknownBase || receipt == Receipt::kUnreadable) {
    const bool readable = receipt == Receipt::kUnknownBase;
    const DocumentVersion have = readable ? stream.running() : DocumentVersion{};
    if (!push.transfer.whole()) RepairerOf(kind).PullFrom(now, sender, version, have);
    return;
  }
  RepairerOf(kind).HearAnswer(sender.id);
  if (receipt == Receipt::kTaken && kind == StreamKind::kMachines) SeedMembership(now);
  const bool settled = !IsNewer(version, stream.running());
  if (settled) outbox_.Send(sender.address, PushAck{kind, stream.running()});
  if (stream.running() != version || push.root.empty() || !Pushes() || leaving_) return;
  const bool from_other_zone = sender.zone != membership_.self().zone;
  if (from_other_zone) {
    PusherOf(kind).SpreadInZone(now);
  } else {
    PusherOf(kind).Forward(now, push.root);
  }
}

void Agent::Implementation::OnBody(Timestamp /*now*/, const MemberRecord& sender,
                                   const PushAck& acknowledgement) {
  PusherOf(acknowledgement.stream).HearVersion(sender.id, acknowledgement.version);
}

void Agent::Implementation::OnBody(Timestamp now, const MemberRecord& sender, const Pull& pull) {
  DocumentStream& stream = StreamOf(pull.stream);
  if (!Supersedes(stream.running(), pull.have)) return;
  if (PusherOf(pull.stream).RepeatFrom(now, sender.id, pull.have)) return;
  Transfer transfer = stream.TransferFrom(pull.have);
  if (transfer.whole() && !admission_.Admit(now)) {
    const auto wait = std::chrono::ceil<Milliseconds>(admission_.Promise(now));
    outbox_.Send(sender.address, Busy{pull.stream, static_cast<std::uint32_t>(wait.count())});
    return;
  }
  outbox_.Send(sender.address, Push{std::move(transfer), {}});
}

void Agent::Implementation::OnBody(Timestamp now, const MemberRecord& sender, const Busy& busy) {
  RepairerOf(busy.stream).HearBusy(now, sender.id, Milliseconds(busy.retry_after_ms));
}

void Agent::Implementation::OnBody(Timestamp /*now*/, const MemberRecord& sender,
                                   const StatusQuery& /*query*/) {
  outbox_.Send(sender.address, StatusReply{});
}

void Agent::Implementation::On(Timestamp now, const StopRequested& /*event*/) {
  if (leaving_) return;
  leaving_ = true;
  poller_.Drop();
  outbox_.Send(membership_.Leave(now));
}

// Asks members that may lag for their summary, a bounded number at a time in turn. One that is
// known to run the newest version need not be asked: it never falls below.
void Agent::Implementation::On(Timestamp /*now*/, const StatusRequested& /*event*/) {
  const std::map<NodeId, Member>& members = membership_.members();
  auto next = members.upper_bound(status_cursor_);
  std::size_t asked = 0;
  for (std::size_t seen = 0; seen < members.size() && asked < kMaxStatusQueries; ++seen) {
    if (next == members.end()) next = members.begin();
    const MemberRecord& record = next->second.record;
    const bool live = record.state != MemberState::kDead;
    if (live && IsNewer(configuration_.running(), record.configuration)) {
      outbox_.Send(record.address, StatusQuery{});
      status_cursor_ = record.id;
      ++asked;
    }
    ++next;
  }
}

void Agent::Implementation::SeedMembership(Timestamp now) {
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
  if (!seeds.empty()) RejoinForSeeds(now);
}

// The list named nodes while nobody had been heard: they are asked before anything is activated.
void Agent::Implementation::RejoinForSeeds(Timestamp now) {
  const bool pointless = gate_.heard_fleet() || !configuration_.running().none();
  if (pointless || rejoined_for_seeds_) return;
  rejoined_for_seeds_ = true;
  BeginJoin(now);
}

void Agent::Implementation::UpdateDeadline(Timestamp now) {
  Timestamp deadline = membership_.NextDeadline();
  deadline = std::min(deadline, gate_.NextDeadline());
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

// The baselines without repair still hand a node that has nothing its first document.
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

Agent::Agent(const AgentSettings& settings, MemberRecord self, std::vector<SocketAddress> contacts,
             std::uint64_t seed, Timestamp now)
    : implementation_(std::make_unique<Implementation>(settings, std::move(self),
                                                       std::move(contacts), seed, now)) {}

Agent::~Agent() = default;

std::vector<Action> Agent::Step(Timestamp now, const Event& event) {
  return implementation_->Step(now, event);
}

Timestamp Agent::NextDeadline() const { return implementation_->deadline_; }

const Membership& Agent::membership() const { return implementation_->membership_; }

const VersionLedger& Agent::ledger() const { return implementation_->configuration_.ledger(); }

BundlePointer Agent::running() const { return implementation_->configuration_.store().running(); }

MachineListPointer Agent::machines() const { return implementation_->machines_.list(); }

const std::deque<BundlePointer>& Agent::history() const {
  return implementation_->configuration_.store().history();
}

const SourceState& Agent::source() const { return implementation_->poller_.state(); }

bool Agent::is_reader() const { return implementation_->poller_.is_reader(); }

bool Agent::ready() const {
  // After a pause the node goes on serving what it runs.
  return running() != nullptr;
}

bool Agent::floor_unverified() const { return implementation_->gate_.unverified(); }

}  // namespace copperlead
