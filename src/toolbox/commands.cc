#include "toolbox/command.h"

namespace copperlead {

const std::vector<Command>& AllCommands() {
  static const std::vector<Command> commands = {
      {"status", "revisions by zone, and who is behind", RunStatus},
      {"replay", "a journal run again: why each version was taken or not", RunReplay},
      {"stepback", "the table of an earlier revision, to publish again", RunStepback},
  };
  return commands;
}

}  // namespace copperlead
