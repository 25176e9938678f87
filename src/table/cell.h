// Reads and checks single cells of the table. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "table/table.h"

namespace copperlead {

// What is wrong with one cell.
struct CellFault {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
};

// @return true when the text is well-formed UTF-8 (RFC 3629: no overlong forms, no surrogates).
bool IsUtf8(std::string_view text);

// @return the text in double quotes, shortened, with anything but printable ASCII as \xNN: safe to
//         print on a terminal.
std::string Quote(std::string_view text);

// Encoding of any cell: UTF-8 without NUL.
std::optional<CellFault> CheckEncoding(std::string_view text);

// Name of a service or secret: 1 to kMaxNameLength bytes, no control characters.
// @param what "service" or "secret", for the message.
std::optional<CellFault> CheckName(std::string_view what, std::string_view text);

// Route: '/' or segments each led by '/', in the form that normalized request paths have.
std::optional<CellFault> CheckRoute(std::string_view text);

// Reads a whole number of decimal digits only, between the bounds.
// @param value set only when no fault is returned.
std::optional<CellFault> ReadNumber(std::string_view text, std::uint32_t minimum,
                                    std::uint32_t maximum, std::uint32_t& value);

// Reads "yes", "no" or "by-method".
std::optional<CellFault> ReadRepeatable(std::string_view text, Repeatable& value);

// @return the cell's text, the inverse of ReadRepeatable.
std::string_view Name(Repeatable value);

}  // namespace copperlead
