// `copperlead plan`: weight steps from one table to another that both sites' slots can carry.

#include <iostream>
#include <nlohmann/json.hpp>

#include "toolbox/command.h"
#include "toolbox/command_options.h"
#include "toolbox/plan_inputs.h"
#include "toolbox/weight_plan.h"

namespace copperlead {
namespace {

namespace options = boost::program_options;
using Json = nlohmann::ordered_json;

CommandDescription Describe() {
  CommandDescription description;
  description.usage =
      "copperlead plan --from A --to B --max-step N [--machines FILE] [--configuration FILE]\n"
      "       [--load FILE] [--json]";
  description.purpose =
      "Prints the weight steps from table A to table B (each a table as CSV or a configuration as\n"
      "JSON), each cell to edit, at most N percentage points per route and step. With --machines,\n"
      "each step must fit the slots of both sites: live instances times slots_per_instance, which\n"
      "come from --configuration, or from A and B when both are configurations. The load of a\n"
      "service is what --load says, otherwise the sum of its routes' max_in_flight; it may fall\n"
      "on the routes in any way that their max_in_flight allows.\n"
      "Exit 0: planned; 1: impossible, naming the service and the slots missing; 2: bad input.";
  description.example =
      "copperlead plan --from now.json --to goal.json --max-step 10 --machines machines.json "
      "--load load.json";
  auto add = description.options.add_options();
  const auto text = [] { return options::value<std::string>(); };
  add("from", text(), "the table now");
  add("to", text(), "the table to reach");
  add("max-step", text(), "percentage points per route and step, 1 to 100");
  add("machines", text(), "the platform's list of machines as JSON");
  add("configuration", text(), "the source's JSON document, for slots_per_instance");
  add("load", text(), "requests in flight as JSON: {\"permit-desk\": 24}");
  add("json", "print one JSON object");
  return description;
}

void PrintUse(const SlotUse& use) {
  std::cout << "  " << use.service << " then needs " << use.needed.old_site << " of "
            << use.available.old_site << " slots on the old site, " << use.needed.new_site << " of "
            << use.available.new_site << " on the new site\n";
}

void PrintText(const WeightPlan& plan) {
  if (plan.steps.empty()) std::cout << "no weights differ: nothing to do\n";
  std::size_t number = 0;
  for (const auto& step : plan.steps) {
    std::cout << "step " << ++number << " of " << plan.steps.size() << "\n";
    for (const auto& change : step.changes) {
      std::cout << "  " << change.route << " (service " << change.service << "): old_weight "
                << change.old_weight_before << " -> " << change.old_weight_after << ", new_weight "
                << change.new_weight_before << " -> " << change.new_weight_after << "\n";
    }
    for (const auto& use : step.use) PrintUse(use);
  }
}

Json ToJson(std::uint32_t before, std::uint32_t after) {
  return {{"before", before}, {"after", after}};
}

Json ToJson(const SiteSlots& slots) { return {{"old", slots.old_site}, {"new", slots.new_site}}; }

Json ToJson(const WeightStep& step) {
  Json changes = Json::array();
  for (const auto& change : step.changes) {
    changes.push_back({{"service", change.service},
                       {"route", change.route},
                       {"old_weight", ToJson(change.old_weight_before, change.old_weight_after)},
                       {"new_weight", ToJson(change.new_weight_before, change.new_weight_after)}});
  }
  Json uses = Json::array();
  for (const auto& use : step.use) {
    uses.push_back({{"service", use.service},
                    {"needed", ToJson(use.needed)},
                    {"available", ToJson(use.available)}});
  }
  return {{"changes", changes}, {"slots", uses}};
}

void PrintJson(const WeightPlan& plan, bool slots_checked) {
  Json steps = Json::array();
  for (const auto& step : plan.steps) steps.push_back(ToJson(step));
  std::cout << Json{{"slots_checked", slots_checked}, {"steps", steps}}.dump() << "\n";
}

Result<int> Run(const CommandOptions& options) {
  BOOST_LEAF_AUTO(request, ReadPlanInputs({options.Text("from"), options.Text("to"),
                                           options.Text("max-step"), options.Text("configuration"),
                                           options.Text("machines"), options.Text("load")}));
  BOOST_LEAF_AUTO(plan, PlanWeights(request));
  if (options.Has("json")) {
    PrintJson(plan, request.slots.has_value());
  } else {
    PrintText(plan);
  }
  if (!request.slots) std::cerr << "slots were not checked: add --machines FILE\n";
  return kExitGood;
}

}  // namespace

int RunPlan(const std::vector<std::string>& arguments) {
  return RunCommand("plan", Describe(), arguments, Run);
}

}  // namespace copperlead
