// The configuration as one node sees it. Documents from the source and from peers are checked here,
// offered to the ledger, and activated, held or refused by its verdict.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "distribution/document_store.h"
#include "distribution/document_stream.h"
#include "distribution/outbox.h"
#include "distribution/transfer_decoder.h"
#include "distribution/version_ledger.h"
#include "snapshot/source_documents.h"

namespace copperlead {

// Outcome of a document that was read from the source.
enum class SourceFinding {
  kNothingNew,  // It is the running one or was considered before.
  kTaken,       // It runs now, and this node must push it to its peers.
  kHeld,        // It is held until a resource appears or the join ends.
  kRefused,     // It is faulty or conflicts with the running one.
  kBehind,      // It is lower than the running version or the floor.
};

class ConfigurationStream : public DocumentStream {
 public:
  ConfigurationStream(const LedgerFaults& faults, std::size_t history_size, Outbox& outbox,
                      TransferDecoder& decoder = TransferDecoder::Uncached())
      : outbox_(outbox), decoder_(decoder), ledger_(faults), store_(history_size) {}

  StreamKind kind() const override { return StreamKind::kConfiguration; }
  DocumentVersion running() const override { return store_.version(); }
  DocumentVersion previous() const override { return store_.previous(); }
  bool Wants(const DocumentVersion& version) const override;
  Transfer TransferFrom(const DocumentVersion& base) override { return store_.TransferFrom(base); }
  bool Holds(const DocumentVersion& version) const override {
    return store_.Find(version) != nullptr;
  }
  ReceiveResult Receive(Timestamp now, const Transfer& transfer,
                        const std::string& origin) override;

  // Handles a document that this node read from the source.
  // @param running_at_read version that ran when the read was sent. An answer that a newer version
  //        from a peer overtook in the meantime does not mean that the source was rolled back.
  SourceFinding ReceiveFromSource(Timestamp now,
                                  const std::shared_ptr<const ConfigurationDocument>& document,
                                  const DocumentVersion& running_at_read);

  // Call when the source turned out to serve the document of the running version. Leaves the state
  // as if that document had been read: nothing from the source is held or offered again.
  void ConfirmFromSource();

  // Offers again what was held during the join. Call after the ledger's joining has ended.
  // @return kTaken when the source's document runs now, so that this node must push it.
  SourceFinding OfferHeldAgain(Timestamp now);

  VersionLedger& ledger() { return ledger_; }
  const VersionLedger& ledger() const { return ledger_; }
  const DocumentStore<Bundle>& store() const { return store_; }

 private:
  bool WasDecided(const DocumentVersion& version) const;
  VersionVerdict OfferBundle(Timestamp now, const std::string& origin, const BundlePointer& bundle,
                             bool faulty, const std::string& fault = {});
  void RecordVerdict(VersionVerdict verdict, const std::string& origin,
                     const BundlePointer& bundle);
  BundlePointer BuildFromSource(const Bundle& read);
  void ReportVerdict(VersionVerdict verdict, const std::string& origin, const Bundle& bundle);
  void ReportFaults(const ConfigurationDocument& document);

  Outbox& outbox_;
  TransferDecoder& decoder_;
  VersionLedger ledger_;
  DocumentStore<Bundle> store_;
  BundlePointer held_;  // Bundle from a peer, until the join ends.
  std::string held_origin_;
  std::deque<DocumentVersion> refused_;  // Versions not pulled again; oldest first.
  // Document that was read from the source and does not run yet, kept to be offered again.
  std::shared_ptr<const ConfigurationDocument> source_document_;
  // Version of the source's document whose resources were last compared with the running ones. Only
  // a change that this node sees itself raises the resource epoch.
  std::optional<DocumentVersion> last_compared_;
};

}  // namespace copperlead
