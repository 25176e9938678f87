// The ETag that this node sends with its conditional reads of one document of the source, and the
// ETag that it forwards to peers with the running version.
//
// A node need not read a document that a peer has read and pushed: the push carries the ETag under
// which the pushed version was read, and the next conditional read sends that ETag. Two rules keep
// this safe:
// - An ETag is forwarded only for a version whose content equals, byte for byte, the document read
//   under it. It is not forwarded for a faulty document, nor for one completed by resources that
//   the running table kept.
// - A peer's ETag is sent only while the version that it belongs to runs here, and only if that
//   version is newer than all versions that this node knew at its own last read. Therefore a 304
//   always means that the source still serves the document of the running version, and a document
//   that this node read itself and could not take (faulty, incomplete, in conflict or behind) is
//   neither read nor offered again.
// An ETag that the source does not know costs one full answer, as a read without ETag does.
//
// Assumes that one ETag never stands for two documents of one path (RFC 9110, 8.8.3), whichever
// machine or cache answers. Does no I/O; not thread-safe.
#pragma once

#include <string>

#include "snapshot/version.h"

namespace copperlead {

class SourceEtag {
 public:
  // Call when a conditional read starts.
  // @param running version that runs now.
  // @return the ETag to send.
  const std::string& BeginRead(const DocumentVersion& running);

  // Call when the read returned a document.
  // @param read version of the document with epoch 0; none when it is faulty.
  // @param known the newer of the document's version and the running one. From now on, ETags from
  //        peers for this or older versions are ignored.
  void RecordDocument(const std::string& etag, const DocumentVersion& read,
                      const DocumentVersion& known);

  // Call when the read with `etag` returned 304.
  // @return true when this confirms a peer's ETag for the running version. The caller then sets its
  //         state as if this node had read that version's document itself.
  bool RecordNotModified(const std::string& etag, const DocumentVersion& running);

  // Call when a peer sent `version`, which was read under `etag`. An empty ETag is ignored.
  void RecordPeerEtag(const DocumentVersion& version, const std::string& etag);

  // @return the ETag to forward with the running version; empty when there is none to forward.
  std::string EtagToForward(const DocumentVersion& version) const;

 private:
  // An ETag and the version that was read under it.
  struct Entry {
    std::string etag;
    DocumentVersion version;
  };

  bool HasPeerEtagFor(const DocumentVersion& version) const;
  void SetOwn(Entry own, const DocumentVersion& known);

  Entry own_;   // From this node's last answer. The epoch of its version is not reliable.
  Entry peer_;  // From the latest version that a peer sent, if newer than known_.
  Entry sent_;  // Peer's ETag sent with the current read; empty if own_ was sent.
  DocumentVersion known_;
};

}  // namespace copperlead
