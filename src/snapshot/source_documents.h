// Reads the bodies of the platform's two services. Pure; used by readers and `copperlead check`.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "snapshot/bundle.h"
#include "snapshot/machines.h"
#include "table/csv.h"

namespace copperlead {

// Largest body taken from the source, in bytes.
inline constexpr std::size_t kMaxSourceBody = std::size_t{32} * 1024 * 1024;

inline constexpr std::uint32_t kMaxServiceCapacity = 1'000'000;  // Slots or connections.

// What /v1/configuration held.
struct ConfigurationDocument {
  Bundle bundle;  // Sealed, resource_epoch 0. Complete only when MissingNames() is empty.
  CsvTable csv;   // For the place of each fault.
  // Faults of the table's own content, all of them. Unknown names are not among them: they make
  // the bundle incomplete, not bad.
  std::vector<TableFault> faults;
};

// @return the document, also when its table has faults; an Error (kMalformedJson with the place of
//         the first fault, kOversized, kBadValue for a revision that is 0 or not a whole number)
//         when the body cannot be read at all.
Result<ConfigurationDocument> ParseConfiguration(std::string_view body);

// What /v1/machines held. @return the sealed list; kMalformedJson or kBadValue naming the entry.
Result<MachineList> ParseMachines(std::string_view body);

}  // namespace copperlead
