// The latest refused version that this node knows of, whichever node refused it. It is part of
// every message, so that any node can show it to an operator, not only the readers of the source.
// Does no I/O and reads no clock.
#pragma once

#include <optional>

#include "membership/member.h"

namespace copperlead {

class FleetRefusal {
 public:
  // Records a refusal by this node or reported by a peer, unless one of a later version is known.
  void Record(const RefusedVersion& refusal);

  // Sets the running version and drops a refusal of that version or of an older one.
  void SetRunning(const DocumentVersion& running);

  const std::optional<RefusedVersion>& known() const { return known_; }

 private:
  bool IsSuperseded(const DocumentVersion& refused) const;

  std::optional<RefusedVersion> known_;
  DocumentVersion running_;
};

}  // namespace copperlead
