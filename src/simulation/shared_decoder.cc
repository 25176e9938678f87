#include "simulation/shared_decoder.h"

#include <utility>

namespace copperlead::simulation {
namespace {

constexpr std::size_t kMaxKept = 256;

// @return the document of this key that is in use already, if there is one.
template <class Key, class Document>
std::shared_ptr<const Document> Share(std::map<Key, std::weak_ptr<const Document>>& shared,
                                      const Key& key, std::shared_ptr<const Document> document) {
  std::weak_ptr<const Document>& place = shared[key];
  if (auto in_use = place.lock()) return in_use;
  place = document;
  return document;
}

}  // namespace

Result<DecodedBundle> SharedDecoder::Configuration(const Transfer& transfer, const Bundle* base) {
  const TransferKey key{transfer.payload.get(), KeyOf(base ? base->version : DocumentVersion{})};
  if (const Decoded* found = Find(key)) return found->configuration;
  BOOST_LEAF_AUTO(decoded, TransferDecoder::Configuration(transfer, base));
  decoded.bundle = Share(bundles_, KeyOf(decoded.bundle->version), decoded.bundle);
  Keep(key, Decoded{transfer.payload, decoded, nullptr});
  return decoded;
}

Result<MachineListPointer> SharedDecoder::Machines(const Transfer& transfer,
                                                   const MachineList* base) {
  const TransferKey key{transfer.payload.get(), KeyOf(base ? base->version : DocumentVersion{})};
  if (const Decoded* found = Find(key)) return found->machines;
  BOOST_LEAF_AUTO(machines, TransferDecoder::Machines(transfer, base));
  machines = Share(machine_lists_, KeyOf(machines->version), machines);
  Keep(key, Decoded{transfer.payload, {}, machines});
  return machines;
}

SharedDecoder::VersionKey SharedDecoder::KeyOf(const DocumentVersion& version) {
  return {version.major, version.minor, version.content_hash};
}

const SharedDecoder::Decoded* SharedDecoder::Find(const TransferKey& key) const {
  const auto found = by_transfer_.find(key);
  return found == by_transfer_.end() ? nullptr : &found->second;
}

void SharedDecoder::Keep(const TransferKey& key, Decoded decoded) {
  ++decoded_;
  by_transfer_.emplace(key, std::move(decoded));
  kept_.push_back(key);
  if (kept_.size() <= kMaxKept) return;
  by_transfer_.erase(kept_.front());
  kept_.pop_front();
}

}  // namespace copperlead::simulation
