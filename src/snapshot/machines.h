// The platform's list of machines. It lags: evidence of the system's own goes before it.
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
  std::string service;  // Back ends only.
  Site site = Site::kOld;
  std::string zone;
  SocketAddress address;  // A node's peer address; a back end's HTTP address.
  MachineState state = MachineState::kLive;

  bool operator==(const Machine&) const = default;
};

// Most items of one kind in a document: machines, services, secrets, removed names.
inline constexpr std::size_t kMaxDocumentItems = 100'000;

// Immutable once shared. Machines are sorted by id.
struct MachineList {
  std::uint64_t sequence = 0;
  std::vector<Machine> machines;
  DocumentVersion version;  // Filled in by Seal().
};

using MachineListPointer = std::shared_ptr<const MachineList>;

// Sorts the machines and fills in version from the content.
void Seal(MachineList& list);

}  // namespace copperlead
