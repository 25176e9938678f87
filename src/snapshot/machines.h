// The platform's list of machines. The list lags behind the actual state, so what the nodes observe
// themselves takes precedence over it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/address.h"
#include "snapshot/version.h"

namespace copperlead {

enum class MachineKind : std::uint8_t { kNode, kBackend };
enum class Site : std::uint8_t { kOld, kNew };
enum class MachineState : std::uint8_t { kLive, kLeaving };

struct Machine {
  std::string id;
  MachineKind kind = MachineKind::kBackend;
  std::string service;  // Set for back ends only.
  Site site = Site::kOld;
  std::string zone;
  SocketAddress address;  // Peer address of a node; HTTP address of a back end.
  MachineState state = MachineState::kLive;

  bool operator==(const Machine&) const = default;
};

// Maximum number of items of one kind (machines, services, secrets, removed names) in a document.
inline constexpr std::size_t kMaxDocumentItems = 100'000;

// A list of machines, sorted by id, which is immutable once it is shared.
struct MachineList {
  std::uint64_t sequence = 0;
  std::vector<Machine> machines;
  DocumentVersion version;  // Set by Seal().
};

using MachineListPointer = std::shared_ptr<const MachineList>;

// Sorts the machines by id and sets the version from the content.
void Seal(MachineList& list);

}  // namespace copperlead
