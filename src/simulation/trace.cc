#include "simulation/trace.h"

#include <ostream>

namespace copperlead::simulation {
namespace {

struct Describe {
  std::string operator()(const SendMessage& /*action*/) const { return ""; }
  std::string operator()(const FetchFromSource& action) const {
    const bool configuration = action.stream == StreamKind::kConfiguration;
    return configuration ? "reads the configuration" : "reads the machine list";
  }
  std::string operator()(const ActivateBundle& action) const {
    return "runs configuration " + ToString(action.bundle->version);
  }
  std::string operator()(const ActivateMachines& action) const {
    return "runs machine list " + ToString(action.machines->version);
  }
  std::string operator()(const Report& action) const {
    return std::string(Name(action.kind)) + ": " + action.place + ": " + action.text;
  }
};

}  // namespace

void Trace::Write(Duration elapsed, const std::string& node, const Action& action) {
  if (out_ == nullptr) return;
  const std::string text = std::visit(Describe{}, action);
  if (!text.empty()) Write(elapsed, node, text);
}

void Trace::Write(Duration elapsed, const std::string& node, const std::string& text) {
  if (out_ == nullptr) return;
  *out_ << static_cast<double>(elapsed.count()) / 1000.0 << " ms " << node << " " << text << "\n";
}

}  // namespace copperlead::simulation
