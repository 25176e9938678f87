// Turns transfers that peers sent into checked documents.
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
  bool faulty = false;  // The table does not pass the checks that the reader makes.
};

// Used by one agent at a time.
class TransferDecoder {
 public:
  virtual ~TransferDecoder() = default;

  // Errors as DecodeBundle and DecodeMachines of snapshot/transfer.h.
  virtual Result<DecodedBundle> Configuration(const Transfer& transfer, const Bundle* base);
  virtual Result<MachineListPointer> Machines(const Transfer& transfer, const MachineList* base);

  // The decoder that keeps nothing; any thread.
  static TransferDecoder& Plain();
};

}  // namespace copperlead
