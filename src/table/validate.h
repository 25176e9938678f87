// Validation of a table against the services and secrets that accompany it, without side effects.
// The same code runs in `copperlead check`, in the reader and in every node.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "table/csv.h"

namespace copperlead {

// @return a fault of kind kUnknownService or kUnknownSecret, with its row and column, for each
//         reference to a service or secret that does not exist; limited like the faults of
//         ParseCsv.
std::vector<TableFault> FindUnknownNames(const CsvTable& csv, const std::set<std::string>& services,
                                         const std::set<std::string>& secrets);

// @return a text such as
//         "row 3, column 4: weights_sum: old_weight 60 + new_weight 50 = 110, must be 100".
std::string ToString(const TableFault& fault);

}  // namespace copperlead
