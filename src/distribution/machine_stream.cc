#include "distribution/machine_stream.h"

#include "distribution/version_order.h"

namespace copperlead {

bool MachineStream::Wants(const DocumentVersion& version) const {
  return Supersedes(version, running());
}

Receipt MachineStream::Receive(Timestamp /*now*/, const Transfer& transfer,
                               const std::string& origin) {
  if (!Wants(transfer.version)) return Receipt::kNotTaken;
  const MachineList* base = transfer.whole() ? nullptr : store_.Find(transfer.base);
  if (!transfer.whole() && base == nullptr) return Receipt::kUnknownBase;
  const auto decoded = Resolve([&] { return decoder_.Machines(transfer, base); });
  if (!decoded) {
    outbox_.ReportOnce(decoded.error().kind, origin, decoded.error().cause);
    return Receipt::kUnreadable;
  }
  Run(decoded.value());
  store_.Remember(transfer);
  return Receipt::kTaken;
}

bool MachineStream::ReceiveFromSource(const MachineListPointer& list) {
  if (list == nullptr) return false;
  if (!Wants(list->version)) {
    if (IsNewer(running(), list->version)) {
      outbox_.ReportOnce(ErrorKind::kRevisionBehind, "machines",
                         "the source shows sequence " + ToString(list->version) +
                             ", lower than sequence " + ToString(running()) +
                             " in use; it is ignored until it rises above that");
    }
    return false;
  }
  Run(list);
  return true;
}

void MachineStream::Run(const MachineListPointer& list) {
  store_.Run(list);
  outbox_.Add(ActivateMachines{list});
}

}  // namespace copperlead
