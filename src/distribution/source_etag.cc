#include "distribution/source_etag.h"

#include <utility>

#include "membership/message.h"

namespace copperlead {
namespace {

// Compares without the epoch, because the fleet counts epochs and the source does not know them.
bool SameDocument(const DocumentVersion& left, const DocumentVersion& right) {
  return !left.none() && left.major == right.major && left.content_hash == right.content_hash;
}

}  // namespace

bool SourceEtag::HasPeerEtagFor(const DocumentVersion& version) const {
  return !peer_.etag.empty() && peer_.version == version;
}

const std::string& SourceEtag::BeginRead(const DocumentVersion& running) {
  sent_ = HasPeerEtagFor(running) ? peer_ : Entry{};
  return sent_.etag.empty() ? own_.etag : sent_.etag;
}

void SourceEtag::RecordDocument(const std::string& etag, const DocumentVersion& read,
                                const DocumentVersion& known) {
  SetOwn({etag, read}, known);
}

bool SourceEtag::RecordNotModified(const std::string& etag, const DocumentVersion& running) {
  if (sent_.etag.empty() || sent_.etag != etag) return false;
  const Entry confirmed = std::exchange(sent_, Entry{});
  SetOwn(confirmed, confirmed.version);
  return confirmed.version == running;
}

void SourceEtag::RecordPeerEtag(const DocumentVersion& version, const std::string& etag) {
  if (etag.empty() || !IsNewer(version, known_) || !IsNewer(version, peer_.version)) return;
  peer_ = {etag, version};
}

std::string SourceEtag::EtagToForward(const DocumentVersion& version) const {
  std::string etag;
  if (HasPeerEtagFor(version)) {
    etag = peer_.etag;
  } else if (SameDocument(own_.version, version)) {
    etag = own_.etag;
  }
  return IsForwardableEtag(etag) ? etag : std::string();
}

void SourceEtag::SetOwn(Entry own, const DocumentVersion& known) {
  own_ = std::move(own);
  known_ = known;
  if (!IsNewer(peer_.version, known_)) peer_ = {};
}

}  // namespace copperlead
