#include "base/result.h"

namespace copperlead {

std::string ToString(const Error& error) {
  std::string text(Name(error.kind));
  if (!error.place.empty()) text += ": " + error.place;
  if (!error.cause.empty()) text += ": " + error.cause;
  return text;
}

}  // namespace copperlead
