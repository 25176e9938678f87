#include "toolbox/command.h"

namespace copperlead {

const std::vector<Command>& AllCommands() {
  static const std::vector<Command> commands = {};
  return commands;
}

}  // namespace copperlead
