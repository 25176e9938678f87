// The last load that a back end reported.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace copperlead {

// Load report of one back end. It is used only while fresh; an old one is ignored. Not thread-safe.
class LoadReport {
 public:
  // @param in_flight requests from all callers that the back end reports as in flight.
  // @param own_in_flight this node's requests in flight there when the report arrives.
  void Record(Timestamp now, std::uint32_t in_flight, std::uint32_t own_in_flight);

  // @param freshness maximum age at which a report is used.
  // @return other callers' requests in flight; 0 without a fresh report.
  std::uint32_t OthersInFlight(Timestamp now, Duration freshness) const;

 private:
  Timestamp recorded_ = Timestamp::min();
  std::uint32_t others_in_flight_ = 0;
};

}  // namespace copperlead
