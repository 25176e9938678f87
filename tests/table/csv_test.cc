#include "table/csv.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "table/diff.h"
#include "table/fault_list.h"
#include "table/validate.h"

namespace copperlead {
namespace {

using ::testing::Values;

constexpr std::string_view kHeader =
    "service,route,old_weight,new_weight,timeout_ms,requests_per_second,max_in_flight,max_retries,"
    "repeatable,secret\n";

// The cells of a valid row. A test case replaces some of them.
struct Cells {
  std::string service = "permit-desk";
  std::string route = "/permits";
  std::string old_weight = "60";
  std::string new_weight = "40";
  std::string timeout_ms = "2000";
  std::string requests_per_second = "0";
  std::string max_in_flight = "0";
  std::string max_retries = "1";
  std::string repeatable = "by-method";
  std::string secret = "permit-token";
};

std::string RowOf(const Cells& cells) {
  return cells.service + "," + cells.route + "," + cells.old_weight + "," + cells.new_weight + "," +
         cells.timeout_ms + "," + cells.requests_per_second + "," + cells.max_in_flight + "," +
         cells.max_retries + "," + cells.repeatable + "," + cells.secret + "\n";
}

std::string TableOf(const Cells& cells) { return std::string(kHeader) + RowOf(cells); }

// @return the text "kind row:column" for each fault, which keeps the expectations short.
std::vector<std::string> Places(const std::vector<TableFault>& faults) {
  std::vector<std::string> places;
  for (const auto& fault : faults) {
    places.push_back(std::string(Name(fault.kind)) + " " + std::to_string(fault.row) + ":" +
                     std::to_string(fault.column));
  }
  return places;
}

struct FaultCase {
  std::string name;
  std::string text;
  std::vector<std::string> places;
};

class CsvFaultTest : public ::testing::TestWithParam<FaultCase> {};

TEST_P(CsvFaultTest, ReportsKindRowAndColumn) {
  const CsvTable csv = ParseCsv(GetParam().text);
  std::string all;
  for (const auto& fault : csv.faults) all += ToString(fault) + "\n";
  EXPECT_EQ(Places(csv.faults), GetParam().places) << all;
}

std::string NameOf(const ::testing::TestParamInfo<FaultCase>& info) { return info.param.name; }

const std::string kValidRow = RowOf({});
const std::string kOtherRow = RowOf({.route = "/other"});
const std::string kHeaderText(kHeader);

INSTANTIATE_TEST_SUITE_P(
    Form, CsvFaultTest,
    Values(
        FaultCase{"EmptyText", "", {"malformed_csv 1:0"}},
        FaultCase{"ByteOrderMark", "\xef\xbb\xbf" + kHeaderText + kValidRow, {"bad_encoding 1:1"}},
        FaultCase{"MissingColumns",
                  "service,route\nx,/y\n",
                  {"missing_column 1:0", "missing_column 1:0", "missing_column 1:0",
                   "missing_column 1:0", "missing_column 1:0", "missing_column 1:0",
                   "missing_column 1:0", "missing_column 1:0"}},
        FaultCase{"UnknownColumn",
                  kHeaderText.substr(0, kHeaderText.size() - 1) + ",colour\n" + kValidRow,
                  {"unknown_column 1:11", "malformed_csv 2:11"}},
        FaultCase{"DuplicateColumn",
                  kHeaderText.substr(0, kHeaderText.size() - 1) + ",route\n" +
                      kValidRow.substr(0, kValidRow.size() - 1) + ",/z\n",
                  {"malformed_csv 1:11"}},
        FaultCase{"SpaceInHeader",
                  " " + kHeaderText + kValidRow,
                  {"unknown_column 1:1", "missing_column 1:0"}},
        FaultCase{"TooFewCells", kHeaderText + "permit-desk,/a,100,0\n", {"malformed_csv 2:5"}},
        FaultCase{"TooManyCells",
                  kHeaderText + kValidRow.substr(0, kValidRow.size() - 1) + ",\n",
                  {"malformed_csv 2:11"}},
        FaultCase{"QuoteInsideCell",
                  kHeaderText + kOtherRow + "per\"mit,/a,100,0,1,0,0,0,no,\n",
                  {"malformed_csv 3:1"}},
        FaultCase{
            "QuoteNeverClosed", kHeaderText + kOtherRow + "x,\"/a,100,0\n", {"malformed_csv 3:2"}},
        FaultCase{"LoneCarriageReturn",
                  kHeaderText.substr(0, kHeaderText.size() - 1) + "\r" + kValidRow,
                  {"malformed_csv 1:0"}},
        FaultCase{"NulByte", TableOf({.service = std::string("a\0b", 3)}), {"bad_encoding 2:1"}},
        FaultCase{"NotUtf8", TableOf({.service = "g\xf6l"}), {"bad_encoding 2:1"}},
        FaultCase{"OverlongUtf8", TableOf({.secret = "\xc0\xaf"}), {"bad_encoding 2:10"}},
        FaultCase{"Surrogate", TableOf({.secret = "\xed\xa0\x80"}), {"bad_encoding 2:10"}},
        FaultCase{"Oversized", std::string(kMaxTableBytes + 1, 'x'), {"oversized 0:0"}}),
    NameOf);

INSTANTIATE_TEST_SUITE_P(
    Cells, CsvFaultTest,
    Values(FaultCase{"EmptyService", TableOf({.service = ""}), {"bad_value 2:1"}},
           FaultCase{"LongService", TableOf({.service = std::string(201, 's')}), {"bad_value 2:1"}},
           FaultCase{"ControlInService", TableOf({.service = "a\x1b[2J"}), {"bad_value 2:1"}},
           FaultCase{"LineEndInSecret", TableOf({.secret = "\"a\nb\""}), {"bad_value 2:10"}},
           FaultCase{"PlusWeight", TableOf({.old_weight = "+60"}), {"bad_number 2:3"}},
           FaultCase{"MinusWeight", TableOf({.old_weight = "-60"}), {"bad_number 2:3"}},
           FaultCase{"SpaceBefore", TableOf({.old_weight = " 60"}), {"bad_number 2:3"}},
           FaultCase{"SpaceAfter", TableOf({.old_weight = "60 "}), {"bad_number 2:3"}},
           FaultCase{"DecimalPoint", TableOf({.new_weight = "40.0"}), {"bad_number 2:4"}},
           FaultCase{"Hexadecimal", TableOf({.new_weight = "0x28"}), {"bad_number 2:4"}},
           FaultCase{"EmptyWeight", TableOf({.new_weight = ""}), {"bad_number 2:4"}},
           FaultCase{"WeightOver100", TableOf({.old_weight = "101"}), {"out_of_range 2:3"}},
           FaultCase{"WeightsSum", TableOf({.new_weight = "50"}), {"weights_sum 2:4"}},
           FaultCase{"ZeroTimeout", TableOf({.timeout_ms = "0"}), {"out_of_range 2:5"}},
           FaultCase{"HugeTimeout", TableOf({.timeout_ms = "4294967296"}), {"out_of_range 2:5"}},
           FaultCase{"BadRate", TableOf({.requests_per_second = "1e3"}), {"bad_number 2:6"}},
           FaultCase{"BadInFlight", TableOf({.max_in_flight = "many"}), {"bad_number 2:7"}},
           FaultCase{"BadRetries", TableOf({.max_retries = "-1"}), {"bad_number 2:8"}},
           FaultCase{"BadRepeatable", TableOf({.repeatable = "Yes"}), {"bad_value 2:9"}},
           FaultCase{"AllAtOnce",
                     TableOf({.service = "", .old_weight = "x", .repeatable = "maybe"}) +
                         RowOf({.route = "/b", .new_weight = "41"}),
                     {"bad_value 2:1", "bad_number 2:3", "bad_value 2:9", "weights_sum 3:4"}},
           FaultCase{"DuplicateRoute",
                     TableOf({}) + RowOf({.service = "records-hub"}),
                     {"duplicate_route 3:2"}}),
    NameOf);

class BadRouteTest : public ::testing::TestWithParam<const char*> {};

TEST_P(BadRouteTest, IsRejected) {
  const CsvTable csv = ParseCsv(TableOf({.route = GetParam()}));
  EXPECT_EQ(Places(csv.faults), std::vector<std::string>{"bad_route 2:2"}) << GetParam();
}

INSTANTIATE_TEST_SUITE_P(Routes, BadRouteTest,
                         Values("", "permits", "//", "/a//b", "/a/", "/.", "/..", "/a/./b",
                                "/a/../b", "/a/..", "/a?b", "/a#b", "/a%20b", "/a\tb", "/a\x7f",
                                "/a b", "/a\\b", "/g\xc3\xb6l"));

TEST(ParseCsvTest, AcceptsRoutesThatOnlyLookInvalid) {
  for (const char* route : {"/", "/a", "/...", "/.well-known", "/a..b", "/~x/-_!$&'()*+=:@;"}) {
    const CsvTable csv = ParseCsv(TableOf({.route = route}));
    EXPECT_THAT(Places(csv.faults), ::testing::IsEmpty()) << route;
  }
}

TEST(ParseCsvTest, AcceptsTheFormsThatRfc4180Allows) {
  const Table plain = ParseCsv(TableOf({}) + kOtherRow).table;
  ASSERT_EQ(plain.rows.size(), 2U);
  std::string with_crlf;
  for (const char character : TableOf({}) + kOtherRow) {
    with_crlf += character == '\n' ? "\r\n" : std::string(1, character);
  }
  const std::string quoted = std::string(kHeader) + "\"permit-desk\"," + kValidRow.substr(12);
  const std::string reordered =
      "route,service,secret,repeatable,max_retries,max_in_flight,requests_per_second,timeout_ms,"
      "new_weight,old_weight\n/permits,permit-desk,permit-token,by-method,1,0,0,2000,40,60\n";
  const std::string texts[] = {
      with_crlf,
      with_crlf.substr(0, with_crlf.size() - 2),
      TableOf({}) + kOtherRow.substr(0, kOtherRow.size() - 1),
      quoted + kOtherRow,
      reordered + "/other,permit-desk,permit-token,by-method,1,0,0,2000,40,60",
      std::string(kHeader) + kOtherRow + "\n" + kValidRow + "\n\n",
  };
  for (const auto& text : texts) {
    const CsvTable csv = ParseCsv(text);
    EXPECT_THAT(Places(csv.faults), ::testing::IsEmpty()) << text;
    EXPECT_EQ(csv.table, plain) << text;
    EXPECT_EQ(DigestOf(csv.table), DigestOf(plain)) << text;
  }
}

TEST(ParseCsvTest, FormattedCsvParsesToTheSameTable) {
  const Table table =
      ParseCsv(TableOf({.service = "\"a \"\"quoted\"\", name\""}) + kOtherRow).table;
  EXPECT_EQ(table.rows.back().service, "a \"quoted\", name");
  const CsvTable again = ParseCsv(ToCsv(table));
  EXPECT_THAT(Places(again.faults), ::testing::IsEmpty());
  EXPECT_EQ(again.table, table);
}

TEST(ParseCsvTest, KeepsRowNumbersDespiteSortingAndBlankLines) {
  const CsvTable csv = ParseCsv(std::string(kHeader) + RowOf({.route = "/z"}) + "\n" +
                                RowOf({.route = "/a"}) + RowOf({.route = "/m"}));
  EXPECT_EQ(csv.row_numbers, (std::vector<std::uint32_t>{4, 5, 2}));
}

TEST(ParseCsvTest, LimitsTheFaultsAndReportsTheNumberOmitted) {
  std::string text(kHeader);
  for (std::size_t row = 0; row < kMaxTableFaults + 7; ++row) {
    text += RowOf({.route = "/r" + std::to_string(row), .new_weight = "41"});
  }
  const CsvTable csv = ParseCsv(text);
  ASSERT_EQ(csv.faults.size(), kMaxTableFaults + 1);
  EXPECT_EQ(csv.faults.back().row, 0U);
  EXPECT_EQ(csv.faults.back().message, "7 more faults are not shown; mend these first");
}

TEST(ParseCsvTest, RejectsMoreRowsThanAllowed) {
  std::string text(kHeader);
  for (std::size_t row = 0; row <= kMaxTableRows; ++row) {
    text += RowOf({.route = "/r" + std::to_string(row)});
  }
  EXPECT_EQ(Places(ParseCsv(text).faults),
            std::vector<std::string>{"oversized " + std::to_string(kMaxTableRows + 2) + ":0"});
}

TEST(FindUnknownNamesTest, ReportsCellsInRowOrder) {
  const CsvTable csv =
      ParseCsv(TableOf({.route = "/z", .secret = "lost"}) + RowOf({.service = "elsewhere"}) +
               RowOf({.route = "/b", .secret = ""}));
  const auto faults = FindUnknownNames(csv, {"permit-desk"}, {"permit-token"});
  EXPECT_EQ(Places(faults),
            (std::vector<std::string>{"unknown_secret 2:10", "unknown_service 3:1"}));
}

TEST(ToStringTest, FormatsPlaceKindAndMessage) {
  const auto faults = ParseCsv(TableOf({.new_weight = "50"})).faults;
  EXPECT_EQ(ToString(faults.at(0)),
            "row 2, column 4: weights_sum: old_weight 60 + new_weight 50 = 110, must be 100");
}

TEST(DiffTest, ReportsAddedRemovedAndChangedRowsInRouteOrder) {
  const Table before =
      ParseCsv(TableOf({.route = "/a"}) + RowOf({.route = "/b"}) + RowOf({.route = "/d"})).table;
  const Table after = ParseCsv(TableOf({.route = "/b", .old_weight = "50", .new_weight = "50"}) +
                               RowOf({.route = "/c"}) + RowOf({.route = "/d"}))
                          .table;
  const auto changes = Diff(before, after);
  ASSERT_EQ(changes.size(), 3U);
  EXPECT_EQ(changes[0].kind, RowChange::Kind::kRemoved);
  EXPECT_EQ(changes[0].route, "/a");
  EXPECT_EQ(changes[1].kind, RowChange::Kind::kChanged);
  ASSERT_EQ(changes[1].cells.size(), 2U);
  EXPECT_EQ(changes[1].cells[0].column, "old_weight");
  EXPECT_EQ(changes[1].cells[0].before, "60");
  EXPECT_EQ(changes[1].cells[0].after, "50");
  EXPECT_EQ(changes[2].kind, RowChange::Kind::kAdded);
  EXPECT_THAT(Diff(after, after), ::testing::IsEmpty());
}

TEST(DigestTest, DependsOnEveryCell) {
  const Digest original = DigestOf(ParseCsv(TableOf({})).table);
  const std::string other_tables[] = {
      TableOf({.service = "permit"}),
      TableOf({.route = "/permit"}),
      TableOf({.old_weight = "61", .new_weight = "39"}),
      TableOf({.timeout_ms = "2001"}),
      TableOf({.requests_per_second = "1"}),
      TableOf({.max_in_flight = "1"}),
      TableOf({.max_retries = "0"}),
      TableOf({.repeatable = "no"}),
      TableOf({.secret = ""}),
  };
  for (const auto& text : other_tables) {
    const CsvTable csv = ParseCsv(text);
    EXPECT_THAT(Places(csv.faults), ::testing::IsEmpty()) << text;
    EXPECT_NE(DigestOf(csv.table), original) << text;
  }
  EXPECT_EQ(ToHex(DigestOf(std::string("abc"))),
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

}  // namespace
}  // namespace copperlead
