// Differences between two tables, by row and cell. Used by the command line tools.
#pragma once

#include <string>
#include <vector>

#include "table/table.h"

namespace copperlead {

// A changed cell of a row that both tables contain.
struct CellChange {
  std::string column;
  std::string before;
  std::string after;
};

// A route that was added, removed or changed.
struct RowChange {
  enum class Kind { kAdded, kRemoved, kChanged };
  Kind kind = Kind::kChanged;
  std::string service;
  std::string route;
  std::vector<CellChange> cells;  // The changed cells; empty unless `kind` is kChanged.
};

// @param before, after tables in canonical order.
// @return the changes, sorted by route.
std::vector<RowChange> Diff(const Table& before, const Table& after);

}  // namespace copperlead
