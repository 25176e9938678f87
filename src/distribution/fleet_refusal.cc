#include "distribution/fleet_refusal.h"

namespace copperlead {

bool FleetRefusal::IsOvertaken(const DocumentVersion& refused) const {
  return IsNewer(running_, refused) || running_ == refused;
}

void FleetRefusal::Hear(const RefusedVersion& refusal) {
  if (IsOvertaken(refusal.version)) return;
  if (!known_ || IsNewer(refusal.version, known_->version)) known_ = refusal;
}

void FleetRefusal::SetRunning(const DocumentVersion& running) {
  running_ = running;
  if (known_ && IsOvertaken(known_->version)) known_.reset();
}

}  // namespace copperlead
