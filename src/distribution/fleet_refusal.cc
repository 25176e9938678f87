#include "distribution/fleet_refusal.h"

namespace copperlead {

bool FleetRefusal::IsSuperseded(const DocumentVersion& refused) const {
  return IsNewer(running_, refused) || running_ == refused;
}

void FleetRefusal::Record(const RefusedVersion& refusal) {
  if (IsSuperseded(refusal.version)) return;
  if (!known_ || IsNewer(refusal.version, known_->version)) known_ = refusal;
}

void FleetRefusal::SetRunning(const DocumentVersion& running) {
  running_ = running;
  if (known_ && IsSuperseded(known_->version)) known_.reset();
}

}  // namespace copperlead
