// copperlead: the toolbox round the daemons.

#include <algorithm>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "toolbox/command.h"

namespace {

void PrintUsage(std::ostream& out) {
  out << "usage: copperlead COMMAND [OPTIONS]\n\ncommands:\n";
  for (const auto& command : copperlead::AllCommands()) {
    out << "  " << command.name
        << std::string(12 - std::min<std::size_t>(command.name.size(), 11), ' ') << command.summary
        << "\n";
  }
  out << "\n`copperlead COMMAND --help` explains one command.\n"
         "exit codes: 0 good, 1 the thing asked about is not so, 2 usage or bad input, "
         "3 cannot reach\n";
}

}  // namespace

int main(int argument_count, char** argument_values) {
  const std::vector<std::string> arguments(argument_values + 1, argument_values + argument_count);
  if (arguments.empty()) {
    PrintUsage(std::cerr);
    return copperlead::kExitUsage;
  }
  if (arguments[0] == "--help" || arguments[0] == "-h") {
    PrintUsage(std::cout);
    return copperlead::kExitGood;
  }
  for (const auto& command : copperlead::AllCommands()) {
    if (command.name == arguments[0]) return command.run({arguments.begin() + 1, arguments.end()});
  }
  std::cerr << "copperlead: no command \"" << arguments[0] << "\"; see copperlead --help\n";
  return copperlead::kExitUsage;
}
