// When each configuration took force on how many nodes of this process.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "snapshot/version.h"

namespace copperlead {

// The spread of one version over the nodes, from the first activation on.
struct VersionSpread {
  std::uint64_t revision = 0;
  std::uint32_t resource_epoch = 0;
  std::size_t nodes = 0;
  Timestamp first{};
  Duration median{};  // After `first`.
  Duration p99{};     // After `first`.
  Duration last{};    // After `first`.
};

// Thread-safe.
class ActivationLog {
 public:
  // Starts anew. Activations before the first Begin() are those of nodes that join: not kept.
  void Begin();
  void Add(const DocumentVersion& version, Timestamp when);

  // @return the versions in their order.
  std::vector<VersionSpread> Spreads() const;

 private:
  using VersionKey = std::pair<std::uint64_t, std::uint32_t>;  // Revision, resource epoch.

  mutable std::mutex mutex_;
  bool begun_ = false;                                        // Guarded by mutex_.
  std::map<VersionKey, std::vector<Timestamp>> activations_;  // Guarded by mutex_.
};

}  // namespace copperlead
