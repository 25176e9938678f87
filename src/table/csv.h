// The table as CSV (RFC 4180, header row required, columns in any order), both ways, by libcsv.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "table/table.h"

namespace copperlead {

// One fault of a table. Rows and columns count from 1; the header is row 1. Column 0: whole row;
// row 0: whole table.
struct TableFault {
  ErrorKind kind = ErrorKind::kInternal;
  std::uint32_t row = 0;
  std::uint32_t column = 0;
  std::string message;
};

// What reading a CSV text gave: the rows that could be read, and every fault found.
struct CsvTable {
  Table table;  // Canonical. Meaningful as a whole only when faults is empty.
  // CSV row number (header = 1) of each row of `table`, in the same order.
  std::vector<std::uint32_t> row_numbers;
  // CSV column number of each field, in the order of kColumnNames; 0 where missing.
  std::vector<std::uint32_t> column_numbers;
  std::vector<TableFault> faults;
};

// The columns in canonical order.
inline constexpr std::string_view kColumnNames[] = {
    "service",       "route",       "old_weight", "new_weight", "timeout_ms", "requests_per_second",
    "max_in_flight", "max_retries", "repeatable", "secret"};

// Bounds on one table.
inline constexpr std::size_t kMaxTableBytes = std::size_t{16} * 1024 * 1024;
inline constexpr std::size_t kMaxTableRows = 100'000;
inline constexpr std::size_t kMaxNameLength = 200;    // Service and secret names, in bytes.
inline constexpr std::size_t kMaxRouteLength = 1024;  // In bytes.

// Reads and checks everything that one text alone can show: form, encoding (UTF-8), columns,
// numbers and ranges, weight sums, unique routes. All faults are reported, not just the first.
// Pure. Names of services and secrets are checked by ValidateNames (validate.h).
CsvTable ParseCsv(std::string_view text);

// @return canonical CSV with header and LF line ends; ParseCsv reads it back to the same table.
std::string ToCsv(const Table& table);

}  // namespace copperlead
