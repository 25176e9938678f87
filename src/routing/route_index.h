// Which row of the table a path belongs to.
#pragma once

#include <memory>
#include <string_view>

#include "table/table.h"

namespace copperlead {

// Longest-prefix match over path segments: a tree with one level per segment, so a match costs one
// hash look-up per segment of the path whatever the table's size. Immutable; any thread.
class RouteIndex {
 public:
  // A route's own path is normalized first; one that NormalizePath refuses never matches.
  explicit RouteIndex(const Table& table);
  ~RouteIndex();
  RouteIndex(RouteIndex&&) noexcept;
  RouteIndex& operator=(RouteIndex&&) noexcept;

  // @param path normalized (see NormalizePath).
  // @return the index into table.rows of the longest route that is `path` or a prefix of it ending
  //         on a segment border; -1 when none is.
  int Match(std::string_view path) const;

 private:
  struct Node;
  std::unique_ptr<Node> root_;
};

}  // namespace copperlead
