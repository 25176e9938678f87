#include "distribution/profiles.h"

namespace copperlead {

using std::chrono::seconds;

AgentSettings AvlakProfile() {
  AgentSettings settings;
  settings.source_interval = seconds(1);
  settings.fan_out = 8;
  settings.membership.probe_interval = seconds(1);
  return settings;
}

AgentSettings FerrarisProfile() {
  AgentSettings settings;
  settings.source_interval = seconds(4);
  settings.fan_out = 8;
  settings.membership.probe_interval = seconds(3);
  settings.membership.probe_timeout = Milliseconds(500);
  settings.membership.suspicion_timeout = seconds(12);
  settings.membership.sync_interval = seconds(30);
  return settings;
}

}  // namespace copperlead
