#include "toolbox/command_options.h"

#include <iostream>

namespace copperlead {

namespace options = boost::program_options;

std::string CommandOptions::Text(const std::string& key) const {
  return Has(key) ? values[key].as<std::string>() : std::string();
}

Result<CommandOptions> ReadCommandOptions(const CommandDescription& description,
                                          const std::vector<std::string>& arguments) {
  CommandOptions result;
  options::options_description all = description.options;
  all.add_options()("help", "show this text");
  try {
    options::store(options::command_line_parser(arguments)
                       .options(all)
                       .positional(description.positional)
                       .run(),
                   result.values);
  } catch (const options::error& error) {
    return Fail(ErrorKind::kUsage, "command line",
                std::string(error.what()) + "; --help lists the options");
  }
  if (result.Has("help")) {
    std::cout << "usage: " << description.usage << "\n\n"
              << description.purpose << "\n\n"
              << all << "\nexample:\n  " << description.example << "\n";
    result.help_shown = true;
  }
  return result;
}

Result<SocketAddress> RequiredAddress(const CommandOptions& options, const std::string& key) {
  if (!options.Has(key)) {
    return Fail(ErrorKind::kUsage, "--" + key, "required: IP:PORT; --help shows an example");
  }
  const std::string text = options.Text(key);
  auto address = Resolve([&] { return ParseSocketAddress(text); });
  if (!address) {
    return Fail(ErrorKind::kUsage, "--" + key,
                "\"" + text + "\" is not an IP:PORT: " + address.error().cause);
  }
  return std::move(address.value());
}

int ReportCommandError(std::string_view command, const Error& error) {
  std::cerr << "copperlead " << command << ": " << ToString(error) << "\n";
  return AnswerFor(error.kind).exit_code;
}

}  // namespace copperlead
