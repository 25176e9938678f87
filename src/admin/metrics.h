// The node's metrics. Each stat is declared once, in the list of metrics.cc; the values are read
// from the modules' own counters when a scrape asks for them.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "base/error.h"

namespace copperlead {

// Values of one moment, filled in by the node from its modules.
struct MetricValues {
  // Control plane.
  std::uint64_t control_bytes_sent = 0;
  std::uint64_t control_bytes_received = 0;
  std::uint64_t control_messages_sent = 0;
  std::uint64_t control_messages_received = 0;
  std::uint64_t control_send_failures = 0;
  std::uint64_t bad_frames = 0;
  std::uint64_t unseal_failures = 0;
  std::uint64_t dropped_events = 0;
  std::uint64_t running_revision = 0;
  std::uint64_t floor_revision = 0;
  std::uint64_t machines_sequence = 0;
  std::uint64_t version_waiting = 0;
  std::uint64_t version_conflict = 0;
  std::uint64_t source_reads = 0;
  std::uint64_t source_failures = 0;
  std::uint64_t is_reader = 0;
  std::uint64_t ready = 0;
  std::uint64_t live_members = 0;
  std::uint64_t suspect_members = 0;
  std::uint64_t dead_members = 0;
  // Data path.
  std::uint64_t requests = 0;
  std::uint64_t requests_in_flight = 0;
  std::uint64_t answers = 0;
  std::uint64_t retries = 0;
  std::uint64_t retries_denied = 0;
  std::uint64_t ejections = 0;
  std::uint64_t caller_connections = 0;
  std::uint64_t backend_connections = 0;
  std::array<std::uint64_t, static_cast<std::size_t>(ErrorKind::kCount)> errors{};
};

// @return the values in Prometheus text format. Any thread.
std::string MetricsToText(const MetricValues& values);

}  // namespace copperlead
