#include "distribution/machine_stream.h"

#include "distribution/version_order.h"

namespace copperlead {

bool MachineStream::Wants(const DocumentVersion& version) const {
  return Supersedes(version, running());
}

ReceiveResult MachineStream::Receive(Timestamp /*now*/, const Transfer& transfer,
                                     const std::string& origin) {
  if (!Wants(transfer.version)) return ReceiveResult::kNotTaken;
  const MachineList* base = transfer.is_full() ? nullptr : store_.Find(transfer.base);
  if (!transfer.is_full() && base == nullptr) return ReceiveResult::kUnknownBase;
  const auto decoded = Resolve([&] { return decoder_.Machines(transfer, base); });
  if (!decoded) {
    outbox_.ReportOnce(decoded.error().kind, origin, decoded.error().cause);
    return ReceiveResult::kUndecodable;
  }
  Activate(decoded.value());
  store_.CacheTransfer(transfer);
  return ReceiveResult::kTaken;
}

bool MachineStream::ReceiveFromSource(const MachineListPointer& list) {
  if (list == nullptr) return false;
  if (!Wants(list->version)) {
    if (IsNewer(running(), list->version)) {
      outbox_.ReportOnce(ErrorKind::kRevisionBehind, "machines",
                         "the source serves sequence " + ToString(list->version) +
                             ", lower than sequence " + ToString(running()) +
                             " in use; the list is ignored until its sequence is higher");
    }
    return false;
  }
  Activate(list);
  return true;
}

void MachineStream::Activate(const MachineListPointer& list) {
  store_.SetRunning(list);
  outbox_.Add(ActivateMachines{list});
}

}  // namespace copperlead
