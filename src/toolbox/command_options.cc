#include "toolbox/command_options.h"

#include <charconv>
#include <iostream>

namespace copperlead {

namespace options = boost::program_options;

namespace {

constexpr int kStyle =
    options::command_line_style::unix_style & ~options::command_line_style::allow_guessing;

// The command's own options and --help.
options::options_description WithHelp(const CommandDescription& description) {
  options::options_description all = description.options;
  all.add_options()("help,h", "show this text");
  return all;
}

void PrintHelp(const CommandDescription& description) {
  std::cout << "usage: " << description.usage << "\n\n"
            << description.purpose << "\n\n"
            << WithHelp(description) << "\nexample:\n  " << description.example << "\n";
}

Result<CommandOptions> ReadCommandOptions(const CommandDescription& description,
                                          const std::vector<std::string>& arguments) {
  CommandOptions result;
  const auto all = WithHelp(description);
  try {
    options::store(options::command_line_parser(arguments)
                       .options(all)
                       .positional(description.positional)
                       .style(kStyle)
                       .run(),
                   result.values);
  } catch (const options::error& error) {
    return Fail(ErrorKind::kUsage, "command line",
                std::string(error.what()) + "; --help lists the options");
  }
  return result;
}

Result<int> ReadAndRun(const CommandDescription& description,
                       const std::vector<std::string>& arguments, CommandBody body) {
  BOOST_LEAF_AUTO(options, ReadCommandOptions(description, arguments));
  if (!options.Has("help")) return body(options);
  PrintHelp(description);
  return 0;
}

}  // namespace

std::string CommandOptions::Text(const std::string& key) const {
  return Has(key) ? values[key].as<std::string>() : std::string();
}

int RunCommand(std::string_view name, const CommandDescription& description,
               const std::vector<std::string>& arguments, CommandBody body) {
  const auto outcome = Resolve([&] { return ReadAndRun(description, arguments, body); });
  if (outcome) return outcome.value();
  std::cerr << "copperlead " << name << ": " << ToString(outcome.error()) << "\n";
  return AnswerFor(outcome.error().kind).exit_code;
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

Result<std::uint64_t> RequiredRevision(const CommandOptions& options, const std::string& key) {
  const std::string allowed = "a revision: a whole number, 1 and up";
  if (!options.Has(key)) {
    return Fail(ErrorKind::kUsage, "--" + key,
                "required: " + allowed + "; --help shows an example");
  }
  const std::string text = options.Text(key);
  std::uint64_t revision = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, code] = std::from_chars(text.data(), end, revision);
  if (code == std::errc() && stop == end && revision > 0) return revision;
  return Fail(ErrorKind::kUsage, "--" + key, "\"" + text + "\" is not " + allowed);
}

}  // namespace copperlead
