#include <csv.h>

#include <string>
#include <string_view>

#include "table/cell.h"
#include "table/csv.h"
#include "table/row_cells.h"

namespace copperlead {
namespace {

constexpr std::size_t kTypicalRowBytes = 96;

// Quoted only where RFC 4180 needs it, so that the table stays readable.
void AppendCell(std::string& out, std::string_view cell) {
  if (cell.find_first_of(",\"\r\n") == std::string_view::npos) {
    out += cell;
    return;
  }
  const std::size_t size = csv_write(nullptr, 0, cell.data(), cell.size());
  const std::size_t begin = out.size();
  out.resize(begin + size);
  csv_write(out.data() + begin, size, cell.data(), cell.size());
}

void AppendRow(std::string& out, const RowCells& cells) {
  bool first = true;
  for (const auto& cell : cells) {
    if (!first) out += ',';
    first = false;
    AppendCell(out, cell);
  }
  out += '\n';
}

}  // namespace

RowCells CellsOf(const RouteRow& row) {
  return {row.service,
          row.route,
          std::to_string(row.old_weight),
          std::to_string(row.new_weight),
          std::to_string(row.timeout_ms),
          std::to_string(row.requests_per_second),
          std::to_string(row.max_in_flight),
          std::to_string(row.max_retries),
          std::string(Name(row.repeatable)),
          row.secret};
}

std::string ToCsv(const Table& table) {
  std::string out;
  out.reserve((table.rows.size() + 1) * kTypicalRowBytes);
  RowCells header;
  for (std::size_t column = 0; column < kColumnCount; ++column) {
    header[column] = kColumnNames[column];
  }
  AppendRow(out, header);
  for (const auto& row : table.rows) AppendRow(out, CellsOf(row));
  return out;
}

}  // namespace copperlead
