#include "node/settings.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <fstream>
#include <sstream>
#include <string_view>

namespace copperlead {
namespace {

namespace options = boost::program_options;

constexpr std::size_t kMaxNameLength = 200;
constexpr std::int64_t kMinSourceIntervalMs = 50;
constexpr std::int64_t kMaxSourceIntervalMs = 600'000;
constexpr std::int64_t kMaxDrainLimitMs = 3'600'000;
constexpr std::string_view kSourceScheme = "http://";

options::options_description DescribeOptions() {
  options::options_description description("copperlead-node settings (flags or settings file)");
  const auto text = [] { return options::value<std::string>(); };
  // clang-format off
  description.add_options()
      ("help", "show this text")
      ("settings", text(), "FILE with `key = value` lines; flags win")
      ("id", text(), "NAME of this node, unique in the fleet (required)")
      ("zone", text(), "NAME of this node's zone (required)")
      ("listen", text(), "IP:PORT for callers (required)")
      ("admin", text(), "IP:PORT for operators: /status /metrics /journal /history /healthz /readyz "
                        "(required)")
      ("peer-listen", text(), "IP:PORT for other nodes, UDP and TCP; not a wildcard (required)")
      ("peer-advertise", text(),
       "IP:PORT by which other nodes reach this one, when that is not peer-listen")
      ("peer", options::value<std::vector<std::string>>()->composing(),
       "IP:PORT of a first contact; may be repeated")
      ("source", text(), "http://IP:PORT of the platform's configuration service")
      ("source-interval-ms", text(), "milliseconds between polls of a zone's reader, 50 to 600000; "
                                     "default by profile")
      ("fleet-key-file", text(), "FILE with one or two base64 keys of 32 bytes (required)")
      ("profile", text()->default_value("avlak"), "avlak (convergence time) or ferraris (bytes)")
      ("log-level", text()->default_value("info"), "debug, info, warning or error")
      ("log-format", text()->default_value("text"), "json or text")
      ("drain-limit-ms", text()->default_value("30000"),
       "longest wait for requests in flight after SIGTERM, 0 to 3600000");
  // clang-format on
  return description;
}

// The values of all keys after flags and settings file are merged.
class Values {
 public:
  explicit Values(options::variables_map map) : map_(std::move(map)) {}

  bool Has(const std::string& key) const { return map_.count(key) > 0; }
  std::string Text(const std::string& key) const {
    return Has(key) ? map_[key].as<std::string>() : std::string();
  }
  std::vector<std::string> List(const std::string& key) const {
    return Has(key) ? map_[key].as<std::vector<std::string>>() : std::vector<std::string>();
  }

 private:
  options::variables_map map_;
};

boost::leaf::error_id BadSetting(const std::string& key, const std::string& value,
                                 const std::string& allowed) {
  return Fail(ErrorKind::kBadSetting, key, "\"" + value + "\" is not allowed: " + allowed);
}

Result<std::string> ParseName(const Values& values, const std::string& key) {
  std::string value = values.Text(key);
  const bool printable = std::all_of(value.begin(), value.end(), [](unsigned char character) {
    return character > 0x20 && character < 0x7f;
  });
  if (value.empty() || value.size() > kMaxNameLength || !printable) {
    return BadSetting(key, value, "1 to 200 printable ASCII characters without spaces (required)");
  }
  return value;
}

Result<SocketAddress> ParseAddress(const std::string& key, const std::string& value) {
  auto outcome = Resolve([&] { return ParseSocketAddress(value); });
  if (!outcome)
    return BadSetting(key, value, "IP:PORT with a numeric IP; " + outcome.error().cause);
  return std::move(outcome.value());
}

Result<SocketAddress> ParsePeerAddress(const std::string& key, const std::string& value) {
  BOOST_LEAF_AUTO(address, ParseAddress(key, value));
  if (address.ip == "0.0.0.0" || address.ip == "::") {
    return BadSetting(key, value, "an address that other nodes can reach, not a wildcard");
  }
  return address;
}

Result<Milliseconds> ParseMilliseconds(const std::string& key, const std::string& value,
                                       std::int64_t minimum, std::int64_t maximum) {
  const std::string allowed = "a whole number of milliseconds, " + std::to_string(minimum) +
                              " to " + std::to_string(maximum);
  const bool digits = !value.empty() && value.size() <= 9 &&
                      value.find_first_not_of("0123456789") == std::string::npos;
  if (!digits) return BadSetting(key, value, allowed);
  const std::int64_t number = std::stoll(value);
  if (number < minimum || number > maximum) return BadSetting(key, value, allowed);
  return Milliseconds(number);
}

Result<std::string> ParseChoice(const Values& values, const std::string& key,
                                const std::vector<std::string>& allowed) {
  std::string value = values.Text(key);
  if (std::find(allowed.begin(), allowed.end(), value) != allowed.end()) return value;
  std::string listed;
  for (const auto& choice : allowed) listed += (listed.empty() ? "" : ", ") + choice;
  return BadSetting(key, value, "one of " + listed);
}

Result<std::optional<SocketAddress>> ParseSource(const Values& values) {
  if (!values.Has("source")) return std::optional<SocketAddress>();
  std::string value = values.Text("source");
  if (!value.starts_with(kSourceScheme)) return BadSetting("source", value, "http://IP:PORT");
  if (value.ends_with('/')) value.pop_back();
  BOOST_LEAF_AUTO(address, ParseAddress("source", value.substr(kSourceScheme.size())));
  return std::optional<SocketAddress>(address);
}

Result<NodeSettings> ParseSettings(const Values& values) {
  NodeSettings settings;
  BOOST_LEAF_ASSIGN(settings.id, ParseName(values, "id"));
  BOOST_LEAF_ASSIGN(settings.zone, ParseName(values, "zone"));
  BOOST_LEAF_ASSIGN(settings.listen, ParseAddress("listen", values.Text("listen")));
  BOOST_LEAF_ASSIGN(settings.admin, ParseAddress("admin", values.Text("admin")));
  BOOST_LEAF_ASSIGN(settings.peer_listen,
                    ParsePeerAddress("peer-listen", values.Text("peer-listen")));
  if (values.Has("peer-advertise")) {
    BOOST_LEAF_AUTO(advertised, ParsePeerAddress("peer-advertise", values.Text("peer-advertise")));
    settings.peer_advertise = advertised;
  }
  for (const auto& peer : values.List("peer")) {
    BOOST_LEAF_AUTO(address, ParsePeerAddress("peer", peer));
    settings.peers.push_back(address);
  }
  BOOST_LEAF_ASSIGN(settings.source, ParseSource(values));
  if (values.Has("source-interval-ms")) {
    BOOST_LEAF_ASSIGN(settings.source_interval,
                      ParseMilliseconds("source-interval-ms", values.Text("source-interval-ms"),
                                        kMinSourceIntervalMs, kMaxSourceIntervalMs));
  }
  settings.fleet_key_file = values.Text("fleet-key-file");
  if (settings.fleet_key_file.empty()) {
    return BadSetting("fleet-key-file", "", "the name of a readable key file (required)");
  }
  BOOST_LEAF_AUTO(profile, ParseChoice(values, "profile", {"avlak", "ferraris"}));
  settings.profile = profile == "ferraris" ? Profile::kFerraris : Profile::kAvlak;
  BOOST_LEAF_ASSIGN(settings.log_level,
                    ParseChoice(values, "log-level", {"debug", "info", "warning", "error"}));
  BOOST_LEAF_ASSIGN(settings.log_format, ParseChoice(values, "log-format", {"json", "text"}));
  BOOST_LEAF_ASSIGN(
      settings.drain_limit,
      ParseMilliseconds("drain-limit-ms", values.Text("drain-limit-ms"), 0, kMaxDrainLimitMs));
  return settings;
}

// Reads the flags, then the settings file for keys that are not given as flags.
Result<Values> ReadValues(const std::vector<std::string>& arguments) {
  const auto description = DescribeOptions();
  options::variables_map map;
  std::string file_name;
  try {
    options::store(options::command_line_parser(arguments).options(description).run(), map);
    if (map.count("settings") > 0) {
      file_name = map["settings"].as<std::string>();
      std::ifstream file(file_name);
      if (!file) return Fail(ErrorKind::kUnreadableFile, "settings", file_name);
      options::store(options::parse_config_file(file, description), map);
    }
  } catch (const options::error& error) {
    const std::string place = file_name.empty() ? "command line" : file_name;
    return Fail(ErrorKind::kBadSetting, place, error.what());
  }
  return Values(std::move(map));
}

}  // namespace

Result<ParsedCommandLine> ParseNodeSettings(const std::vector<std::string>& arguments) {
  ParsedCommandLine parsed;
  BOOST_LEAF_AUTO(values, ReadValues(arguments));
  if (values.Has("help")) {
    parsed.help = true;
    std::ostringstream text;
    text << DescribeOptions();
    parsed.help_text = text.str();
    return parsed;
  }
  BOOST_LEAF_ASSIGN(parsed.settings, ParseSettings(values));
  return parsed;
}

}  // namespace copperlead
