// Collects the faults of a table up to a limit, so that an invalid upload cannot exhaust memory or
// flood the operator's screen.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "table/csv.h"

namespace copperlead {

// Maximum number of faults that are reported individually; further ones are only counted.
inline constexpr std::size_t kMaxTableFaults = 1'000;

// A list of faults with a limit on its length. Not thread-safe.
class FaultList {
 public:
  void Add(ErrorKind kind, std::uint32_t row, std::uint32_t column, std::string message);

  // Must be called only once, after the last Add().
  // @return the faults in the order in which they were added. When there are more than
  //         kMaxTableFaults, a last entry for the entire table (row 0) gives the number of omitted
  //         faults and has the kind of the first of them.
  std::vector<TableFault> Take();

 private:
  std::vector<TableFault> faults_;
  std::size_t omitted_count_ = 0;
  std::optional<ErrorKind> first_omitted_kind_;
};

}  // namespace copperlead
