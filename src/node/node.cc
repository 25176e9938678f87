#include "node/node.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include "admin/admin_server.h"
#include "admin/metrics.h"
#include "admin/node_status.h"
#include "base/logging.h"
#include "distribution/profiles.h"
#include "node/agent_shell.h"
#include "node/routing_feed.h"
#include "proxy/proxy_server.h"
#include "source/source_client.h"
#include "table/csv.h"
#include "transport/transport.h"

namespace copperlead {
namespace {

// Delay before the transport stops, so that the announcement of leaving reaches the peers.
constexpr auto kLeaveAnnouncementDelay = Milliseconds(50);

std::int64_t WallClockMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(now).count();
}

AgentSettings AgentSettingsFrom(const NodeSettings& settings, Timestamp now) {
  AgentSettings agent = settings.profile == Profile::kFerraris ? FerrarisProfile() : AvlakProfile();
  agent.has_source = settings.source.has_value();
  if (settings.source_interval) agent.source_interval = *settings.source_interval;
  const auto steady_ms = std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count();
  agent.wall_clock_offset_ms = WallClockMilliseconds() - steady_ms;
  return agent;
}

// Returns this node's member record. Its incarnation is the start time in seconds since 1970, so
// that a restarted node has a higher incarnation than before.
MemberRecord SelfRecord(const NodeSettings& settings, const SocketAddress& peer_address) {
  MemberRecord record;
  record.id = settings.id;
  record.zone = settings.zone;
  record.address = settings.peer_advertise.value_or(peer_address);
  record.incarnation = static_cast<std::uint32_t>(WallClockMilliseconds() / 1000);
  return record;
}

std::uint64_t MakeRandomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

class ComposedNode final : public Node {
 public:
  explicit ComposedNode(NodeSettings settings)
      : settings_(std::move(settings)), shell_(clock_, Sinks()) {}
  ~ComposedNode() override { StopAll(); }

  Result<Done> Start();

  SocketAddress proxy_address() const override { return proxy_->local_address(); }
  SocketAddress admin_address() const override { return admin_->local_address(); }
  SocketAddress peer_address() const override { return transport_->local_address(); }

  bool DrainAndStop() override {
    router_->SetDraining();
    shell_.Post(StopRequested{});
    const bool drained = proxy_->Drain(settings_.drain_limit);
    std::this_thread::sleep_for(kLeaveAnnouncementDelay);
    StopAll();
    return drained;
  }

 private:
  Result<Done> StartTransport();
  void StartSource();
  void StartAgent();
  ActionSinks Sinks();
  AdminSources AdminCallbacks();
  MetricValues CollectMetrics() const;
  std::optional<std::string> HistoryCsv(std::uint64_t revision) const;
  std::string StatusJson();
  void StopAll();

  const NodeSettings settings_;
  const SteadyClock clock_;
  const std::shared_ptr<RequestRouter> router_ =
      std::make_shared<RequestRouter>(RouterSettings{}, MakeRandomSeed());
  RoutingFeed feed_{router_};  // Used on the shell's thread only.
  AgentShell shell_;
  std::unique_ptr<Transport> transport_;
  std::unique_ptr<SourceClient> source_;
  std::unique_ptr<ProxyServer> proxy_;
  std::unique_ptr<AdminServer> admin_;
};

Result<Done> ComposedNode::Start() {
  BOOST_LEAF_CHECK(StartTransport());
  StartSource();
  ProxySettings proxy;
  proxy.listen = settings_.listen;
  BOOST_LEAF_ASSIGN(proxy_, StartProxyServer(proxy, router_));
  StartAgent();
  BOOST_LEAF_ASSIGN(admin_, StartAdminServer(settings_.admin, AdminCallbacks()));
  return Done{};
}

Result<Done> ComposedNode::StartTransport() {
  BOOST_LEAF_AUTO(keys, LoadFleetKeys(settings_.fleet_key_file));
  const auto receiver = [this](const SocketAddress& from, std::shared_ptr<const Message> message) {
    shell_.Post(MessageReceived{from, std::move(message)});
  };
  BOOST_LEAF_ASSIGN(transport_, copperlead::StartTransport(settings_.peer_listen, keys, receiver));
  return Done{};
}

void ComposedNode::StartSource() {
  if (!settings_.source) return;
  SourceClientSettings client;
  client.address = *settings_.source;
  source_ =
      StartSourceClient(client, [this](SourceAnswered answer) { shell_.Post(std::move(answer)); });
}

void ComposedNode::StartAgent() {
  const Timestamp now = clock_.Now();
  shell_.Start(std::make_unique<Agent>(AgentSettingsFrom(settings_, now),
                                       SelfRecord(settings_, transport_->local_address()),
                                       settings_.peers, MakeRandomSeed(), now));
}

ActionSinks ComposedNode::Sinks() {
  ActionSinks sinks;
  sinks.send = [this](const SendMessage& action) { transport_->Send(action.to, *action.message); };
  sinks.fetch = [this](const FetchFromSource& action) {
    if (source_) source_->Fetch(action);
  };
  sinks.activate_bundle = [this](const ActivateBundle& action) {
    Log(LogLevel::kInfo, "routing table activated",
        {{"revision", ToString(action.bundle->version)},
         {"digest", ToHex(action.bundle->table_digest)}});
    feed_.OnBundle(clock_.Now(), action.bundle);
  };
  sinks.activate_machines = [this](const ActivateMachines& action) {
    feed_.OnMachines(clock_.Now(), action.machines);
  };
  sinks.report = [](const Report& report) {
    LogError(LogLevel::kWarning, report.kind, report.place, report.text);
  };
  sinks.after_step = [this](const Agent& agent) {
    feed_.OnMembership(clock_.Now(), agent.membership());
  };
  return sinks;
}

AdminSources ComposedNode::AdminCallbacks() {
  AdminSources sources;
  sources.status = [this] { return StatusJson(); };
  sources.metrics = [this] { return MetricsToText(CollectMetrics()); };
  sources.journal = [this] {
    return shell_.Inspect([this](const Agent& agent) {
      return JournalToJson(settings_.id, agent.ledger().entries());
    });
  };
  sources.history = [this](std::uint64_t revision) { return HistoryCsv(revision); };
  sources.ready = [this] {
    return shell_.Inspect([](const Agent& agent) { return agent.ready(); });
  };
  return sources;
}

std::string ComposedNode::StatusJson() {
  shell_.Post(StatusRequested{});
  const Timestamp now = clock_.Now();
  return StatusToJson(
      shell_.Inspect([&](const Agent& agent) { return CollectStatus(agent, now); }));
}

std::optional<std::string> ComposedNode::HistoryCsv(std::uint64_t revision) const {
  const BundlePointer bundle = shell_.Inspect([&](const Agent& agent) {
    const auto& history = agent.history();
    const auto found =
        std::find_if(history.rbegin(), history.rend(),
                     [&](const BundlePointer& accepted) { return accepted->revision == revision; });
    return found == history.rend() ? BundlePointer() : *found;
  });
  if (!bundle) return std::nullopt;
  return ToCsv(bundle->table);
}

// Copies the metrics that the agent provides.
void CollectFromAgent(const Agent& agent, MetricValues& values) {
  const auto& ledger = agent.ledger();
  values.running_revision = ledger.running().major;
  values.floor_revision = ledger.floor().major;
  values.machines_sequence = agent.machines() ? agent.machines()->sequence : 0;
  values.version_waiting = ledger.waiting() ? 1 : 0;
  values.version_conflict = ledger.conflict() ? 1 : 0;
  values.source_reads = agent.source().reads;
  values.source_failures = agent.source().failures;
  values.is_reader = agent.is_reader() ? 1 : 0;
  values.ready = agent.ready() ? 1 : 0;
  values.live_members = agent.membership().LiveCount();
  for (const auto& [id, member] : agent.membership().members()) {
    if (member.record.state == MemberState::kSuspect) ++values.suspect_members;
    if (member.record.state == MemberState::kDead) ++values.dead_members;
  }
}

void CollectFromTransport(const TransportCounters& counters, MetricValues& values) {
  values.control_bytes_sent = counters.bytes_sent;
  values.control_bytes_received = counters.bytes_received;
  values.control_messages_sent = counters.messages_sent;
  values.control_messages_received = counters.messages_received;
  values.control_send_failures = counters.send_failures;
  values.bad_frames = counters.bad_frames;
  values.unseal_failures = counters.unseal_failures;
}

void CollectFromDataPath(const RequestRouter& router, const ProxyServer& proxy,
                         MetricValues& values) {
  const RouterCounters routed = router.counters();
  values.requests = routed.requests;
  values.requests_in_flight = router.in_flight();
  values.retries = routed.retries;
  values.retries_denied = routed.retries_denied;
  values.ejections = routed.ejections;
  std::copy(std::begin(routed.refused), std::end(routed.refused), values.errors.begin());
  const ProxyCounters proxied = proxy.counters();
  values.answers = proxied.answered;
  values.caller_connections = proxied.connections;
  values.backend_connections = proxied.upstream_connections;
}

MetricValues ComposedNode::CollectMetrics() const {
  MetricValues values;
  shell_.Inspect([&](const Agent& agent) { CollectFromAgent(agent, values); });
  values.dropped_events = shell_.dropped_events();
  CollectFromTransport(transport_->counters(), values);
  CollectFromDataPath(*router_, *proxy_, values);
  return values;
}

void ComposedNode::StopAll() {
  if (admin_) admin_->Stop();
  if (source_) source_->Stop();
  if (transport_) transport_->Stop();
  shell_.Stop();
}

}  // namespace

Result<std::unique_ptr<Node>> StartNode(const NodeSettings& settings) {
  auto node = std::make_unique<ComposedNode>(settings);
  BOOST_LEAF_CHECK(node->Start());
  return std::unique_ptr<Node>(std::move(node));
}

}  // namespace copperlead
