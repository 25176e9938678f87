// The routing table: what operators edit. Rows are typed and canonical; CSV stays in csv.h.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace copperlead {

// Which methods may be sent to a back end a second time after an outcome that is not known.
enum class Repeatable : std::uint8_t {
  kByMethod,  // RFC 9110 section 9.2.2: GET, HEAD, OPTIONS, PUT, DELETE (and TRACE).
  kYes,       // Any method.
  kNo,        // None.
};

// One row: a route of one service. Field for field the CSV columns.
struct RouteRow {
  std::string service;
  std::string route;  // Path prefix on segment borders, starts with '/'; unique over the table.
  std::uint32_t old_weight =
      0;  // Percent of requests to the old site; with new_weight sums to 100.
  std::uint32_t new_weight = 0;  // Percent of requests to the new site.
  std::uint32_t timeout_ms = 1;  // Longest wait without progress, in milliseconds; at least 1.
  std::uint32_t requests_per_second = 0;  // Limit of the whole fleet; 0: none.
  std::uint32_t max_in_flight = 0;        // Limit of the whole fleet; 0: none.
  std::uint32_t max_retries = 0;          // Further attempts per request.
  Repeatable repeatable = Repeatable::kByMethod;
  std::string secret;  // Name of a secret; empty: none.

  auto operator<=>(const RouteRow&) const = default;
};

// A whole table in canonical order: rows sorted by route.
struct Table {
  std::vector<RouteRow> rows;

  bool operator==(const Table&) const = default;
};

// SHA-256 of canonical content.
using Digest = std::array<std::uint8_t, 32>;

// Sorts the rows into canonical order.
void Canonicalize(Table& table);

// @param table canonical.
// @return SHA-256 of its canonical serialization; equal tables and only they share it.
Digest DigestOf(const Table& table);

// SHA-256 of bytes.
Digest DigestOf(const std::string& bytes);

// @return the digest as 64 lower-case hexadecimal digits.
std::string ToHex(const Digest& digest);

}  // namespace copperlead
