#include "standin/command.h"

namespace copperlead::standin {

const std::vector<Command>& AllCommands() {
  static const std::vector<Command> commands = {
      {"source", "the platform's configuration service and machine list", RunSource},
      {"backend", "a back end with slots, a journal of runs and failure modes", RunBackend},
      {"fault-proxy", "a TCP and UDP forwarder that injects network faults", RunFaultProxy},
  };
  return commands;
}

}  // namespace copperlead::standin
