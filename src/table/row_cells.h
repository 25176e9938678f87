// The only mapping of a typed row to its cells in canonical column order. Internal to table/.
#pragma once

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string_view>

#include "table/cell.h"
#include "table/csv.h"

namespace copperlead {

inline constexpr std::size_t kColumnCount = std::size(kColumnNames);

// Indices of the columns in kColumnNames.
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

// Calls visit(std::string_view) with the text of each cell of a row, in canonical column order. The
// text is valid only until visit returns.
template <class Visitor>
void VisitCells(const RouteRow& row, Visitor&& visit) {
  const auto visit_number = [&](std::uint32_t number) {
    char digits[std::numeric_limits<std::uint32_t>::digits10 + 1];
    const auto end = std::to_chars(digits, digits + sizeof(digits), number).ptr;
    visit(std::string_view(digits, static_cast<std::size_t>(end - digits)));
  };
  visit(std::string_view(row.service));
  visit(std::string_view(row.route));
  visit_number(row.old_weight);
  visit_number(row.new_weight);
  visit_number(row.timeout_ms);
  visit_number(row.requests_per_second);
  visit_number(row.max_in_flight);
  visit_number(row.max_retries);
  visit(Name(row.repeatable));
  visit(std::string_view(row.secret));
}

}  // namespace copperlead
