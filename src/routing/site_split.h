// Chooses the site of a request by the table's weights, consistently for each request id.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "snapshot/machines.h"
#include "table/table.h"

namespace copperlead {

// Maps a request id to one of 100 equal shares. The result is the same on every node and for every
// route, so that a call and the calls it makes with the same id go to the same site.
// @return the share, 0 to 99.
std::uint32_t SplitShare(std::string_view request_id);

// Tells for each site whether it has a back end that accepts new work.
struct SiteAvailability {
  bool old_site = false;
  bool new_site = false;
};

// Shares below old_weight go to the old site, so moving one percent of weight moves only the ids of
// that percent. Requests for a site without an available back end go to the other site only if its
// weight is above 0: by weight 0 operators exclude a site.
// @return the site; nothing when neither can be used.
std::optional<Site> ChooseSite(const RouteRow& row, std::uint32_t share,
                               const SiteAvailability& available);

}  // namespace copperlead
