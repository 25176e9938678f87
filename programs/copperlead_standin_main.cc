// copperlead-standin: stand-ins for the platform, for tests and the demo.

#include <iostream>
#include <string>
#include <vector>

#include "standin/command.h"

namespace {

constexpr int kExitUsage = 2;

void PrintUsage(std::ostream& out) {
  out << "usage: copperlead-standin COMMAND [OPTIONS]\n\ncommands:\n";
  for (const auto& command : copperlead::standin::AllCommands()) {
    out << "  " << command.name << ": " << command.summary << "\n";
  }
  out << "\n`copperlead-standin COMMAND --help` explains one command.\n";
}

}  // namespace

int main(int argument_count, char** argument_values) {
  const std::vector<std::string> arguments(argument_values + 1, argument_values + argument_count);
  if (arguments.empty()) {
    PrintUsage(std::cerr);
    return kExitUsage;
  }
  if (arguments[0] == "--help" || arguments[0] == "-h") {
    PrintUsage(std::cout);
    return 0;
  }
  for (const auto& command : copperlead::standin::AllCommands()) {
    if (command.name == arguments[0]) return command.run({arguments.begin() + 1, arguments.end()});
  }
  std::cerr << "copperlead-standin: no command \"" << arguments[0] << "\"\n";
  return kExitUsage;
}
