// The documents that the simulated source publishes: a table of 85 services with ten routes each,
// and a list of machines. Each version is parsed once and shared by all that read it.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "simulation/random.h"
#include "simulation/topology.h"
#include "snapshot/source_documents.h"

namespace copperlead::simulation {

// One version of the configuration, as the source serves it.
struct PublishedConfiguration {
  std::shared_ptr<const ConfigurationDocument> document;
  std::string etag;
  std::size_t body_bytes = 0;
  bool acceptable = false;  // Its table has no fault and every name in it resolves.

  std::uint64_t revision() const { return document->bundle.revision; }
};

struct PublishedMachines {
  MachineListPointer list;
  std::string etag;
  std::size_t body_bytes = 0;
};

// Makes successive versions. Not thread-safe.
class DocumentFactory {
 public:
  DocumentFactory(const Topology& topology, std::size_t services, std::uint64_t seed);

  // The first version, or the next one with one weight changed.
  PublishedConfiguration NextEdit();
  // The next revision with a row whose weights do not sum to 100.
  PublishedConfiguration NextBadTable();
  // The next revision, one row of which names a secret that the source does not have.
  PublishedConfiguration NextIncompleteTable();
  // The latest revision again, now with every secret that its table names.
  PublishedConfiguration CompleteLatest();
  // The latest revision again with another table.
  PublishedConfiguration ConflictWithLatest();

  // The first list, or the same machines under the next sequence.
  PublishedMachines NextMachines();
  // The next list, in which one back end is leaving.
  PublishedMachines NextMachinesLeaving(std::size_t backend);
  // The next list, in which that back end is live again under another port.
  PublishedMachines NextMachinesReturned(std::size_t backend);
  std::size_t backend_count() const { return backends_; }

 private:
  void EditOneCell(Table& table);
  PublishedConfiguration Publish(const Table& table) const;

  Random random_;
  Table table_;
  std::uint64_t revision_ = 0;
  std::map<std::string, ServiceSettings> services_;
  std::map<std::string, std::string> secrets_;  // Name to base64 text.
  std::size_t backends_;
  MachineList machines_;
};

}  // namespace copperlead::simulation
