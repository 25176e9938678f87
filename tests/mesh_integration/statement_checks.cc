#include "tests/mesh_integration/statement_checks.h"

#include <algorithm>
#include <cstdlib>

namespace copperlead::standin {
namespace {

using std::chrono::milliseconds;

constexpr auto kWindow = milliseconds(4000);
constexpr auto kPropagation = milliseconds(500);  // From passing a limit on until it binds.
constexpr auto kConnected = milliseconds(3000);   // From the first statement of a limit on.
constexpr auto kDrain = milliseconds(2000);
constexpr double kOver = 1.5, kSlack = 5;

double SecondsOf(std::chrono::steady_clock::duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

void StatementChecks::Sent(const std::string& id, const MeshMachine& machine) {
  const std::lock_guard lock(mutex_);
  requests_[id] = {machine.ip, std::chrono::steady_clock::now()};
}

void StatementChecks::Answered(const std::string& id, const HttpAnswer& answer) {
  Answered(id, answer.Header("x-answered-by"), answer.Header("server-limit"),
           answer.Header("server-leaving"));
}

void StatementChecks::Answered(const std::string& id, const std::string& instance,
                               const std::string& limit, const std::string& leaving) {
  if (instance.empty()) return;
  const std::lock_guard lock(mutex_);
  passed_[{requests_.at(id).ip, instance}].push_back(
      {std::chrono::steady_clock::now(), limit, leaving == "1"});
}

void StatementChecks::Excuse(const MeshMachine& machine) {
  const std::lock_guard lock(mutex_);
  excuses_[machine.ip].push_back(std::chrono::steady_clock::now());
}

HttpAnswer StatementChecks::Call(const MeshFleet& fleet, const MeshMachine& machine,
                                 const MeshRequest& request) {
  Sent(request.id, machine);
  HttpAnswer answer = fleet.Call(machine, request);
  Answered(request.id, answer);
  return answer;
}

std::vector<StatementChecks::Spell> StatementChecks::SpellsOf(const Instance& instance) {
  const auto stated = instance.stated_limits();
  std::vector<Spell> spells;
  Time first;  // Since when it has stated a limit, whichever.
  for (std::size_t index = 0; index < stated.size(); ++index) {
    const bool last = index + 1 == stated.size();
    const Time to = last ? std::chrono::steady_clock::now() : stated[index + 1].since;
    char* end = nullptr;
    const double number = std::strtod(stated[index].text.c_str(), &end);
    const bool is_number = !stated[index].text.empty() && *end == '\0';
    if (!is_number) continue;
    const bool goes_on = !spells.empty() && spells.back().to == stated[index].since;
    if (!goes_on) first = stated[index].since;
    const Time binds_from = std::max(first + kConnected, stated[index].since + kPropagation);
    spells.push_back({stated[index].since, to, binds_from, stated[index].text, number});
  }
  return spells;
}

StatementChecks::Time StatementChecks::LastExcuse(const std::string& ip, Time before) const {
  Time last{};
  const auto found = excuses_.find(ip);
  if (found == excuses_.end()) return last;
  for (const Time excuse : found->second) {
    if (excuse <= before) last = std::max(last, excuse);
  }
  return last;
}

const StatementChecks::Request* StatementChecks::RequestOf(const InstanceRun& run) const {
  const auto found = requests_.find(run.request_id);
  return found == requests_.end() ? nullptr : &found->second;
}

bool StatementChecks::WasTold(const InstanceRun& run, const Spell& spell) const {
  const auto* request = RequestOf(run);
  const auto found = request == nullptr ? passed_.end() : passed_.find({request->ip, run.instance});
  if (found == passed_.end()) return false;
  const Time since = std::max(spell.from, LastExcuse(request->ip, run.came_at));
  return std::any_of(found->second.begin(), found->second.end(), [&](const Passed& passed) {
    return passed.limit == spell.text && passed.at > since &&
           passed.at + kPropagation <= run.came_at;
  });
}

bool StatementChecks::IsLate(const InstanceRun& run, Time started) const {
  const auto* request = RequestOf(run);
  const auto found = request == nullptr ? passed_.end() : passed_.find({request->ip, run.instance});
  if (found == passed_.end() || run.expected != run.instance) return false;
  const Time since = std::max(started, LastExcuse(request->ip, run.came_at));
  return std::any_of(found->second.begin(), found->second.end(), [&](const Passed& passed) {
    return passed.leaving && passed.at > since && passed.at + kDrain < request->sent;
  });
}

std::vector<std::string> StatementChecks::BrokenLimits(const MeshFleet& fleet) const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> broken;
  for (const auto& machine : fleet.machines()) {
    const auto runs = machine->instance->runs();
    for (const Spell& spell : SpellsOf(*machine->instance)) {
      std::vector<Time> arrivals;
      for (const InstanceRun& run : runs) {
        const bool counts = run.came_at >= spell.binds_from && run.came_at < spell.to;
        if (counts && WasTold(run, spell)) arrivals.push_back(run.came_at);
      }
      std::sort(arrivals.begin(), arrivals.end());
      const double allowed = kOver * spell.per_second * SecondsOf(kWindow) + kSlack;
      std::size_t most = 0;
      for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
        while (arrivals[last] - arrivals[first] >= kWindow) ++first;
        most = std::max(most, last - first + 1);
      }
      if (static_cast<double>(most) > allowed) {
        broken.push_back(machine->instance_id + " got " + std::to_string(most) +
                         " requests in 4 s with a limit of " + spell.text);
      }
    }
  }
  return broken;
}

std::vector<std::string> StatementChecks::LateToLeaving(const MeshFleet& fleet) const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> late;
  for (const auto& machine : fleet.machines()) {
    const auto starts = machine->instance->starts();
    for (const InstanceRun& run : machine->instance->runs()) {
      Time started{};
      for (const Time start : starts) {
        if (start <= run.came_at) started = start;
      }
      if (IsLate(run, started)) late.push_back(run.request_id + " at " + run.instance);
    }
  }
  return late;
}

}  // namespace copperlead::standin
