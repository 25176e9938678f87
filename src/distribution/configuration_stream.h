// The configuration as one node sees it: what the source and peers offer is checked here, judged
// by the ledger, and run or kept for later.
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

// What the source's document came to.
enum class SourceFinding {
  kNothingNew,  // It is what runs, or was looked at before.
  kTaken,       // It runs now: this node must spread it.
  kHeld,        // It waits for a resource or for the end of the join.
  kRefused,     // Faulty, or in conflict with what runs.
  kBehind,      // Its revision is lower than the one that runs or the floor.
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

  // Takes what this node itself read from the source.
  // @param running_when_asked what ran when the source was asked: an answer that was overtaken by
  //        a peer's newer version on its way is no sign of a source that went back.
  SourceFinding ReceiveFromSource(Timestamp now,
                                  const std::shared_ptr<const ConfigurationDocument>& document,
                                  const DocumentVersion& running_when_asked);

  // The source was found to serve the document of the version that runs: leaves all as if it had
  // been read, with nothing held or to be judged again.
  void ConfirmFromSource();

  // Judges again what was held while joining. Call after the ledger's joining ended.
  // @return kTaken when the source's document runs now, so that this node must spread it.
  SourceFinding OfferHeld(Timestamp now);

  VersionLedger& ledger() { return ledger_; }
  const VersionLedger& ledger() const { return ledger_; }
  const DocumentStore<Bundle>& store() const { return store_; }

 private:
  bool WasJudged(const DocumentVersion& version) const;
  VersionVerdict OfferBundle(Timestamp now, const std::string& origin, const BundlePointer& bundle,
                             bool faulty, const std::string& fault = {});
  void Remember(VersionVerdict verdict, const std::string& origin, const BundlePointer& bundle);
  BundlePointer BuildFromSource(const Bundle& read);
  void ReportVerdict(VersionVerdict verdict, const std::string& origin, const Bundle& bundle);
  void ReportFaults(const ConfigurationDocument& document);

  Outbox& outbox_;
  TransferDecoder& decoder_;
  VersionLedger ledger_;
  DocumentStore<Bundle> store_;
  BundlePointer held_;  // From a peer, until the join ends.
  std::string held_origin_;
  std::deque<DocumentVersion> refused_;  // Not asked for again; oldest first.
  // Read from the source and not yet run, kept to be judged again.
  std::shared_ptr<const ConfigurationDocument> source_document_;
  // Content of the source's document when its resources were last compared with the running ones:
  // only a change of this node's own view raises the resource epoch.
  std::optional<DocumentVersion> compared_;
};

}  // namespace copperlead
