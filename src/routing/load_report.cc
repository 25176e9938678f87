#include "routing/load_report.h"

namespace copperlead {

void LoadReport::Record(Timestamp now, std::uint32_t in_flight, std::uint32_t own_in_flight) {
  recorded_ = now;
  others_in_flight_ = in_flight > own_in_flight ? in_flight - own_in_flight : 0;
}

std::uint32_t LoadReport::OthersInFlight(Timestamp now, Duration freshness) const {
  if (recorded_ == Timestamp::min() || now - recorded_ > freshness) return 0;
  return others_in_flight_;
}

}  // namespace copperlead
