// The difference of two tables, by row and cell. Used by `copperlead diff` and by deltas.
#pragma once

#include <string>
#include <vector>

#include "table/table.h"

namespace copperlead {

// One changed cell of a row both tables hold.
struct CellChange {
  std::string column;
  std::string before;
  std::string after;
};

// One route that differs.
struct RowChange {
  enum class Kind { kAdded, kRemoved, kChanged };
  Kind kind = Kind::kChanged;
  std::string service;
  std::string route;
  std::vector<CellChange> cells;  // For kChanged only.
};

// @param before, after canonical.
// @return changes in order of route.
std::vector<RowChange> Diff(const Table& before, const Table& after);

}  // namespace copperlead
