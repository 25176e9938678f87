#include "toolbox/command.h"

namespace copperlead {

const std::vector<Command>& AllCommands() {
  static const std::vector<Command> commands = {
      {"simulate", "the control plane of a whole fleet in virtual time", RunSimulate},
      {"status", "revisions by zone, and who is behind", RunStatus},
      {"stepback", "the table of an earlier revision, to publish again", RunStepback},
  };
  return commands;
}

}  // namespace copperlead
