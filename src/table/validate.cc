#include "table/validate.h"

#include <algorithm>
#include <numeric>

#include "table/cell.h"
#include "table/fault_list.h"
#include "table/row_cells.h"

namespace copperlead {

std::vector<TableFault> FindUnknownNames(const CsvTable& csv, const std::set<std::string>& services,
                                         const std::set<std::string>& secrets) {
  std::vector<std::size_t> order(csv.table.rows.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::ranges::sort(order, {}, [&](std::size_t index) { return csv.row_numbers[index]; });
  FaultList faults;
  for (const std::size_t index : order) {
    const RouteRow& row = csv.table.rows[index];
    const std::uint32_t number = csv.row_numbers[index];
    if (!row.service.empty() && !services.contains(row.service)) {
      faults.Add(ErrorKind::kUnknownService, number, csv.column_numbers[kServiceColumn],
                 "service " + Quote(row.service) + " is not in services");
    }
    if (!row.secret.empty() && !secrets.contains(row.secret)) {
      faults.Add(ErrorKind::kUnknownSecret, number, csv.column_numbers[kSecretColumn],
                 "secret " + Quote(row.secret) + " is not in secrets");
    }
  }
  return faults.Take();
}

std::string ToString(const TableFault& fault) {
  std::string place;
  if (fault.row == 0) {
    place = "table";
  } else {
    place = "row " + std::to_string(fault.row);
    if (fault.column != 0) place += ", column " + std::to_string(fault.column);
  }
  return place + ": " + std::string(Name(fault.kind)) + ": " + fault.message;
}

}  // namespace copperlead
