// Settings of copperlead-node. Command-line flags and keys of the settings file have the same
// names. All values are checked at start.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/result.h"
#include "base/time.h"

namespace copperlead {

// Selects the cost that the protocol intervals minimise. The intervals are in
// distribution/profiles.h.
enum class Profile {
  kAvlak,     // Minimises convergence time.
  kFerraris,  // Minimises control traffic.
};

struct NodeSettings {
  std::string id;
  std::string zone;
  SocketAddress listen;  // Address for callers.
  SocketAddress admin;   // Address for operators.
  // Address for other nodes, UDP and TCP. It is sent to them, so it must not be a wildcard.
  SocketAddress peer_listen;
  std::optional<SocketAddress> peer_advertise;  // Address sent to peers; peer_listen if absent.
  std::vector<SocketAddress> peers;
  std::optional<SocketAddress> source;
  // Interval between polls of a zone's reader; the profile's value if absent.
  std::optional<Milliseconds> source_interval;
  std::string fleet_key_file;
  std::string log_level;
  std::string log_format;
  Milliseconds drain_limit{};
  Profile profile = Profile::kAvlak;
};

// The result of parsing the command line.
struct ParsedCommandLine {
  NodeSettings settings;
  bool help = false;
  std::string help_text;
};

// Reads the flags and the file named by --settings and checks every value. Flags take precedence.
// @param arguments the command line without the program's name.
// @return the settings; kBadSetting with the key as place and the value and the allowed values as
//         cause; kUnreadableFile for a settings file that cannot be opened.
Result<ParsedCommandLine> ParseNodeSettings(const std::vector<std::string>& arguments);

}  // namespace copperlead
