// The order in which documents replace each other. It extends IsNewer by a rule for conflicts.
#pragma once

#include "snapshot/version.h"

namespace copperlead {

// True when `left` may replace `right` in both streams, subject to their own rules: it is newer, or
// it has the same place in the order and a higher content value. The content value makes all nodes
// choose the same document.
inline bool Supersedes(const DocumentVersion& left, const DocumentVersion& right) {
  if (IsNewer(left, right)) return true;
  return IsConflict(left, right) && left.content_hash > right.content_hash;
}

}  // namespace copperlead
