#include <csv.h>

#include <algorithm>
#include <string>
#include <string_view>

#include "table/cell.h"
#include "table/csv.h"
#include "table/row_cells.h"

namespace copperlead {
namespace {

constexpr std::size_t kEstimatedRowBytes = 96;

bool NeedsQuotes(char character) {
  return character == ',' || character == '"' || character == '\r' || character == '\n';
}

// Appends a cell, quoted only where RFC 4180 requires it, which keeps the table readable.
void AppendCell(std::string& out, std::string_view cell) {
  if (std::ranges::none_of(cell, NeedsQuotes)) {
    out += cell;
    return;
  }
  const std::size_t size = csv_write(nullptr, 0, cell.data(), cell.size());
  const std::size_t begin = out.size();
  out.resize(begin + size);
  csv_write(out.data() + begin, size, cell.data(), cell.size());
}

}  // namespace

std::string ToCsv(const Table& table) {
  std::string out;
  out.reserve((table.rows.size() + 1) * kEstimatedRowBytes);
  for (const auto column : kColumnNames) {
    out += column;
    out += ',';
  }
  out.back() = '\n';
  for (const auto& row : table.rows) {
    VisitCells(row, [&](std::string_view cell) {
      AppendCell(out, cell);
      out += ',';
    });
    out.back() = '\n';
  }
  return out;
}

}  // namespace copperlead
