// Sends requests on a fixed schedule (open loop) and counts what comes back.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/address.h"
#include "base/time.h"
#include "toolbox/load_histogram.h"

namespace copperlead {

struct LoadPlan {
  SocketAddress target;
  double rate = 100;  // Requests a second.
  std::chrono::seconds duration{10};
  std::size_t connections = 1;  // Kept; one thread each.
  std::string path = "/";
  std::string method = "GET";
  std::size_t body_bytes = 0;
  Duration timeout = std::chrono::seconds(10);  // Of one request, without progress.
  bool keep_alive = true;                       // False: a new connection for each request.
};

// What came back. Latency counts from the moment a request was meant to be sent, so a stall counts
// for all requests that were due in it, not for the one that met it (no coordinated omission).
struct LoadResult {
  LoadHistogram latency;        // Of every answer, whatever its status.
  LoadHistogram first_latency;  // Of each connection's first answer, connecting included.
  std::uint64_t sent = 0;
  std::map<std::string, std::uint64_t> by_status;   // "200": answers.
  std::map<std::string, std::uint64_t> by_outcome;  // By `copperlead-outcome`; answers with one.
  std::map<std::string, std::uint64_t> errors;      // Requests without a whole answer, by cause.
  double seconds = 0;                               // From the first due time to the last answer.

  std::uint64_t error_count() const;
};

// The time that RunLoad() needs before its start, to open the connections of the plan: each sends
// one request, counted in `first_latency` only.
Duration WarmUpTime(const LoadPlan& plan);

// Runs the plan from `start` on in threads of its own; returns when the last answer is there.
// Requests that are due when all connections are busy are sent late and counted from when they
// were due; the run ends with what was due within `duration`.
LoadResult RunLoad(const LoadPlan& plan, Timestamp start);

}  // namespace copperlead
