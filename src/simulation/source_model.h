// The simulated configuration service: versions, ETags, and every way in which it may fail.
// Counts how often it is read.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "distribution/event.h"
#include "simulation/documents.h"
#include "simulation/random.h"
#include "simulation/topology.h"

namespace copperlead::simulation {

// What the source answers to one read, and how long it takes over it.
struct SourceReading {
  SourceAnswered answer;
  Duration service_time{};
  std::size_t answer_bytes = 0;  // Head and body, without TCP/IP.
};

// What reading the source cost it.
struct SourceLoad {
  std::uint64_t reads = 0;
  std::size_t peak_per_second = 0;  // Most reads in any window of one second.
};

// Not thread-safe.
class SourceModel {
 public:
  SourceModel(const Topology& topology, std::uint64_t seed);

  // Serves this version from now on; the ones before are remembered.
  void Publish(const PublishedConfiguration& configuration);
  void Publish(const PublishedMachines& machines);
  // Registers content that some readers get instead of the latest version. Zones with an odd
  // index read it until EndConflict.
  void BeginConflict(const PublishedConfiguration& other);
  void EndConflict() { conflicting_.reset(); }
  // Serves the version that was published this many versions before the latest.
  void GoBack(std::size_t versions) { versions_back_ = versions; }
  void SetOutage(bool outage) { outage_ = outage; }
  void SetExtraServiceTime(Duration time) { extra_service_time_ = time; }

  // One conditional read by `node`.
  SourceReading Read(Timestamp now, NodeIndex node, const FetchFromSource& request);

  bool WasPublished(std::uint64_t revision, const Digest& table_digest) const;
  // Whether that table was published without a fault (names may be missing).
  bool WasFaultless(std::uint64_t revision, const Digest& table_digest) const;
  // The highest acceptable revision published so far; 0 before the first.
  std::uint64_t newest_acceptable() const { return newest_acceptable_; }
  // The highest sequence of the machine list published so far.
  std::uint64_t newest_machines() const { return machines_.list ? machines_.list->sequence : 0; }

  bool outage() const { return outage_; }
  const SourceLoad& load() const { return load_; }
  // Reads within the second before the last read.
  std::size_t reads_in_last_second() const { return last_second_.size(); }
  // Starts a new count of the load.
  void ResetLoad();

 private:
  struct TableRecord {
    Digest digest;
    bool faultless;
  };

  void Register(const PublishedConfiguration& configuration);
  void CountRead(Timestamp now);
  const PublishedConfiguration& ConfigurationFor(NodeIndex node) const;
  SourceReading Fail(StreamKind stream);

  const Topology& topology_;
  Random random_;
  std::vector<PublishedConfiguration> configurations_;
  PublishedMachines machines_;
  std::optional<PublishedConfiguration> conflicting_;
  std::size_t versions_back_ = 0;
  bool outage_ = false;
  Duration extra_service_time_{};
  std::map<std::uint64_t, std::vector<TableRecord>> tables_;  // By revision.
  std::uint64_t newest_acceptable_ = 0;
  SourceLoad load_;
  std::deque<Timestamp> last_second_;  // Times of the reads within the last second.
};

}  // namespace copperlead::simulation
