// A decoder for all agents of one simulation: each transfer is decoded and checked once, and each
// version of a document is held in memory once.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <tuple>

#include "distribution/transfer_decoder.h"

namespace copperlead::simulation {

// Not thread-safe.
class SharedDecoder : public TransferDecoder {
 public:
  Result<DecodedBundle> Configuration(const Transfer& transfer, const Bundle* base) override;
  Result<MachineListPointer> Machines(const Transfer& transfer, const MachineList* base) override;

  std::size_t decoded() const { return decoded_; }

 private:
  using VersionKey = std::tuple<std::uint64_t, std::uint32_t, std::uint64_t>;
  // The very same bytes on the same base give the same document.
  using TransferKey = std::tuple<const std::string*, VersionKey>;

  struct Decoded {
    std::shared_ptr<const std::string> payload;  // Keeps the address in the key from being reused.
    DecodedBundle configuration;
    MachineListPointer machines;
  };

  static VersionKey KeyOf(const DocumentVersion& version);
  const Decoded* Find(const TransferKey& key) const;
  void Keep(const TransferKey& key, Decoded decoded);

  std::map<TransferKey, Decoded> by_transfer_;
  std::deque<TransferKey> kept_;  // Oldest first.
  std::map<VersionKey, std::weak_ptr<const Bundle>> bundles_;
  std::map<VersionKey, std::weak_ptr<const MachineList>> machine_lists_;
  std::size_t decoded_ = 0;
};

}  // namespace copperlead::simulation
