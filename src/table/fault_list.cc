#include "table/fault_list.h"

#include <utility>

namespace copperlead {

void FaultList::Add(ErrorKind kind, std::uint32_t row, std::uint32_t column, std::string message) {
  if (faults_.size() < kMaxTableFaults) {
    faults_.push_back({kind, row, column, std::move(message)});
    return;
  }
  if (!first_omitted_kind_) first_omitted_kind_ = kind;
  ++omitted_count_;
}

std::vector<TableFault> FaultList::Take() {
  if (first_omitted_kind_) {
    faults_.push_back(
        {*first_omitted_kind_, 0, 0,
         std::to_string(omitted_count_) + " more faults are not shown; mend these first"});
  }
  return std::move(faults_);
}

}  // namespace copperlead
