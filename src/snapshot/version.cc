#include "snapshot/version.h"

namespace copperlead {

std::string ToString(const DocumentVersion& version) {
  if (version.none()) return "none";
  std::string text = std::to_string(version.major);
  if (version.minor > 0) text += "+" + std::to_string(version.minor);
  return text;
}

}  // namespace copperlead
