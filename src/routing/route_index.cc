#include "routing/route_index.h"

#include <functional>
#include <string>
#include <unordered_map>

#include "routing/path_normalizer.h"

namespace copperlead {
namespace {

constexpr int kNoRow = -1;

// Transparent hash: allows lookups by string_view without building a string.
struct SegmentHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>{}(text);
  }
};

// Removes the next segment and the '/' before it from `rest`; `segment` receives only the segment.
// @return false when no segment remains. A trailing '/' is not a segment.
bool TakeSegment(std::string_view& rest, std::string_view& segment) {
  if (!rest.empty() && rest.front() == '/') rest.remove_prefix(1);
  if (rest.empty()) return false;
  segment = rest.substr(0, rest.find('/'));
  rest.remove_prefix(segment.size());
  return true;
}

}  // namespace

struct RouteIndex::Node {
  int row = kNoRow;
  std::unordered_map<std::string, std::unique_ptr<Node>, SegmentHash, std::equal_to<>> children;
};

RouteIndex::RouteIndex(const Table& table) : root_(std::make_unique<Node>()) {
  for (std::size_t row = 0; row < table.rows.size(); ++row) {
    std::string route;
    if (!NormalizePath(table.rows[row].route, route)) continue;
    Node* node = root_.get();
    std::string_view rest = route;
    std::string_view segment;
    while (TakeSegment(rest, segment)) {
      auto& child = node->children[std::string(segment)];
      if (!child) child = std::make_unique<Node>();
      node = child.get();
    }
    // The first of two routes with one normalized path is kept; canonical order puts "/a" before
    // "/a/".
    if (node->row == kNoRow) node->row = static_cast<int>(row);
  }
}

RouteIndex::~RouteIndex() = default;
RouteIndex::RouteIndex(RouteIndex&&) noexcept = default;
RouteIndex& RouteIndex::operator=(RouteIndex&&) noexcept = default;

int RouteIndex::Match(std::string_view path) const {
  const Node* node = root_.get();
  int longest = node->row;
  std::string_view segment;
  while (TakeSegment(path, segment)) {
    const auto child = node->children.find(segment);
    if (child == node->children.end()) break;
    node = child->second.get();
    if (node->row != kNoRow) longest = node->row;
  }
  return longest;
}

}  // namespace copperlead
