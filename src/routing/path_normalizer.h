// One spelling for every path, so that no spelling gets past a route.
#pragma once

#include <string>
#include <string_view>

namespace copperlead {

// Brings a request target's path into the form that routes are matched by: percent-decodes
// unreserved characters, writes other escapes in upper case, resolves "." and ".." segments,
// collapses "//". A trailing '/' is kept. Pure; any thread.
// @param path as received, without the query.
// @param normalized is overwritten; unspecified when refused.
// @return false when the path must be refused: it does not start with '/', leaves the root, holds
//         an encoded '/', '\\' or NUL, a plain '\\', '?', '#', space, control or non-ASCII
//         character, a malformed escape, or a dot segment with parameters ("..;x").
bool NormalizePath(std::string_view path, std::string& normalized);

}  // namespace copperlead
