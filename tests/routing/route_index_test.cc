#include "routing/route_index.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "routing/path_normalizer.h"

namespace copperlead {
namespace {

Table TableOf(const std::vector<std::string>& routes) {
  Table table;
  for (const std::string& route : routes) {
    RouteRow row;
    row.route = route;
    table.rows.push_back(row);
  }
  return table;
}

struct MatchCase {
  const char* path;
  const char* route;  // Null: no route matches.
};

TEST(RouteIndexTest, LongestPrefixOnSegmentBordersWins) {
  const Table table = TableOf({"/permits", "/permits/season", "/permits/season/new", "/plates/"});
  const RouteIndex index(table);
  constexpr MatchCase kCases[] = {
      {"/permits", "/permits"},
      {"/permits/", "/permits"},
      {"/permits/1", "/permits"},
      {"/permits-old", nullptr},
      {"/permitsx/season", nullptr},
      {"/permit", nullptr},
      {"/", nullptr},
      {"/permits/seasonal", "/permits"},
      {"/permits/season", "/permits/season"},
      {"/permits/season/old", "/permits/season"},
      {"/permits/season/new/1/2", "/permits/season/new"},
      {"/PERMITS", nullptr},
      {"/plates", "/plates/"},
      {"/plates/7", "/plates/"},
  };
  for (const MatchCase& row : kCases) {
    const int match = index.Match(row.path);
    const std::string found = match < 0 ? "" : table.rows[static_cast<std::size_t>(match)].route;
    EXPECT_EQ(found, row.route == nullptr ? "" : row.route) << row.path;
  }
}

TEST(RouteIndexTest, RootMatchesPathsWithoutALongerRoute) {
  const RouteIndex index(TableOf({"/", "/a"}));
  EXPECT_EQ(index.Match("/"), 0);
  EXPECT_EQ(index.Match("/b/a"), 0);
  EXPECT_EQ(index.Match("/a/b"), 1);
}

struct PathCase {
  const char* path;
  const char* normalized;  // Null: the path is refused.
};

TEST(PathNormalizerTest, NormalizesOrRefusesPaths) {
  constexpr PathCase kCases[] = {
      {"/", "/"},
      {"/a", "/a"},
      {"/a/", "/a/"},
      {"//a//b", "/a/b"},
      {"/a/./b", "/a/b"},
      {"/a/.", "/a/"},
      {"/a/..", "/"},
      {"/a/../b", "/b"},
      {"/a/b/../../c", "/c"},
      {"/a/%2e%2E/b", "/b"},
      {"/a/.%2e/b", "/b"},
      {"/%61dmin", "/admin"},
      {"/a%20b", "/a%20b"},
      {"/a%c3%bc", "/a%C3%BC"},
      {"/a%252e", "/a%252e"},
      {"/...", "/..."},
      {"/a;x=1", "/a;x=1"},
      {"/..", nullptr},
      {"/../a", nullptr},
      {"/a/../../b", nullptr},
      {"/%2e%2e/a", nullptr},
      {"/a/..;/b", nullptr},
      {"/a/%2e%2e;x/b", nullptr},
      {"/a/..%3b/b", nullptr},
      {"/a%2fb", nullptr},
      {"/a%2Fb", nullptr},
      {"/a%5cb", nullptr},
      {"/a\\b", nullptr},
      {"/a%00", nullptr},
      {"/a%0", nullptr},
      {"/a%", nullptr},
      {"/a%zz", nullptr},
      {"/a b", nullptr},
      {"/a\tb", nullptr},
      {"/a?b", nullptr},
      {"/a#b", nullptr},
      {"/\xc3\xbc", nullptr},
      {"a", nullptr},
      {"", nullptr},
      {"*", nullptr},
      {"http://host/a", nullptr},
  };
  for (const PathCase& row : kCases) {
    std::string normalized;
    const bool accepted = NormalizePath(row.path, normalized);
    EXPECT_EQ(accepted, row.normalized != nullptr) << row.path << " -> " << normalized;
    if (!accepted || row.normalized == nullptr) continue;
    EXPECT_EQ(normalized, row.normalized) << row.path;
    std::string again;
    EXPECT_TRUE(NormalizePath(normalized, again)) << normalized;
    EXPECT_EQ(again, normalized) << "normalizing twice changes the path";
  }
}

}  // namespace
}  // namespace copperlead
