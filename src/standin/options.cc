#include "standin/options.h"

#include <iostream>

namespace copperlead::standin {

namespace program_options = boost::program_options;

std::optional<int> ParseOptions(const std::vector<std::string>& arguments,
                                program_options::options_description& description,
                                program_options::variables_map& values) {
  description.add_options()("help", "print this help");
  try {
    program_options::store(
        program_options::command_line_parser(arguments).options(description).run(), values);
    if (values.count("help") > 0) {
      std::cout << description << "\n";
      return 0;
    }
    program_options::notify(values);
  } catch (const program_options::error& error) {
    std::cerr << "copperlead-standin: " << error.what() << "\n";
    return kExitUsage;
  }
  return std::nullopt;
}

std::optional<SocketAddress> AddressOption(const program_options::variables_map& values,
                                           const std::string& option) {
  const auto parsed = Resolve([&] { return ParseSocketAddress(values[option].as<std::string>()); });
  if (parsed.ok()) return parsed.value();
  std::cerr << "copperlead-standin: --" << option << ": " << ToString(parsed.error()) << "\n";
  return std::nullopt;
}

}  // namespace copperlead::standin
