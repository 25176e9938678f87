// Parsing and validation of single cells of the table, without side effects.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "table/table.h"

namespace copperlead {

// An error in one cell.
struct CellFault {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
};

// @return true when the text is well-formed UTF-8 as defined by RFC 3629, which excludes overlong
//         forms and surrogates.
bool IsUtf8(std::string_view text);

// Makes a text safe to print on a terminal.
// @return the text in double quotes, truncated if it is long, with every byte that is not printable
//         ASCII replaced by \xNN.
std::string Quote(std::string_view text);

// Checks that a cell is UTF-8 and contains no NUL byte.
std::optional<CellFault> CheckEncoding(std::string_view text);

// Checks that a name has 1 to kMaxNameLength bytes and no control characters.
// @param what the kind of name for the message, such as "service" or "secret".
std::optional<CellFault> CheckName(std::string_view what, std::string_view text);

// Checks that a route is '/' or a sequence of segments that each start with '/', in the form of a
// normalized request path.
std::optional<CellFault> CheckRoute(std::string_view text);

// Parses an integer from `minimum` to `maximum` that consists of decimal digits only.
// @param value is set only when no fault is returned.
std::optional<CellFault> ReadNumber(std::string_view text, std::uint32_t minimum,
                                    std::uint32_t maximum, std::uint32_t& value);

// Parses "yes", "no" or "by-method".
// @param value is set only when no fault is returned.
std::optional<CellFault> ReadRepeatable(std::string_view text, Repeatable& value);

// @return the text of the cell, which ReadRepeatable parses back to `value`.
std::string_view Name(Repeatable value);

}  // namespace copperlead
