#include "toolbox/command.h"

namespace copperlead {

const std::vector<Command>& AllCommands() {
  static const std::vector<Command> commands = {
      {"load", "an open-loop load, and what the node adds to latency", RunLoad},
      {"status", "revisions by zone, and who is behind", RunStatus},
      {"stepback", "the table of an earlier revision, to publish again", RunStepback},
  };
  return commands;
}

}  // namespace copperlead
