// The ETag that this node sends with its conditional reads of one of the source's documents, and
// the one that it hands on to peers with the version that runs.
//
// A node need not read what a peer has read and pushed: the push names the ETag under which the
// pushed version was read, and the next conditional read sends it. Two rules keep this safe:
// - An ETag is handed on only for a version whose content is, to the byte, that of the document
//   read under it. Not for faulty documents, nor for one completed by resources that the running
//   table kept.
// - A peer's ETag is sent only while the version that it belongs to runs here, and only if that is
//   later than all that this node knew at its own last read. So a 304 always means "the source
//   still serves the document of the running version", and what this node read itself and could
//   not take (faulty, incomplete, in conflict, behind) is neither read nor judged again.
// An ETag that the source does not know costs one unconditional read, as without it.
//
// Assumes that one ETag never stands for two documents of one path (RFC 9110, 8.8.3), whichever
// machine or cache answers. Pure; not thread-safe.
#pragma once

#include <string>

#include "snapshot/version.h"

namespace copperlead {

class SourceEtag {
 public:
  // A conditional read starts. @param running what runs now. @return the ETag to send.
  const std::string& Ask(const DocumentVersion& running);

  // The read gave a document.
  // @param read its version with epoch 0; none when it is faulty.
  // @param known the later of the document's version and the running one: no peer's ETag for it or
  //        for an earlier version is taken from now on.
  void Read(const std::string& etag, const DocumentVersion& read, const DocumentVersion& known);

  // The read gave 304 to `etag`. @return true when this confirms a peer's ETag for the version
  // that runs: all is to be as if this node had read that version's document itself.
  bool Confirm(const std::string& etag, const DocumentVersion& running);

  // A peer sent `version`, read under `etag` (ignored when empty).
  void Learn(const DocumentVersion& version, const std::string& etag);

  // @return the ETag to hand on with a version that runs; empty when there is none that may be.
  std::string For(const DocumentVersion& version) const;

 private:
  // An ETag and the version with whose content it came.
  struct Entry {
    std::string etag;
    DocumentVersion version;
  };

  bool IsLearned(const DocumentVersion& version) const;
  void SetOwn(Entry own, const DocumentVersion& known);

  Entry own_;      // Of this node's last answer. Its version's epoch is not to be relied on.
  Entry learned_;  // Of the latest version that a peer sent, if that is later than known_.
  Entry asked_;    // The learned ETag of the read under way; empty when it sent own_.
  DocumentVersion known_;
};

}  // namespace copperlead
