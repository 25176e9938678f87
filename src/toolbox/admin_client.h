// Reads a node's admin port.
#pragma once

#include <string>

#include "base/address.h"
#include "base/result.h"

namespace copperlead {

// GETs `path` from the admin port.
// @return the body of a 200 answer; kUnreachable when there is none, kUnexpectedStatus for another
// status
//         (the cause holds the answer's first line).
Result<std::string> FetchFromAdmin(const SocketAddress& admin, const std::string& path);

}  // namespace copperlead
