#include "test_fleet.h"

#include <algorithm>
#include <utility>

#include "table/csv.h"

namespace copperlead {

std::shared_ptr<const ConfigurationDocument> MakeDocument(const TestEdit& edit) {
  auto document = std::make_shared<ConfigurationDocument>();
  const int sum = edit.faulty ? 110 : 100;
  const std::string csv = std::string(kTestHeader) + "permit-desk,/permits," +
                          std::to_string(sum - edit.new_weight) + "," +
                          std::to_string(edit.new_weight) + ",500,0,0,1,by-method,permit-token\n";
  document->csv = ParseCsv(csv);
  document->faults = document->csv.faults;
  Bundle& bundle = document->bundle;
  bundle.revision = edit.revision;
  bundle.table = document->csv.table;
  bundle.services["permit-desk"] = {6, 130};
  if (!edit.secret.empty()) bundle.secrets["permit-token"] = edit.secret;
  Seal(bundle);
  return document;
}

TestNode& TestFleet::Add(const std::string& zone, const AgentSettings& settings) {
  return Add(zone, settings, first_contacts_);
}

TestNode& TestFleet::Add(const std::string& zone, const AgentSettings& settings,
                         const std::vector<SocketAddress>& contacts) {
  auto node = std::make_unique<TestNode>();
  const std::size_t number = nodes_.size();
  node->id = zone + "/" + std::to_string(number);
  node->zone = zone;
  node->address = {"10.0.0." + std::to_string(number), 7000};
  node->settings = settings;
  node->contacts = contacts;
  if (first_contacts_.size() < 3) first_contacts_.push_back(node->address);
  by_address_[node->address] = node->id;
  TestNode& added = *node;
  nodes_[node->id] = std::move(node);
  Start(added);
  return added;
}

void TestFleet::Fill(std::size_t zones, std::size_t nodes_per_zone, const AgentSettings& settings) {
  for (std::size_t index = 0; index < zones * nodes_per_zone; ++index) {
    Add("zone-" + std::string(1, static_cast<char>('a' + index % zones)), settings);
  }
}

void TestFleet::Start(TestNode& node) {
  ++node.generation;
  node.paused = false;
  node.activations.clear();
  node.backlog.clear();
  MemberRecord self;
  self.id = node.id;
  self.zone = node.zone;
  self.address = node.address;
  self.incarnation = static_cast<std::uint32_t>(node.generation);
  const std::uint64_t seed = seed_ * 1000 + nodes_.size() * 100 + node.generation;
  node.agent = std::make_unique<Agent>(node.settings, self, node.contacts, seed, now_);
  node.timer = now_;
  Schedule(now_, node, nullptr);
}

void TestFleet::Restart(const std::string& id) { Start(node(id)); }

void TestFleet::Kill(const std::string& id) {
  ++node(id).generation;
  node(id).agent.reset();
}

void TestFleet::Pause(const std::string& id) { node(id).paused = true; }

void TestFleet::Resume(const std::string& id) {
  TestNode& resumed = node(id);
  resumed.paused = false;
  for (const Event& event : std::exchange(resumed.backlog, {})) Step(resumed, event);
  Step(resumed, TimerFired{});
}

void TestFleet::Deliver(const std::string& id, const Event& event) { Step(node(id), event); }

void TestFleet::Publish(std::shared_ptr<const ConfigurationDocument> document) {
  document_ = std::move(document);
  etag_ = std::to_string(++publications_);
}

void TestFleet::PublishMachines(std::uint64_t sequence) {
  auto list = std::make_shared<MachineList>();
  list->sequence = sequence;
  for (const auto& [id, node] : nodes_) {
    Machine machine;
    machine.id = id;
    machine.kind = MachineKind::kNode;
    machine.zone = node->zone;
    machine.address = node->address;
    list->machines.push_back(machine);
  }
  Seal(*list);
  machines_ = list;
}

void TestFleet::Schedule(Timestamp when, const TestNode& node, std::function<Event()> make) {
  queue_.push({when, ++order_, node.id, node.generation, std::move(make)});
}

bool TestFleet::RunNext(Timestamp limit) {
  if (queue_.empty() || queue_.top().when > limit) {
    now_ = limit;
    return false;
  }
  const Scheduled next = queue_.top();
  queue_.pop();
  now_ = next.when;
  TestNode& target = node(next.node);
  if (target.agent == nullptr || target.generation != next.generation) return true;
  const bool timer = next.make == nullptr;
  if (timer && target.timer != next.when) return true;  // The timer was rescheduled.
  const Event event = timer ? Event(TimerFired{}) : next.make();
  if (!target.paused) {
    Step(target, event);
  } else if (!timer) {
    target.backlog.push_back(event);
  }
  return true;
}

void TestFleet::RunFor(Duration duration) {
  const Timestamp limit = now_ + duration;
  while (RunNext(limit)) {
  }
}

bool TestFleet::RunUntil(const std::function<bool()>& condition, Duration limit) {
  const Timestamp end = now_ + limit;
  while (!condition()) {
    if (!RunNext(end)) return condition();
  }
  return true;
}

void TestFleet::Step(TestNode& node, const Event& event) {
  for (const Action& action : node.agent->Step(now_, event)) Execute(node, action);
  const Timestamp next = node.agent->NextDeadline();
  if (next == Timestamp::max()) return;
  node.timer = std::max(next, now_ + std::chrono::microseconds(100));
  Schedule(node.timer, node, nullptr);
}

void TestFleet::Execute(TestNode& node, const Action& action) {
  if (const auto* send = std::get_if<SendMessage>(&action)) Transmit(node, *send);
  if (const auto* fetch = std::get_if<FetchFromSource>(&action)) Fetch(node, *fetch);
  if (const auto* report = std::get_if<Report>(&action)) node.reports.push_back(*report);
  if (const auto* activate = std::get_if<ActivateBundle>(&action)) {
    CheckActivation(node, activate->bundle);
  }
}

void TestFleet::Transmit(const TestNode& from, const SendMessage& send) {
  if (on_send) on_send(from, send.to, *send.message);
  const auto found = by_address_.find(send.to);
  if (found == by_address_.end() || !link(from.id, found->second)) return;
  if (filter && !filter(from.id, found->second, *send.message)) return;
  const TestNode& to = node(found->second);
  const auto chance = [&] { return static_cast<double>(random_.Below(1'000'000)) / 1e6; };
  const int copies = chance() < duplicates ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (chance() < loss) continue;
    const MessageReceived received{from.address, send.message};
    Schedule(now_ + Milliseconds(1) + random_.UpTo(max_delay), to,
             [received] { return Event(received); });
  }
}

void TestFleet::Fetch(TestNode& node, const FetchFromSource& fetch) {
  ++node.source_reads;
  if (fetch.stream == StreamKind::kConfiguration) ++total_reads;
  // The answer shows the source's state at the time of the answer, not of the request.
  Schedule(now_ + Milliseconds(2), node, [this, id = node.id, fetch] {
    SourceAnswered answer = Answer(id, fetch);
    const bool full = answer.status == SourceAnswered::Status::kNew;
    if (full) ++total_documents;
    if (full && answer.stream == StreamKind::kConfiguration) ++document_answers;
    return Event(std::move(answer));
  });
}

SourceAnswered TestFleet::Answer(const std::string& id, const FetchFromSource& fetch) const {
  SourceAnswered answer;
  answer.stream = fetch.stream;
  const bool configuration = fetch.stream == StreamKind::kConfiguration;
  const bool missing = configuration ? document_ == nullptr : machines_ == nullptr;
  if (source_down || without_source.contains(id) || missing) {
    answer.error = {ErrorKind::kSourceUnreachable, "source", "down"};
    return answer;
  }
  const auto stale = stale_zones.find(nodes_.at(id)->zone);
  const bool is_stale = configuration && stale != stale_zones.end();
  answer.configuration = is_stale ? stale->second : document_;
  answer.machines = machines_;
  answer.etag = configuration ? etag_ : std::to_string(machines_->sequence);
  if (is_stale) answer.etag = "stale";
  const bool same = answer.etag == fetch.etag;
  answer.status = same ? SourceAnswered::Status::kNotModified : SourceAnswered::Status::kNew;
  return answer;
}

void TestFleet::CheckActivation(TestNode& node, const BundlePointer& bundle) {
  if (!node.activations.empty()) {
    const DocumentVersion& before = node.activations.back()->version;
    if (IsNewer(before, bundle->version)) {
      violations.push_back(node.id + " went down from " + ToString(before) + " to " +
                           ToString(bundle->version));
    }
    if (before.major == bundle->revision &&
        node.activations.back()->table_digest != bundle->table_digest) {
      violations.push_back(node.id + " changed its table at " + ToString(before));
    }
  }
  if (!FindMissingResources(*bundle).empty())
    violations.push_back(node.id + " runs an incomplete bundle");
  if (!ParseCsv(ToCsv(bundle->table)).faults.empty()) {
    violations.push_back(node.id + " runs a faulty table");
  }
  node.activations.push_back(bundle);
}

bool TestFleet::AllRun(std::uint64_t revision) const {
  for (const auto& [id, node] : nodes_) {
    if (node->agent == nullptr || node->paused) continue;
    const BundlePointer running = node->agent->running();
    if (running == nullptr || running->revision != revision) return false;
  }
  return true;
}

std::vector<std::string> TestFleet::IdsOf(const std::string& zone) const {
  std::vector<std::string> ids;
  for (const auto& [id, node] : nodes_) {
    if (node->zone == zone) ids.push_back(id);
  }
  return ids;
}

std::size_t TestFleet::CountReports(ErrorKind kind) const {
  std::size_t count = 0;
  for (const auto& [id, node] : nodes_) count += CountReports(*node, kind);
  return count;
}

std::size_t TestFleet::CountReports(const TestNode& node, ErrorKind kind) {
  const auto is_kind = [&](const Report& report) { return report.kind == kind; };
  return static_cast<std::size_t>(std::count_if(node.reports.begin(), node.reports.end(), is_kind));
}

}  // namespace copperlead
