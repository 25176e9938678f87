// Prints what nodes do, to find the cause of a violation (`copperlead simulate --trace`).
#pragma once

#include <iosfwd>
#include <string>

#include "distribution/event.h"

namespace copperlead::simulation {

// Writes one line for each action but messages. Not thread-safe.
class Trace {
 public:
  // @param out where lines go; null: nowhere.
  explicit Trace(std::ostream* out) : out_(out) {}

  void Write(Duration elapsed, const std::string& node, const Action& action);
  void Write(Duration elapsed, const std::string& node, const std::string& text);

 private:
  std::ostream* out_;
};

}  // namespace copperlead::simulation
