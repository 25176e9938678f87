#include "snapshot/machines.h"

#include <algorithm>

#include "snapshot/document_writer.h"

namespace copperlead {

void Seal(MachineList& list) {
  std::ranges::stable_sort(list.machines, {}, &Machine::id);
  DocumentWriter writer;
  WriteMachines(writer, list.machines);
  list.version = {list.sequence, 0, ContentHashOf(writer.Take())};
}

}  // namespace copperlead
