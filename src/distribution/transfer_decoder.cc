#include "distribution/transfer_decoder.h"

#include "table/csv.h"

namespace copperlead {
namespace {

// Applies the checks that a reader applies to a table that a peer sent.
bool HasFaults(const Table& table) { return !ParseCsv(ToCsv(table)).faults.empty(); }

}  // namespace

Result<DecodedBundle> TransferDecoder::Configuration(const Transfer& transfer, const Bundle* base) {
  BOOST_LEAF_AUTO(bundle, DecodeBundle(transfer, base));
  const bool faulty = HasFaults(bundle->table);
  return DecodedBundle{std::move(bundle), faulty};
}

Result<MachineListPointer> TransferDecoder::Machines(const Transfer& transfer,
                                                     const MachineList* base) {
  return DecodeMachines(transfer, base);
}

TransferDecoder& TransferDecoder::Uncached() {
  static TransferDecoder decoder;
  return decoder;
}

}  // namespace copperlead
