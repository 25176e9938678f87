// Documents on the wire: whole, or as the difference to a version that the receiver has.
// The payload is cereal (portable binary) compressed by zstd. Pure.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/result.h"
#include "snapshot/bundle.h"
#include "snapshot/machines.h"
#include "snapshot/version.h"

namespace copperlead {

// Largest payload after decompression, in bytes; checked before anything is allocated.
inline constexpr std::size_t kMaxDocumentBytes = std::size_t{32} * 1024 * 1024;

// One version of one document, ready to send. Cheap to copy: the payload is shared.
struct Transfer {
  StreamKind stream = StreamKind::kConfiguration;
  DocumentVersion version;
  DocumentVersion base;  // None (zero): the payload is the whole document.
  std::shared_ptr<const std::string> payload;

  bool whole() const { return base.none(); }
};

Transfer EncodeWhole(const Bundle& bundle);
Transfer EncodeWhole(const MachineList& list);

// The difference of two versions: changed and removed rows (or machines), services and secrets.
Transfer EncodeDelta(const Bundle& base, const Bundle& target);
Transfer EncodeDelta(const MachineList& base, const MachineList& target);

// Rebuilds a document and checks that its content has the digest which `transfer.version` states.
// @param base the receiver's document of version transfer.base; ignored (may be null) when whole.
// @return the sealed document; kUnknownBase when base is null or of another version, kOversized,
//         kBadFrame for bytes that do not decode, kDigestMismatch.
Result<BundlePointer> DecodeBundle(const Transfer& transfer, const Bundle* base);
Result<MachineListPointer> DecodeMachines(const Transfer& transfer, const MachineList* base);

}  // namespace copperlead
