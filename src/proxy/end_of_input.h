// Decides whether a connection's input has ended in an orderly way, as it must to complete a body
// that has neither a length nor chunks (RFC 9112, section 6.3). Performs no I/O.
#pragma once

#include <sys/types.h>

#include <cerrno>

namespace copperlead {

// The system reports the failure of a connection once, to whichever call comes first. If that is a
// write, a later read returns 0 behind the bytes that have arrived, as it does at an orderly end.
// Therefore a connection has to record its failed writes here.
class EndOfInput {
 public:
  // @param error the errno of a failed write. The first one is EPIPE only if the end of the peer's
  //              side had arrived before the connection failed; any other one may have cut it off.
  void RecordFailedWrite(int error) {
    if (write_error_ == 0 && error != EPIPE) write_error_ = error;
  }

  // @param count what a read has just returned, 0 or -1; errno must be unchanged since.
  // @return 0 at an orderly end, otherwise the error that has ended the connection.
  int ErrorOf(ssize_t count) const { return count < 0 ? errno : write_error_; }

 private:
  int write_error_ = 0;
};

}  // namespace copperlead
