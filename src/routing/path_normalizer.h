// Normalization of request paths, so that an alternative spelling can't bypass a route.
#pragma once

#include <string>
#include <string_view>

namespace copperlead {

// Converts the path of a request target into the form that routes are matched against: decodes
// percent-encoded unreserved characters, writes other escapes in upper case, resolves "." and ".."
// segments and collapses "//". A trailing '/' is kept. May be called from any thread.
// @param path path as received, without the query.
// @param normalized receives the result; unspecified when the path is refused.
// @return false when the path must be refused: it does not start with '/', leaves the root, holds
//         an encoded '/', '\\' or NUL, a plain '\\', '?', '#', space, control or non-ASCII
//         character, a malformed escape, or a dot segment with parameters ("..;x").
bool NormalizePath(std::string_view path, std::string& normalized);

}  // namespace copperlead
