// Decodes transfers from peers into checked documents.
//
// A daemon decodes each transfer itself. The simulator gives all its agents one decoder that
// decodes each version once and shares the immutable result.
#pragma once

#include <string>

#include "snapshot/transfer.h"

namespace copperlead {

// A configuration rebuilt from a transfer, its digest checked.
struct DecodedBundle {
  BundlePointer bundle;
  bool faulty = false;  // The table fails the checks that a reader applies.
};

// Used by one agent at a time.
class TransferDecoder {
 public:
  virtual ~TransferDecoder() = default;

  // The errors are those of DecodeBundle and DecodeMachines in snapshot/transfer.h.
  virtual Result<DecodedBundle> Configuration(const Transfer& transfer, const Bundle* base);
  virtual Result<MachineListPointer> Machines(const Transfer& transfer, const MachineList* base);

  // The decoder without a cache; usable from any thread.
  static TransferDecoder& Uncached();
};

}  // namespace copperlead
