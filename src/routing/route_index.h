// Finds the table row whose route matches a path.
#pragma once

#include <memory>
#include <string_view>

#include "table/table.h"

namespace copperlead {

// Longest-prefix match over path segments. A tree with one level per segment makes a match cost one
// hash lookup per segment of the path, regardless of the table's size. Immutable, so any thread may
// use it.
class RouteIndex {
 public:
  // Normalizes the path of each route; a route that NormalizePath() refuses never matches.
  explicit RouteIndex(const Table& table);
  ~RouteIndex();
  RouteIndex(RouteIndex&&) noexcept;
  RouteIndex& operator=(RouteIndex&&) noexcept;

  // @param path normalized path (see NormalizePath()).
  // @return the index into table.rows of the longest route that equals `path` or is a prefix of it
  //         that ends at a segment boundary; -1 when there is none.
  int Match(std::string_view path) const;

 private:
  struct Node;
  std::unique_ptr<Node> root_;
};

}  // namespace copperlead
