// Interface of a replicated document, as push and repair use it.
#pragma once

#include <string>

#include "base/time.h"
#include "snapshot/transfer.h"

namespace copperlead {

// Result of a transfer that a peer sent.
enum class ReceiveResult {
  kTaken,        // The document runs now.
  kNotTaken,     // It was held, refused or not needed.
  kUnknownBase,  // It is a delta to a version that this node does not hold.
  kUndecodable,  // It did not decode, or not to the content that it claims.
};

class DocumentStream {
 public:
  virtual ~DocumentStream() = default;

  virtual StreamKind kind() const = 0;
  // Version that runs; none at first.
  virtual DocumentVersion running() const = 0;
  // Version that ran before; none when unknown.
  virtual DocumentVersion previous() const = 0;
  // True when a document of this version would be considered: it supersedes the running and the
  // held version and has not been refused before.
  virtual bool Wants(const DocumentVersion& version) const = 0;
  // @return the running document as a delta to `base` if this node holds `base`, else whole. Only
  //         valid while a document runs.
  virtual Transfer TransferFrom(const DocumentVersion& base) = 0;
  // True when the document of this version is in memory, so that a delta to it can be encoded.
  virtual bool Holds(const DocumentVersion& version) const = 0;
  // Decodes and checks a transfer and decides whether to run its document.
  // @param origin id of the node that sent it.
  virtual ReceiveResult Receive(Timestamp now, const Transfer& transfer,
                                const std::string& origin) = 0;
};

}  // namespace copperlead
