// Which site a request goes to: the table's weights, stable per request id.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "snapshot/machines.h"
#include "table/table.h"

namespace copperlead {

// @return the request's place among 100 equal shares, 0 to 99: the same on every node and for every
//         route, so that a call and the calls it makes under one id go to one site.
std::uint32_t SplitShare(std::string_view request_id);

// Whether each site has any back end that may get new work.
struct SiteAvailability {
  bool old_site = false;
  bool new_site = false;
};

// Shares below old_weight go to the old site, so moving one percent of weight moves just the ids of
// that one percent. A site without any back end hands its requests to the other one only if that
// one has a weight above 0: weight 0 is the operators' word that nothing goes there.
// @return the site; nothing when neither may be used.
std::optional<Site> ChooseSite(const RouteRow& row, std::uint32_t share,
                               const SiteAvailability& available);

}  // namespace copperlead
