// Settings of copperlead-node: flags and settings-file keys are the same. Checked at start.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/result.h"
#include "base/time.h"

namespace copperlead {

enum class Profile { kAvlak, kFerraris };

struct NodeSettings {
  std::string id;
  std::string zone;
  SocketAddress listen;
  SocketAddress admin;
  SocketAddress peer_listen;
  std::vector<SocketAddress> peers;
  std::optional<SocketAddress> source;
  Milliseconds source_interval{1000};
  std::string fleet_key_file;
  std::string log_level = "info";
  std::string log_format = "text";
  Milliseconds drain_limit{30000};
  Profile profile = Profile::kAvlak;
};

// What the command line asked for.
struct ParsedCommandLine {
  NodeSettings settings;
  bool help = false;
  std::string help_text;
};

// Reads flags and the file named by --settings (flags win); checks every value.
// @return kBadSetting whose place is the key and whose cause names the value and what is allowed.
Result<ParsedCommandLine> ParseNodeSettings(const std::vector<std::string>& arguments);

}  // namespace copperlead
