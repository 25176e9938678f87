// What spreading a document needs to know of it, whichever document it is.
#pragma once

#include <string>

#include "base/time.h"
#include "snapshot/transfer.h"

namespace copperlead {

// What became of a transfer that a peer sent.
enum class Receipt {
  kTaken,        // It runs now.
  kNotTaken,     // It decoded, and was held or refused.
  kUnknownBase,  // A difference to a version that is not here: ask for another.
  kUnreadable,   // It did not decode, or not to the content it claims.
};

class DocumentStream {
 public:
  virtual ~DocumentStream() = default;

  virtual StreamKind kind() const = 0;
  // What runs; none at first.
  virtual DocumentVersion running() const = 0;
  // What ran before; none when unknown.
  virtual DocumentVersion previous() const = 0;
  // True when a document of this version would be looked at: it supersedes what runs and what is
  // held, and was not refused before.
  virtual bool Wants(const DocumentVersion& version) const = 0;
  // @return the running document as the difference to `base` if that is held, else whole. Only
  //         while something runs.
  virtual Transfer TransferFrom(const DocumentVersion& base) = 0;
  // True when the document of this version is held, so that a difference to it can be made.
  virtual bool Holds(const DocumentVersion& version) const = 0;
  // Decodes, checks and judges a transfer.
  // @param origin id of the sending node.
  virtual Receipt Receive(Timestamp now, const Transfer& transfer, const std::string& origin) = 0;
};

}  // namespace copperlead
