// Parsing and formatting of the table as CSV with libcsv (RFC 4180; the header row is required, and
// columns may be in any order).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "table/table.h"

namespace copperlead {

// An error in a table. Rows and columns are counted from 1, and the header is row 1. Column 0
// stands for the entire row, row 0 for the entire table.
struct TableFault {
  ErrorKind kind = ErrorKind::kInternal;
  std::uint32_t row = 0;
  std::uint32_t column = 0;
  std::string message;
};

// The result of parsing a CSV text: the rows that could be parsed, and the faults found.
struct CsvTable {
  Table table;  // In canonical order. Valid as a table only when `faults` is empty.
  // CSV row number of each row of `table`, in the same order. The header is row 1.
  std::vector<std::uint32_t> row_numbers;
  // CSV column number of each field, in the order of kColumnNames; 0 for a missing column.
  std::vector<std::uint32_t> column_numbers;
  std::vector<TableFault> faults;
};

// Column names in canonical order.
inline constexpr std::string_view kColumnNames[] = {
    "service",       "route",       "old_weight", "new_weight", "timeout_ms", "requests_per_second",
    "max_in_flight", "max_retries", "repeatable", "secret"};

// Limits on the size of a table.
inline constexpr std::size_t kMaxTableBytes = std::size_t{16} * 1024 * 1024;
inline constexpr std::size_t kMaxTableRows = 100'000;
inline constexpr std::size_t kMaxNameLength = 200;    // For service and secret names, in bytes.
inline constexpr std::size_t kMaxRouteLength = 1024;  // In bytes.

// Parses a table and performs all checks that need no other data: CSV syntax, UTF-8 encoding,
// columns, numbers and their ranges, weight sums and unique routes. Reports not just the first
// fault but up to kMaxTableFaults (fault_list.h), and the number of the others. Has no side
// effects. FindUnknownNames (validate.h) checks the names of services and secrets.
CsvTable ParseCsv(std::string_view text);

// @return canonical CSV with a header and LF line ends, which ParseCsv parses back to an
//         equal table.
std::string ToCsv(const Table& table);

}  // namespace copperlead
