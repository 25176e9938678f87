// Parsing of the response bodies of the platform's two services, without side effects. Used by
// readers and by `copperlead check`.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "snapshot/bundle.h"
#include "snapshot/machines.h"
#include "table/csv.h"

namespace copperlead {

// Largest response body accepted from the source, in bytes.
inline constexpr std::size_t kMaxSourceBodyBytes = std::size_t{32} * 1024 * 1024;

inline constexpr std::uint32_t kMaxServiceCapacity =
    1'000'000;  // Limit of slots and of connections.

// The content of a response to /v1/configuration.
struct ConfigurationDocument {
  Bundle bundle;  // Sealed, with resource_epoch 0. Complete when FindMissingResources() is empty.
  CsvTable csv;   // Row and column numbers for fault reports.
  // All faults in the table's own content. References to unknown services or secrets are not
  // included: they make the bundle incomplete but not invalid.
  std::vector<TableFault> faults;
};

// @return the document, even when its table has faults. Fails when the body as a whole is invalid:
//         kMalformedJson with the position of the first error, kOversized, or kBadValue for an
//         invalid value such as a revision that is 0 or not an integer.
Result<ConfigurationDocument> ParseConfiguration(std::string_view body);

// Parses the body of a response to /v1/machines.
// @return the sealed list; kMalformedJson or kBadValue with the position of the invalid entry; or
//         kOversized.
Result<MachineList> ParseMachines(std::string_view body);

}  // namespace copperlead
