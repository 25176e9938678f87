// The one place that maps a typed row to its cells in canonical column order. Internal to table/.
#pragma once

#include <array>
#include <cstddef>
#include <string>

#include "table/csv.h"

namespace copperlead {

inline constexpr std::size_t kColumnCount = std::size(kColumnNames);

// Index of each column in kColumnNames.
enum Column : std::size_t {
  kServiceColumn,
  kRouteColumn,
  kOldWeightColumn,
  kNewWeightColumn,
  kTimeoutColumn,
  kRequestsPerSecondColumn,
  kMaxInFlightColumn,
  kMaxRetriesColumn,
  kRepeatableColumn,
  kSecretColumn,
};

using RowCells = std::array<std::string, kColumnCount>;

// @return the cells of a row as text, in canonical order.
RowCells CellsOf(const RouteRow& row);

}  // namespace copperlead
