#include "toolbox/command.h"

namespace copperlead {

const std::vector<Command>& AllCommands() {
  static const std::vector<Command> commands = {
      {"check", "every fault of a table or configuration", RunCheck},
      {"diff", "the cells that differ between two tables", RunDiff},
      {"plan", "weight steps that both sites' slots can carry", RunPlan},
      {"simulate", "the control plane of a whole fleet in virtual time", RunSimulate},
      {"load", "an open-loop load, and what the node adds to latency", RunLoad},
      {"status", "revisions by zone, and who is behind", RunStatus},
      {"replay", "a journal run again: why each version was taken or not", RunReplay},
      {"explain", "one request's story from the decision logs of several nodes", RunExplain},
      {"stepback", "the table of an earlier revision, to publish again", RunStepback},
  };
  return commands;
}

}  // namespace copperlead
