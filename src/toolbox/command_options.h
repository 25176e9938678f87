// What the commands share: the way from arguments to an exit code, and options of one kind.
#pragma once

#include <boost/program_options.hpp>
#include <cstdint>
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

// Values of the options.
struct CommandOptions {
  boost::program_options::variables_map values;

  bool Has(const std::string& key) const { return values.count(key) > 0; }
  std::string Text(const std::string& key) const;
};

// What a command does with its options. @return the exit code.
using CommandBody = Result<int> (*)(const CommandOptions& options);

// Runs one command: reads the arguments, prints the help on --help or -h, else calls `body`. An
// error goes to standard error as "copperlead NAME: kind: place: cause". Options are not
// abbreviated, so that a script means the same when a command gets more of them.
// @return the exit code: the body's, or that of the error's kind.
int RunCommand(std::string_view name, const CommandDescription& description,
               const std::vector<std::string>& arguments, CommandBody body);

// Reads a required IP:PORT option. @return kUsage naming the option.
Result<SocketAddress> RequiredAddress(const CommandOptions& options, const std::string& key);

// Reads a required option that names a revision: a whole number, 1 and up.
// @return kUsage naming the option.
Result<std::uint64_t> RequiredRevision(const CommandOptions& options, const std::string& key);

}  // namespace copperlead
