#include "standin/local_fleet.h"

#include <algorithm>
#include <stdexcept>

namespace copperlead::standin {
namespace {

// Network (see Workplace::NewAddress) of the first zone's nodes.
constexpr int kFirstZoneNetwork = 1;

template <class Range, class Matches>
auto& Find(Range& range, const std::string& id, Matches matches) {
  const auto found = std::find_if(range.begin(), range.end(), matches);
  if (found == range.end()) throw std::invalid_argument("no " + id);
  return *found;
}

}  // namespace

LocalFleet::LocalFleet(const std::string& binaries)
    : workplace_(binaries),
      key_file_(workplace_.NewFleetKeyFile()),
      source_address_(workplace_.NewAddress()) {}

LocalFleet::~LocalFleet() {
  nodes_.clear();
  backends_.clear();
}

LocalBackend& LocalFleet::AddBackend(const BackendPlan& plan) {
  auto backend = std::make_unique<LocalBackend>();
  backend->id = plan.id;
  std::vector<std::string> arguments = {"backend", "--id", plan.id, "--listen",
                                        ToString(workplace_.NewAddress())};
  arguments.insert(arguments.end(), plan.arguments.begin(), plan.arguments.end());
  backend->standin = workplace_.StartStandin(plan.id, arguments);
  backend->address = backend->standin.listen;
  if (plan.behind_proxy) {
    backend->proxy = workplace_.StartStandin(
        plan.id + "-proxy", {"fault-proxy", "--listen", ToString(workplace_.NewAddress()), "--to",
                             ToString(backend->standin.listen)});
    backend->address = backend->proxy.listen;
  }
  machines_.machines.push_back(
      {plan.id, "backend", plan.service, plan.site, plan.zone, ToString(backend->address), "live"});
  backends_.push_back(std::move(backend));
  return *backends_.back();
}

void LocalFleet::StartSource() {
  const auto configuration = workplace_.WriteFile("configuration.json", ToJson(configuration_));
  const auto machines = workplace_.WriteFile("machines.json", ToJson(machines_));
  source_ =
      workplace_.StartStandin("source", {"source", "--listen", ToString(source_address_),
                                         "--configuration", configuration, "--machines", machines});
}

int LocalFleet::NetworkOf(const std::string& zone) {
  const auto found = std::find(zones_.begin(), zones_.end(), zone);
  const auto index = found - zones_.begin();
  if (found == zones_.end()) zones_.push_back(zone);
  return kFirstZoneNetwork + static_cast<int>(index);
}

std::string LocalFleet::ZoneIp(const std::string& zone) {
  return workplace_.NewAddress(NetworkOf(zone)).ip;
}

LocalNode& LocalFleet::AddNode(const std::string& id, const std::string& zone, bool reads_source,
                               bool behind_proxy) {
  const int network = NetworkOf(zone);
  LocalNode node;
  node.plan.id = id;
  node.plan.zone = zone;
  node.plan.listen = workplace_.NewAddress(network);
  node.plan.admin = workplace_.NewAddress(network);
  node.plan.peer_listen = workplace_.NewAddress(network);
  if (reads_source) node.plan.source = source_address_;
  if (behind_proxy) {
    node.proxy = workplace_.StartStandin(
        id + "-proxy", {"fault-proxy", "--udp", "--listen", ToString(workplace_.NewAddress()),
                        "--to", ToString(node.plan.peer_listen)});
    node.plan.peer_advertise = node.proxy.listen;
  }
  for (auto& other : nodes_) {
    node.plan.peers.push_back(other.peer_address());
    other.plan.peers.push_back(node.peer_address());
  }
  machines_.machines.push_back({id, "node", "", "", zone, ToString(node.peer_address()), "live"});
  nodes_.push_back(std::move(node));
  return nodes_.back();
}

void LocalFleet::StartNodes() {
  for (auto& node : nodes_) {
    if (node.process == nullptr) node.process = workplace_.StartNode(node.plan, key_file_);
  }
}

MachinePlan& LocalFleet::Machine(const std::string& id) {
  return Find(machines_.machines, id, [&](const MachinePlan& plan) { return plan.id == id; });
}

void LocalFleet::PublishConfiguration() {
  ++configuration_.revision;
  PutConfiguration(ToJson(configuration_));
}

void LocalFleet::PublishMachines() {
  ++machines_.sequence;
  Put(source_.control, "/v1/machines", ToJson(machines_));
}

void LocalFleet::PutConfiguration(const std::string& body) const {
  Put(source_.control, "/v1/configuration", body);
}

LocalNode& LocalFleet::Node(const std::string& id) {
  return Find(nodes_, id, [&](const LocalNode& node) { return node.plan.id == id; });
}

LocalBackend& LocalFleet::Backend(const std::string& id) {
  return *Find(backends_, id, [&](const auto& backend) { return backend->id == id; });
}

bool LocalFleet::AllRun(std::uint64_t revision) const {
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const LocalNode& node) {
    if (node.process == nullptr) return true;
    const auto view = AskNode(node.plan.admin);
    return view && view->ready && view->revision == revision;
  });
}

bool LocalFleet::AllSeeEachOther() const {
  const auto running = static_cast<std::size_t>(std::count_if(
      nodes_.begin(), nodes_.end(), [](const LocalNode& node) { return node.process != nullptr; }));
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const LocalNode& node) {
    if (node.process == nullptr) return true;
    const auto view = AskNode(node.plan.admin);
    return view && view->CountMembers("alive") == running &&
           view->machines_sequence == machines_.sequence;
  });
}

double LocalFleet::SumOfMetric(const std::string& name) const {
  double sum = 0;
  for (const auto& node : nodes_) {
    if (node.process != nullptr) sum += MetricOf(node.plan.admin, name);
  }
  return sum;
}

}  // namespace copperlead::standin
