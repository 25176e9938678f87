// Settings of copperlead-node: flags and settings-file keys are the same. Checked at start.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/result.h"
#include "base/time.h"

namespace copperlead {

// Which cost the intervals favour; the figures are in distribution/profiles.h.
enum class Profile {
  kAvlak,     // Short convergence time.
  kFerraris,  // Few control bytes.
};

struct NodeSettings {
  std::string id;
  std::string zone;
  SocketAddress listen;       // Callers.
  SocketAddress admin;        // Operators.
  SocketAddress peer_listen;  // Other nodes; UDP and TCP. Told to peers, so never a wildcard.
  std::optional<SocketAddress> peer_advertise;  // By which others reach it; none: peer_listen.
  std::vector<SocketAddress> peers;
  std::optional<SocketAddress> source;
  std::optional<Milliseconds> source_interval;  // Of one zone's reader; none: the profile's.
  std::string fleet_key_file;
  std::string log_level;
  std::string log_format;
  Milliseconds drain_limit{};
  Profile profile = Profile::kAvlak;
};

// What the command line asked for.
struct ParsedCommandLine {
  NodeSettings settings;
  bool help = false;
  std::string help_text;
};

// Reads flags and the file named by --settings (flags win); checks every value.
// @param arguments without the program's name.
// @return kBadSetting (kUnreadableFile for the settings file) whose place is the key and whose
//         cause names the value and what is allowed.
Result<ParsedCommandLine> ParseNodeSettings(const std::vector<std::string>& arguments);

}  // namespace copperlead
