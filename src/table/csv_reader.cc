#include <csv.h>

#include <algorithm>
#include <array>
#include <limits>
#include <memory>
#include <numeric>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "table/cell.h"
#include "table/csv.h"
#include "table/fault_list.h"
#include "table/row_cells.h"

namespace copperlead {
namespace {

constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";
constexpr std::uint32_t kMaxNumber = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint32_t kMaxWeight = 100;
constexpr std::size_t kNoColumn = kColumnCount;

// Builds typed rows from the cells that libcsv reports.
class TableReader {
 public:
  CsvTable Read(std::string_view text);

 private:
  static void OnCell(void* cell, std::size_t size, void* reader);
  static void OnRowEnd(int terminator, void* reader);

  void HandleCell(std::string_view cell);
  void HandleRowEnd(int terminator);
  void CheckLoneCarriageReturn();
  void FinishRow();
  void ParseHeader();
  void ParseRow();
  void CheckFieldCount();
  void ParseCells(RouteRow& row);
  std::optional<CellFault> ParseCell(std::size_t column, std::string_view cell, RouteRow& row);
  void CheckWeights(const RouteRow& row);
  void CheckUniqueRoute(const RouteRow& row);
  void SortRows();

  // @return the CSV column number of a field, counted from 1; 0 when the header lacks the column.
  std::uint32_t ColumnNumber(Column column) const { return result_.column_numbers[column]; }
  void AddFault(std::uint32_t column, CellFault fault) {
    faults_.Add(fault.kind, row_number_, column, std::move(fault.message));
  }

  CsvTable result_;
  FaultList faults_;
  std::vector<std::string> cells_;   // Cells of the current row.
  std::vector<std::size_t> fields_;  // Field index of each CSV column, or kNoColumn.
  std::uint32_t row_number_ = 1;
  bool carriage_return_pending_ = false;  // The last row ended with CR, so LF must follow.
  bool header_read_ = false;
  std::array<bool, kColumnCount> cell_is_valid_{};  // For the current row, by field.
  std::unordered_map<std::string, std::uint32_t> row_number_by_route_;
};

CsvTable TableReader::Read(std::string_view text) {
  result_.column_numbers.assign(kColumnCount, 0);
  if (text.size() > kMaxTableBytes) {
    faults_.Add(ErrorKind::kOversized, 0, 0,
                "the table has " + std::to_string(text.size()) + " bytes, at most " +
                    std::to_string(kMaxTableBytes) + " are allowed");
    result_.faults = faults_.Take();
    return std::move(result_);
  }
  if (text.starts_with(kByteOrderMark)) {
    AddFault(1, {ErrorKind::kBadEncoding,
                 "the text starts with a byte order mark; save as UTF-8 without one"});
    text.remove_prefix(kByteOrderMark.size());
  }
  csv_parser parser;
  csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL);
  const std::unique_ptr<csv_parser, void (*)(csv_parser*)> guard(&parser, csv_free);
  csv_set_space_func(&parser, [](unsigned char) { return 0; });  // Spaces are part of the cell.
  const bool well_formed =
      csv_parse(&parser, text.data(), text.size(), OnCell, OnRowEnd, this) == text.size() &&
      csv_fini(&parser, OnCell, OnRowEnd, this) == 0;
  if (!well_formed) {
    AddFault(
        static_cast<std::uint32_t>(cells_.size() + 1),
        {ErrorKind::kMalformedCsv, "misplaced or missing double quote; nothing after it was read"});
  } else {
    CheckLoneCarriageReturn();
    if (!header_read_) AddFault(0, {ErrorKind::kMalformedCsv, "there is no header row"});
  }
  SortRows();
  result_.faults = faults_.Take();
  return std::move(result_);
}

void TableReader::OnCell(void* cell, std::size_t size, void* reader) {
  const std::string_view text =
      size == 0 ? std::string_view() : std::string_view(static_cast<const char*>(cell), size);
  static_cast<TableReader*>(reader)->HandleCell(text);
}

void TableReader::OnRowEnd(int terminator, void* reader) {
  static_cast<TableReader*>(reader)->HandleRowEnd(terminator);
}

void TableReader::HandleCell(std::string_view cell) {
  CheckLoneCarriageReturn();
  cells_.emplace_back(cell);
}

void TableReader::HandleRowEnd(int terminator) {
  if (terminator == CSV_LF && carriage_return_pending_) {
    carriage_return_pending_ = false;
    return;  // This LF completes a CRLF.
  }
  CheckLoneCarriageReturn();
  FinishRow();
  carriage_return_pending_ = terminator == CSV_CR;
}

void TableReader::CheckLoneCarriageReturn() {
  if (!carriage_return_pending_) return;
  carriage_return_pending_ = false;
  faults_.Add(ErrorKind::kMalformedCsv, row_number_ - 1, 0,
              "the row ends with CR alone; use LF or CRLF");
}

// A row without cells is a blank line, which counts as a row but is otherwise ignored.
void TableReader::FinishRow() {
  if (!cells_.empty()) {
    if (header_read_) {
      ParseRow();
    } else {
      ParseHeader();
    }
  }
  cells_.clear();
  ++row_number_;
}

void TableReader::ParseHeader() {
  header_read_ = true;
  for (std::size_t index = 0; index < cells_.size(); ++index) {
    const auto number = static_cast<std::uint32_t>(index + 1);
    const auto* const found = std::ranges::find(kColumnNames, cells_[index]);
    fields_.push_back(static_cast<std::size_t>(found - std::begin(kColumnNames)));
    if (auto fault = CheckEncoding(cells_[index])) {
      AddFault(number, std::move(*fault));
    } else if (fields_.back() == kNoColumn) {
      AddFault(number, {ErrorKind::kUnknownColumn, "unknown column " + Quote(cells_[index])});
    } else if (result_.column_numbers[fields_.back()] != 0) {
      AddFault(number, {ErrorKind::kMalformedCsv,
                        "column " + Quote(cells_[index]) + " stands here and in column " +
                            std::to_string(result_.column_numbers[fields_.back()])});
      fields_.back() = kNoColumn;
    } else {
      result_.column_numbers[fields_.back()] = number;
    }
  }
  for (std::size_t field = 0; field < kColumnCount; ++field) {
    if (result_.column_numbers[field] != 0) continue;
    AddFault(0,
             {ErrorKind::kMissingColumn, "column " + Quote(kColumnNames[field]) + " is missing"});
  }
}

void TableReader::ParseRow() {
  if (result_.table.rows.size() == kMaxTableRows) {
    AddFault(0, {ErrorKind::kOversized,
                 "at most " + std::to_string(kMaxTableRows) + " rows are allowed"});
    return;
  }
  CheckFieldCount();
  RouteRow row;
  ParseCells(row);
  CheckWeights(row);
  CheckUniqueRoute(row);
  result_.table.rows.push_back(std::move(row));
  result_.row_numbers.push_back(row_number_);
}

void TableReader::CheckFieldCount() {
  if (cells_.size() == fields_.size()) return;
  const std::size_t first_mismatch = std::min(cells_.size(), fields_.size()) + 1;
  AddFault(
      static_cast<std::uint32_t>(first_mismatch),
      {ErrorKind::kMalformedCsv, "the row has " + std::to_string(cells_.size()) +
                                     " cells, the header has " + std::to_string(fields_.size())});
}

void TableReader::ParseCells(RouteRow& row) {
  cell_is_valid_.fill(false);
  const std::size_t count = std::min(cells_.size(), fields_.size());
  for (std::size_t index = 0; index < count; ++index) {
    if (fields_[index] == kNoColumn) continue;
    auto fault = CheckEncoding(cells_[index]);
    if (!fault) fault = ParseCell(fields_[index], cells_[index], row);
    cell_is_valid_[fields_[index]] = !fault;
    if (fault) AddFault(static_cast<std::uint32_t>(index + 1), std::move(*fault));
  }
}

std::optional<CellFault> TableReader::ParseCell(std::size_t column, std::string_view cell,
                                                RouteRow& row) {
  switch (column) {
    case kServiceColumn:
      row.service = cell;
      return CheckName("service", cell);
    case kRouteColumn:
      row.route = cell;
      return CheckRoute(cell);
    case kOldWeightColumn:
      return ReadNumber(cell, 0, kMaxWeight, row.old_weight);
    case kNewWeightColumn:
      return ReadNumber(cell, 0, kMaxWeight, row.new_weight);
    case kTimeoutColumn:
      return ReadNumber(cell, 1, kMaxNumber, row.timeout_ms);
    case kRequestsPerSecondColumn:
      return ReadNumber(cell, 0, kMaxNumber, row.requests_per_second);
    case kMaxInFlightColumn:
      return ReadNumber(cell, 0, kMaxNumber, row.max_in_flight);
    case kMaxRetriesColumn:
      return ReadNumber(cell, 0, kMaxNumber, row.max_retries);
    case kRepeatableColumn:
      return ReadRepeatable(cell, row.repeatable);
    default:
      row.secret = cell;
      if (cell.empty()) return std::nullopt;  // The route has no secret.
      return CheckName("secret", cell);
  }
}

void TableReader::CheckWeights(const RouteRow& row) {
  if (!cell_is_valid_[kOldWeightColumn] || !cell_is_valid_[kNewWeightColumn]) return;
  const std::uint32_t sum = row.old_weight + row.new_weight;
  if (sum == kMaxWeight) return;
  AddFault(ColumnNumber(kNewWeightColumn),
           {ErrorKind::kWeightsSum, "old_weight " + std::to_string(row.old_weight) +
                                        " + new_weight " + std::to_string(row.new_weight) + " = " +
                                        std::to_string(sum) + ", must be 100"});
}

void TableReader::CheckUniqueRoute(const RouteRow& row) {
  if (!cell_is_valid_[kRouteColumn]) return;
  const auto [entry, added] = row_number_by_route_.try_emplace(row.route, row_number_);
  if (added) return;
  AddFault(ColumnNumber(kRouteColumn),
           {ErrorKind::kDuplicateRoute, "route " + Quote(row.route) + " stands in row " +
                                            std::to_string(entry->second) + " too"});
}

// Sorts the rows into canonical order and reorders their row numbers accordingly.
void TableReader::SortRows() {
  auto& rows = result_.table.rows;
  std::vector<std::size_t> order(rows.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::ranges::stable_sort(
      order, {}, [&](std::size_t index) -> const std::string& { return rows[index].route; });
  std::vector<RouteRow> sorted_rows;
  std::vector<std::uint32_t> sorted_numbers;
  sorted_rows.reserve(rows.size());
  sorted_numbers.reserve(rows.size());
  for (const std::size_t index : order) {
    sorted_rows.push_back(std::move(rows[index]));
    sorted_numbers.push_back(result_.row_numbers[index]);
  }
  rows = std::move(sorted_rows);
  result_.row_numbers = std::move(sorted_numbers);
}

}  // namespace

CsvTable ParseCsv(std::string_view text) { return TableReader().Read(text); }

}  // namespace copperlead
