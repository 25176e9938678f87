// Collects the faults of one table, bounded, so that a broken upload cannot fill memory or a
// screen.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "table/csv.h"

namespace copperlead {

// Faults reported in full; the others are only counted.
inline constexpr std::size_t kMaxTableFaults = 1'000;

// Not thread-safe.
class FaultList {
 public:
  void Add(ErrorKind kind, std::uint32_t row, std::uint32_t column, std::string message);

  // @return the faults in the order added; when there were more than kMaxTableFaults, a last entry
  //         for the whole table (row 0), of the kind of the first one left out, tells their number.
  //         Call once.
  std::vector<TableFault> Take();

 private:
  std::vector<TableFault> faults_;
  std::size_t left_out_ = 0;
  std::optional<ErrorKind> first_kind_left_out_;
};

}  // namespace copperlead
