// The order in which documents replace each other, beyond IsNewer.
#pragma once

#include "snapshot/version.h"

namespace copperlead {

// True when `left` replaces `right` in both streams if their rules allow it: it is newer, or has
// the same place in the order and the higher content value (so that all nodes choose alike).
inline bool Supersedes(const DocumentVersion& left, const DocumentVersion& right) {
  if (IsNewer(left, right)) return true;
  return IsConflict(left, right) && left.content > right.content;
}

}  // namespace copperlead
