// Encoding of documents for transfer, either in full or as a delta from a version that the receiver
// has. The payload is a cereal portable binary archive, compressed with zstd. No function here has
// side effects.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/result.h"
#include "snapshot/bundle.h"
#include "snapshot/machines.h"
#include "snapshot/version.h"

namespace copperlead {

// Largest permitted payload after decompression, in bytes. Checked before memory is allocated.
inline constexpr std::size_t kMaxDocumentBytes = std::size_t{32} * 1024 * 1024;

// An encoded version of a document. Copies are cheap because they share the payload.
struct Transfer {
  StreamKind stream = StreamKind::kConfiguration;
  DocumentVersion version;
  DocumentVersion base;  // None (zero) when the payload is the full document.
  std::shared_ptr<const std::string> payload;

  bool is_full() const { return base.none(); }
};

Transfer EncodeFull(const Bundle& bundle);
Transfer EncodeFull(const MachineList& list);

// Encodes the delta between two versions: changed and removed rows, services and secrets, or
// changed and removed machines.
Transfer EncodeDelta(const Bundle& base, const Bundle& target);
Transfer EncodeDelta(const MachineList& base, const MachineList& target);

// Reconstructs a document and checks that its content hash matches `transfer.version`.
// @param base the receiver's document of version transfer.base; ignored, and may be null, when the
//        transfer holds the full document.
// @return the sealed document; kUnknownBase when a delta's `base` is null or has another version;
//         kOversized; kBadFrame when the payload cannot be decoded or the transfer holds the other
//         kind of document; kDigestMismatch when the content differs from the stated version.
Result<BundlePointer> DecodeBundle(const Transfer& transfer, const Bundle* base);
Result<MachineListPointer> DecodeMachines(const Transfer& transfer, const MachineList* base);

}  // namespace copperlead
