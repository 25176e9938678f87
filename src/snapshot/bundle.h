// The configuration bundle: a routing table with the services and secrets that it references. A
// bundle is distributed and activated as a unit: a proxy runs either the new or the previous one.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "snapshot/version.h"
#include "table/table.h"

namespace copperlead {

// Settings of a service, which apply to each of its instances.
struct ServiceSettings {
  std::uint32_t slots_per_instance = 0;        // Maximum concurrent requests per instance.
  std::uint32_t connections_per_instance = 0;  // Maximum connections per instance, from all nodes.

  bool operator==(const ServiceSettings&) const = default;
};

// A bundle, which is immutable once it is shared.
struct Bundle {
  std::uint64_t revision = 0;        // The source's revision number; 0 is not valid.
  std::uint32_t resource_epoch = 0;  // Increases when services or secrets change within a revision.
  Table table;                       // In canonical order.
  std::map<std::string, ServiceSettings> services;
  std::map<std::string, std::string> secrets;  // Decoded values by name; never logged or shown.
  Digest table_digest{};                       // SHA-256 of the canonical table.
  DocumentVersion version;                     // Set by Seal().
};

using BundlePointer = std::shared_ptr<const Bundle>;

// Sorts the table into canonical order and sets table_digest and version from the content.
void Seal(Bundle& bundle);

// @return the services and secrets that the table references and the bundle lacks, each as a text
//         such as "service permit-desk"; empty when the bundle is complete.
std::vector<std::string> FindMissingResources(const Bundle& bundle);

// Copies services and secrets that the table of `bundle` references and `bundle` lacks from
// `running`, as far as `running` has them. Resources that are removed at the source are thereby
// kept while a table in use references them. Must be called before Seal().
void RetainReferencedResources(Bundle& bundle, const Bundle& running);

}  // namespace copperlead
