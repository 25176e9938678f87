// What this node knows of a version that some node of the fleet has refused. Spreads with every
// message, so that any node can tell an operator of it, not only those that read the source. Pure.
#pragma once

#include <optional>

#include "membership/member.h"

namespace copperlead {

class FleetRefusal {
 public:
  // Takes what this node refused or a peer told, unless a later version's refusal is known.
  void Hear(const RefusedVersion& refusal);

  // Forgets a refusal that the running version has overtaken, or has turned out to be.
  void SetRunning(const DocumentVersion& running);

  const std::optional<RefusedVersion>& known() const { return known_; }

 private:
  bool IsOvertaken(const DocumentVersion& refused) const;

  std::optional<RefusedVersion> known_;
  DocumentVersion running_;
};

}  // namespace copperlead
