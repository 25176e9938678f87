#include "table/diff.h"

#include <string>
#include <string_view>
#include <vector>

#include "table/row_cells.h"

namespace copperlead {
namespace {

std::vector<CellChange> DiffCells(const RouteRow& before, const RouteRow& after) {
  std::vector<CellChange> changes;
  VisitCells(before, [&](std::string_view cell) {
    changes.push_back({std::string(kColumnNames[changes.size()]), std::string(cell), {}});
  });
  std::size_t column = 0;
  VisitCells(after, [&](std::string_view cell) { changes[column++].after = cell; });
  std::erase_if(changes, [](const CellChange& cell) { return cell.before == cell.after; });
  return changes;
}

}  // namespace

// Both tables are sorted by route, so one pass over both finds all differences.
std::vector<RowChange> Diff(const Table& before, const Table& after) {
  std::vector<RowChange> changes;
  auto left = before.rows.begin();
  auto right = after.rows.begin();
  while (left != before.rows.end() || right != after.rows.end()) {
    const bool only_left =
        right == after.rows.end() || (left != before.rows.end() && left->route < right->route);
    const bool only_right = !only_left && (left == before.rows.end() || right->route < left->route);
    if (only_left) {
      changes.push_back({RowChange::Kind::kRemoved, left->service, left->route, {}});
      ++left;
    } else if (only_right) {
      changes.push_back({RowChange::Kind::kAdded, right->service, right->route, {}});
      ++right;
    } else {
      if (*left != *right) {
        changes.push_back(
            {RowChange::Kind::kChanged, right->service, right->route, DiffCells(*left, *right)});
      }
      ++left;
      ++right;
    }
  }
  return changes;
}

}  // namespace copperlead
