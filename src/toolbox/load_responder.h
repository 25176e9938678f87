// A back end that does nothing but answer, for measuring. cpp-httplib's server sleeps 1 ms in each
// 10 ms of a connection's idle time, which a measurement of less than that must not contain.
#pragma once

#include "base/address.h"
#include "base/result.h"

namespace copperlead {

// Answers every request on `listen` with 200 and a short body, until the process is ended. Prints
// one line {"listen":"IP:PORT"} once it is bound. Request bodies are read by Content-Length.
// @return only when it cannot listen: kAddressInUse.
Result<int> RunResponder(const SocketAddress& listen);

}  // namespace copperlead
