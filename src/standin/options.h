// Command line of one stand-in: Boost.Program_options with --help and checked addresses.
#pragma once

#include <boost/program_options.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/address.h"

namespace copperlead::standin {

// Exit code for a bad option or an address that cannot be bound.
inline constexpr int kExitUsage = 2;

// Parses `arguments` by `description` (to which --help is added).
// @return nothing when the program should go on; else the exit code (0 after --help, 2 after an
//         error, which is printed).
std::optional<int> ParseOptions(const std::vector<std::string>& arguments,
                                boost::program_options::options_description& description,
                                boost::program_options::variables_map& values);

// Reads the address given for `option`; prints what is wrong.
std::optional<SocketAddress> AddressOption(const boost::program_options::variables_map& values,
                                           const std::string& option);

}  // namespace copperlead::standin
