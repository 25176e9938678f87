#include "standin/command.h"

namespace copperlead::standin {

const std::vector<Command>& AllCommands() {
  static const std::vector<Command> commands = {
      {"source", "the platform's configuration service and machine list", RunSource},
      {"backend", "a back end with slots, a journal of runs and failure modes", RunBackend},
      {"store", "a key-value store that is listed and watched, with troubles", RunStore},
      {"instance", "an instance that signs its answers, with troubles", RunInstance},
      {"fault-proxy", "a TCP and UDP forwarder that injects network faults", RunFaultProxy},
      {"demo", "a fleet on loopback: requests, an edit, a bad edit, an outage, a drain", RunDemo},
  };
  return commands;
}

}  // namespace copperlead::standin
