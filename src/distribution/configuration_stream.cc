#include "distribution/configuration_stream.h"

#include <algorithm>
#include <utility>

#include "distribution/version_order.h"
#include "table/validate.h"

namespace copperlead {
namespace {

constexpr std::size_t kMaxRememberedRefusals = 16;
constexpr std::string_view kSourceOrigin = "source";
constexpr std::string_view kPlace = "configuration";

bool SameResources(const Bundle& left, const Bundle& right) {
  return left.services == right.services && left.secrets == right.secrets;
}

// Place and cause of the first fault and the number of the others, for the operator who corrects
// the table.
std::string FirstFault(const ConfigurationDocument& document) {
  std::string text = ToString(document.faults.front());
  const std::size_t others = document.faults.size() - 1;
  if (others > 0) text += " (and " + std::to_string(others) + " more faults)";
  return text;
}

}  // namespace

bool ConfigurationStream::Wants(const DocumentVersion& version) const {
  if (!Supersedes(version, running())) return false;
  if (held_ != nullptr && !Supersedes(version, held_->version)) return false;
  if (IsNewer(ledger_.floor(), version)) return false;
  return !WasDecided(version);
}

// The ledger also decides on (and refuses) late pushes of older versions. Only versions that it has
// already decided on are not offered to it again.
bool ConfigurationStream::WasDecided(const DocumentVersion& version) const {
  if (version == running()) return true;
  if (held_ != nullptr && held_->version == version) return true;
  return std::find(refused_.begin(), refused_.end(), version) != refused_.end();
}

ReceiveResult ConfigurationStream::Receive(Timestamp now, const Transfer& transfer,
                                           const std::string& origin) {
  if (WasDecided(transfer.version)) return ReceiveResult::kNotTaken;
  const Bundle* base = transfer.is_full() ? nullptr : store_.Find(transfer.base);
  if (!transfer.is_full() && base == nullptr) {
    return Wants(transfer.version) ? ReceiveResult::kUnknownBase : ReceiveResult::kNotTaken;
  }
  const auto decoded = Resolve([&] { return decoder_.Configuration(transfer, base); });
  if (!decoded) {
    outbox_.ReportOnce(decoded.error().kind, origin, decoded.error().cause);
    return ReceiveResult::kUndecodable;
  }
  const DecodedBundle& received = decoded.value();
  const VersionVerdict verdict = OfferBundle(now, origin, received.bundle, received.faulty);
  if (verdict != VersionVerdict::kTaken) return ReceiveResult::kNotTaken;
  store_.CacheTransfer(transfer);
  return ReceiveResult::kTaken;
}

VersionVerdict ConfigurationStream::OfferBundle(Timestamp now, const std::string& origin,
                                                const BundlePointer& bundle, bool faulty,
                                                const std::string& fault) {
  Offer offer;
  offer.origin = origin;
  offer.version = bundle->version;
  offer.table_digest = bundle->table_digest;
  offer.faulty = faulty;
  offer.fault = fault;
  if (!faulty) offer.missing = FindMissingResources(*bundle);
  const VersionVerdict verdict = ledger_.Decide(now, offer);
  RecordVerdict(verdict, origin, bundle);
  if (verdict != VersionVerdict::kTaken) {
    ReportVerdict(verdict, origin, *bundle);
    return verdict;
  }
  store_.SetRunning(bundle);
  outbox_.Add(ActivateBundle{bundle});
  return verdict;
}

void ConfigurationStream::RecordVerdict(VersionVerdict verdict, const std::string& origin,
                                        const BundlePointer& bundle) {
  const bool from_peer = origin != kSourceOrigin;
  switch (verdict) {
    case VersionVerdict::kTaken:
      if (held_ != nullptr && !Supersedes(held_->version, bundle->version)) held_.reset();
      return;
    case VersionVerdict::kHeldJoining:
      if (!from_peer) return;
      held_ = bundle;
      held_origin_ = origin;
      return;
    case VersionVerdict::kRefusedOlder:
    case VersionVerdict::kRefusedConflict:
    case VersionVerdict::kRefusedFaulty:
    case VersionVerdict::kHeldIncomplete:
      if (!from_peer) return;
      refused_.push_back(bundle->version);
      if (refused_.size() > kMaxRememberedRefusals) refused_.pop_front();
      return;
    default:
      return;
  }
}

BundlePointer ConfigurationStream::BuildFromSource(const Bundle& read) {
  auto bundle = std::make_shared<Bundle>(read);
  const BundlePointer& current = store_.running();
  if (current == nullptr) return bundle;
  RetainReferencedResources(*bundle, *current);
  const bool same_table =
      read.revision == current->revision && read.table_digest == current->table_digest;
  if (same_table) {
    if (SameResources(*bundle, *current)) return current;
    bundle->resource_epoch = current->resource_epoch + 1;
  }
  Seal(*bundle);
  return bundle;
}

SourceFinding ConfigurationStream::ReceiveFromSource(
    Timestamp now, const std::shared_ptr<const ConfigurationDocument>& document,
    const DocumentVersion& running_at_read) {
  const Bundle& read = document->bundle;
  const bool overtaken = read.revision < running().major && read.revision >= running_at_read.major;
  if (overtaken) return SourceFinding::kNothingNew;
  source_document_ = document;
  if (!document->faults.empty()) {
    OfferBundle(now, std::string(kSourceOrigin), std::make_shared<Bundle>(read), true,
                FirstFault(*document));
    ReportFaults(*document);
    source_document_.reset();
    return SourceFinding::kRefused;
  }
  const BundlePointer& current = store_.running();
  const bool same_revision = current != nullptr && current->revision == read.revision;
  const bool same_table = same_revision && current->table_digest == read.table_digest;
  if (same_table && last_compared_ == read.version) return SourceFinding::kNothingNew;

  const BundlePointer bundle = BuildFromSource(read);
  if (bundle == current) {
    last_compared_ = read.version;
    source_document_.reset();
    return SourceFinding::kNothingNew;
  }
  const VersionVerdict verdict =
      OfferBundle(now, std::string(kSourceOrigin), bundle, /*faulty=*/false);
  const bool held =
      verdict == VersionVerdict::kHeldJoining || verdict == VersionVerdict::kHeldIncomplete;
  if (held) return SourceFinding::kHeld;
  source_document_.reset();
  last_compared_ = read.version;
  if (verdict == VersionVerdict::kTaken) return SourceFinding::kTaken;
  if (verdict == VersionVerdict::kRefusedConflict) return SourceFinding::kRefused;
  return SourceFinding::kBehind;
}

void ConfigurationStream::ConfirmFromSource() {
  last_compared_ = DocumentVersion{running().major, 0, running().content_hash};
  source_document_.reset();
}

SourceFinding ConfigurationStream::OfferHeldAgain(Timestamp now) {
  if (held_ != nullptr) {
    const BundlePointer bundle = std::exchange(held_, nullptr);
    OfferBundle(now, held_origin_, bundle, /*faulty=*/false);
  }
  if (source_document_ == nullptr) return SourceFinding::kNothingNew;
  // Copied because ReceiveFromSource may reset source_document_.
  const std::shared_ptr<const ConfigurationDocument> document = source_document_;
  return ReceiveFromSource(now, document, DocumentVersion{});
}

void ConfigurationStream::ReportVerdict(VersionVerdict verdict, const std::string& origin,
                                        const Bundle& bundle) {
  const std::string& explanation = ledger_.entries().back().explanation;
  const std::string place(kPlace);
  switch (verdict) {
    case VersionVerdict::kRefusedOlder:
    case VersionVerdict::kRefusedFloor:
      // Late messages from peers are normal, but a source that is rolled back is not.
      if (origin == kSourceOrigin) {
        outbox_.ReportOnce(ErrorKind::kRevisionBehind, place, explanation);
      }
      return;
    case VersionVerdict::kRefusedConflict:
      outbox_.ReportOnce(ErrorKind::kRevisionConflict, place,
                         explanation + " Its table is " + ToHex(bundle.table_digest) + ".");
      return;
    case VersionVerdict::kHeldIncomplete:
      outbox_.ReportOnce(ErrorKind::kIncomplete, place, explanation);
      return;
    case VersionVerdict::kRefusedFaulty:
      if (origin != kSourceOrigin) outbox_.ReportOnce(ErrorKind::kBadValue, place, explanation);
      return;
    default:
      return;
  }
}

void ConfigurationStream::ReportFaults(const ConfigurationDocument& document) {
  const TableFault& first = document.faults.front();
  const std::string text = "revision " + std::to_string(document.bundle.revision) +
                           " of the source is refused whole: " + FirstFault(document);
  outbox_.ReportOnce(first.kind, std::string(kPlace), text);
}

}  // namespace copperlead
