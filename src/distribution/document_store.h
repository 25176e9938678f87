// The versions of one document that this node holds in memory, and the encoded transfers of the
// running one.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <tuple>
#include <utility>

#include "snapshot/transfer.h"

namespace copperlead {

// @tparam Document Bundle or MachineList. Not thread-safe.
template <class Document>
class DocumentStore {
 public:
  using Pointer = std::shared_ptr<const Document>;

  // @param history_size number of versions kept, including the running one; raised to 1 if it is 0.
  explicit DocumentStore(std::size_t history_size)
      : history_size_(std::max<std::size_t>(history_size, 1)) {}

  const Pointer& running() const { return running_; }
  // Versions held, oldest first. The running one is last.
  const std::deque<Pointer>& history() const { return history_; }
  DocumentVersion version() const { return running_ ? running_->version : DocumentVersion{}; }
  // Version that ran before the current one; none at first.
  DocumentVersion previous() const {
    return history_.size() < 2 ? DocumentVersion{} : history_[history_.size() - 2]->version;
  }

  // Makes a document the running one. Drops the cached transfers, which encode the previous one.
  void SetRunning(Pointer document) {
    running_ = document;
    history_.push_back(std::move(document));
    if (history_.size() > history_size_) history_.pop_front();
    transfers_.clear();
  }

  // @return the held document of this version, or null.
  const Document* Find(const DocumentVersion& version) const {
    for (const Pointer& document : history_) {
      if (document->version == version) return document.get();
    }
    return nullptr;
  }

  // Caches a received and verified transfer, so that the same bytes are forwarded.
  void CacheTransfer(const Transfer& transfer) {
    if (transfer.version == version()) transfers_.emplace(KeyOf(transfer.base), transfer);
  }

  // @param base version that the receiver has.
  // @return the running document as a delta to `base` if this node holds `base`, else whole. Only
  //         valid while a document runs.
  Transfer TransferFrom(const DocumentVersion& base) {
    const Document* base_document = base.none() ? nullptr : Find(base);
    const DocumentVersion key = base_document == nullptr ? DocumentVersion{} : base;
    const auto cached = transfers_.find(KeyOf(key));
    if (cached != transfers_.end()) return cached->second;
    Transfer transfer =
        base_document == nullptr ? EncodeFull(*running_) : EncodeDelta(*base_document, *running_);
    transfers_.emplace(KeyOf(key), transfer);
    return transfer;
  }

 private:
  using Key = std::tuple<std::uint64_t, std::uint32_t, std::uint64_t>;
  static Key KeyOf(const DocumentVersion& version) {
    return {version.major, version.minor, version.content_hash};
  }

  std::size_t history_size_;
  Pointer running_;
  std::deque<Pointer> history_;
  std::map<Key, Transfer> transfers_;  // Transfers of the running version, by base.
};

}  // namespace copperlead
