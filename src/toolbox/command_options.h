// What the commands share: parsing of options, and errors on the command line.
#pragma once

#include <boost/program_options.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/address.h"
#include "base/result.h"

namespace copperlead {

// One command's options and help.
struct CommandDescription {
  std::string usage;    // First line of the help: "copperlead status --node IP:PORT [...]".
  std::string purpose;  // What the command does, and its exit codes.
  std::string example;  // One command line that works.
  boost::program_options::options_description options;
  boost::program_options::positional_options_description positional;
};

// Values of the options. `help_shown` tells that the help was printed and the command is done.
struct CommandOptions {
  boost::program_options::variables_map values;
  bool help_shown = false;

  bool Has(const std::string& key) const { return values.count(key) > 0; }
  std::string Text(const std::string& key) const;
};

// Reads the arguments; prints the help on --help.
// @return kUsage naming the argument and what to do next.
Result<CommandOptions> ReadCommandOptions(const CommandDescription& description,
                                          const std::vector<std::string>& arguments);

// Reads a required IP:PORT option. @return kUsage naming the option.
Result<SocketAddress> RequiredAddress(const CommandOptions& options, const std::string& key);

// Prints "copperlead COMMAND: kind: place: cause" to standard error.
// @return the exit code of the error's kind.
int ReportCommandError(std::string_view command, const Error& error);

}  // namespace copperlead
