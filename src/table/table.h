// The routing table that operators edit, as typed rows. csv.h converts it from and to CSV.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace copperlead {

// Selects the methods that may be retried when it is unknown whether a back end ran the request.
enum class Repeatable : std::uint8_t {
  kByMethod,  // RFC 9110 section 9.2.2: GET, HEAD, OPTIONS, PUT, DELETE (and TRACE).
  kYes,       // Any method.
  kNo,        // No method.
};

// A row of the table: a route of a service. The fields correspond to the CSV columns.
struct RouteRow {
  std::string service;
  std::string route;  // Path prefix of whole segments, with a leading '/'; unique in the table.
  // Percentages of requests that go to the old and to the new site; their sum is 100.
  std::uint32_t old_weight = 0;
  std::uint32_t new_weight = 0;
  std::uint32_t timeout_ms = 1;  // Maximum time without progress, in milliseconds; at least 1.
  std::uint32_t requests_per_second = 0;  // Limit for all nodes together; 0 for none.
  std::uint32_t max_in_flight = 0;        // Limit for all nodes together; 0 for none.
  std::uint32_t max_retries = 0;          // Maximum further attempts per request.
  Repeatable repeatable = Repeatable::kByMethod;
  std::string secret;  // Name of a secret; empty for none.

  auto operator<=>(const RouteRow&) const = default;
};

// A table in canonical order, which means that its rows are sorted by route.
struct Table {
  std::vector<RouteRow> rows;

  bool operator==(const Table&) const = default;
};

// A SHA-256 digest.
using Digest = std::array<std::uint8_t, 32>;

// Sorts the rows into canonical order.
void Canonicalize(Table& table);

// @param table a table in canonical order.
// @return the SHA-256 digest of its canonical CSV, which only equal tables share.
Digest DigestOf(const Table& table);

// @return the SHA-256 digest of `bytes`.
Digest DigestOf(const std::string& bytes);

// @return the digest as 64 lowercase hexadecimal digits.
std::string ToHex(const Digest& digest);

}  // namespace copperlead
