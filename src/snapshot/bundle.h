// The complete bundle: a table together with the services and secrets that it names. It is the
// unit of distribution and of activation: a proxy holds one whole bundle or the previous one.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "snapshot/version.h"
#include "table/table.h"

namespace copperlead {

// Settings of a service, the same for all its instances.
struct ServiceSettings {
  std::uint32_t slots_per_instance = 0;        // Requests one instance works on at a time.
  std::uint32_t connections_per_instance = 0;  // Connections one instance accepts from the fleet.

  bool operator==(const ServiceSettings&) const = default;
};

// Immutable once shared.
struct Bundle {
  std::uint64_t revision = 0;        // The source's; 0 is no valid revision.
  std::uint32_t resource_epoch = 0;  // Rises when services or secrets change under one revision.
  Table table;                       // Canonical.
  std::map<std::string, ServiceSettings> services;
  std::map<std::string, std::string> secrets;  // Name to value, decoded. Never logged or shown.
  Digest table_digest{};                       // SHA-256 of the canonical table.
  DocumentVersion version;                     // Filled in by Seal().
};

using BundlePointer = std::shared_ptr<const Bundle>;

// Canonicalizes the table and fills in table_digest and version from the content.
void Seal(Bundle& bundle);

// @return the names of services and secrets that the table uses and the bundle lacks, as text
//         "service permit-desk"; empty when the bundle is complete.
std::vector<std::string> MissingNames(const Bundle& bundle);

// Adds to `bundle` (not yet sealed) what its table names, it lacks, and `running` still has:
// resources that vanish at the source are kept while a running table names them.
void KeepNamedResources(Bundle& bundle, const Bundle& running);

}  // namespace copperlead
