// Checks of a table against the services and secrets that come with it. Pure; the same code runs
// in `copperlead check`, in the reader and in every node.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "table/csv.h"

namespace copperlead {

// Every row that names a service or secret which is not there, with its row and column.
// kUnknownService or kUnknownSecret.
std::vector<TableFault> FindUnknownNames(const CsvTable& csv, const std::set<std::string>& services,
                                         const std::set<std::string>& secrets);

// @return "row 3, column 4: weights_sum: old_weight 60 + new_weight 50 = 110, must be 100".
std::string ToString(const TableFault& fault);

}  // namespace copperlead
