#include "toolbox/hollow_fleet.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <random>

namespace copperlead {
namespace {

constexpr std::size_t kDefaultContacts = 3;

Duration ToDuration(const timeval& time) {
  return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec);
}

Duration ProcessCpu() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return ToDuration(usage.ru_utime) + ToDuration(usage.ru_stime);
}

std::uint64_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::uint64_t size_pages = 0;
  std::uint64_t resident_pages = 0;
  statm >> size_pages >> resident_pages;
  return resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace

HollowFleet::HollowFleet(HollowFleetSettings settings) : settings_(std::move(settings)) {}

HollowFleet::~HollowFleet() { Stop(); }

Result<Done> HollowFleet::Start() {
  for (std::size_t index = 0; index < settings_.threads; ++index) {
    BOOST_LEAF_AUTO(reactor, Reactor::Start());
    reactors_.push_back(std::move(reactor));
  }
  for (std::size_t index = 0; index < settings_.nodes; ++index) {
    auto node =
        std::make_shared<HollowNode>(SettingsOf(index), reactors_[index % reactors_.size()],
                                     [this](const DocumentVersion& version, Timestamp when) {
                                       activations_.Add(version, when);
                                     });
    BOOST_LEAF_CHECK(node->Start());
    nodes_.push_back(std::move(node));
  }
  return Done{};
}

void HollowFleet::Stop() {
  for (const auto& node : nodes_) node->Stop();
  for (const auto& reactor : reactors_) reactor->Stop();
  nodes_.clear();
  reactors_.clear();
}

std::vector<SocketAddress> HollowFleet::Contacts() const {
  if (!settings_.contacts.empty()) return settings_.contacts;
  std::vector<SocketAddress> contacts;
  for (const auto& node : nodes_) {
    if (contacts.size() == kDefaultContacts) break;
    contacts.push_back(node->address());
  }
  return contacts;
}

HollowNodeSettings HollowFleet::SettingsOf(std::size_t index) const {
  HollowNodeSettings node;
  node.id = "hollow-" + std::to_string(settings_.base_port + index);
  node.zone = "zone-" + std::to_string(index % settings_.zones);
  node.listen.ip = settings_.listen_ip;
  if (settings_.base_port != 0) {
    node.listen.port = static_cast<std::uint16_t>(settings_.base_port + index);
  }
  node.contacts = Contacts();
  node.source = settings_.source;
  node.keys = settings_.keys;
  node.agent = settings_.agent;
  node.seed = std::random_device()();
  return node;
}

HollowCosts HollowFleet::Costs() const {
  HollowCosts costs;
  costs.when = SteadyClock().Now();
  costs.cpu = ProcessCpu();
  for (const auto& node : nodes_) {
    const TransportCounters& counters = node->counters();
    costs.bytes_sent += counters.bytes_sent;
    costs.bytes_received += counters.bytes_received;
    costs.messages_sent += counters.messages_sent;
    costs.messages_received += counters.messages_received;
    costs.bad_frames += counters.bad_frames;
    costs.unsealed_frames += counters.unsealed_frames;
    costs.send_failures += counters.send_failures;
    costs.refused_streams += counters.refused_streams;
    for (std::size_t body = 0; body < costs.handed_bytes_by_body.size(); ++body) {
      costs.handed_bytes_by_body[body] += counters.handed_bytes_by_body[body];
    }
  }
  return costs;
}

HollowOutcome HollowFleet::Outcome() const {
  HollowOutcome outcome;
  outcome.resident_bytes = ResidentBytes();
  outcome.least_live_members = nodes_.empty() ? 0 : SIZE_MAX;
  for (const auto& node : nodes_) {
    const HollowNodeState state = node->State();
    ++outcome.nodes_by_version[ToString(state.running)];
    outcome.ready_nodes += state.ready ? 1 : 0;
    outcome.readers += state.is_reader ? 1 : 0;
    outcome.least_live_members = std::min(outcome.least_live_members, state.live_members);
    outcome.source_reads += state.source_reads;
  }
  return outcome;
}

}  // namespace copperlead
