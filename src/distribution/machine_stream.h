// The platform's list of machines as one node sees it. No route depends on the order in which lists
// arrive, so there is no wait for a join: a list with a higher sequence, or with a higher content
// value at the same sequence, replaces the current one.
#pragma once

#include "distribution/document_store.h"
#include "distribution/document_stream.h"
#include "distribution/outbox.h"
#include "distribution/transfer_decoder.h"

namespace copperlead {

class MachineStream : public DocumentStream {
 public:
  MachineStream(std::size_t history_size, Outbox& outbox,
                TransferDecoder& decoder = TransferDecoder::Uncached())
      : outbox_(outbox), decoder_(decoder), store_(history_size) {}

  StreamKind kind() const override { return StreamKind::kMachines; }
  DocumentVersion running() const override { return store_.version(); }
  DocumentVersion previous() const override { return store_.previous(); }
  bool Wants(const DocumentVersion& version) const override;
  Transfer TransferFrom(const DocumentVersion& base) override { return store_.TransferFrom(base); }
  bool Holds(const DocumentVersion& version) const override {
    return store_.Find(version) != nullptr;
  }
  ReceiveResult Receive(Timestamp now, const Transfer& transfer,
                        const std::string& origin) override;

  // Handles a list that this node read from the source. @return true when it replaced the current
  // one.
  bool ReceiveFromSource(const MachineListPointer& list);

  const MachineListPointer& list() const { return store_.running(); }

 private:
  void Activate(const MachineListPointer& list);

  Outbox& outbox_;
  TransferDecoder& decoder_;
  DocumentStore<MachineList> store_;
};

}  // namespace copperlead
