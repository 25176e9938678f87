// What a back end last said of its load.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace copperlead {

// One back end's report. Used only while fresh: an old one says nothing. Not thread-safe.
class LoadReport {
 public:
  // @param in_flight requests that the back end works on, from all callers.
  // @param own_in_flight of these, the node's own at this moment.
  void Record(Timestamp now, std::uint32_t in_flight, std::uint32_t own_in_flight);

  // @param freshness the longest age at which a report is used.
  // @return other callers' requests in flight; 0 without a fresh report.
  std::uint32_t OthersInFlight(Timestamp now, Duration freshness) const;

 private:
  Timestamp recorded_ = Timestamp::min();
  std::uint32_t others_in_flight_ = 0;
};

}  // namespace copperlead
