#include "distribution/source_etag.h"

#include <utility>

#include "membership/message.h"

namespace copperlead {
namespace {

// Epochs are the fleet's, not the source's: a document is the same whatever its epoch.
bool SameDocument(const DocumentVersion& left, const DocumentVersion& right) {
  return !left.none() && left.major == right.major && left.content == right.content;
}

}  // namespace

bool SourceEtag::IsLearned(const DocumentVersion& version) const {
  return !learned_.etag.empty() && learned_.version == version;
}

const std::string& SourceEtag::Ask(const DocumentVersion& running) {
  asked_ = IsLearned(running) ? learned_ : Entry{};
  return asked_.etag.empty() ? own_.etag : asked_.etag;
}

void SourceEtag::Read(const std::string& etag, const DocumentVersion& read,
                      const DocumentVersion& known) {
  SetOwn({etag, read}, known);
}

bool SourceEtag::Confirm(const std::string& etag, const DocumentVersion& running) {
  if (asked_.etag.empty() || asked_.etag != etag) return false;
  const Entry confirmed = std::exchange(asked_, Entry{});
  SetOwn(confirmed, confirmed.version);
  return confirmed.version == running;
}

void SourceEtag::Learn(const DocumentVersion& version, const std::string& etag) {
  if (etag.empty() || !IsNewer(version, known_) || !IsNewer(version, learned_.version)) return;
  learned_ = {etag, version};
}

std::string SourceEtag::For(const DocumentVersion& version) const {
  std::string etag;
  if (IsLearned(version)) {
    etag = learned_.etag;
  } else if (SameDocument(own_.version, version)) {
    etag = own_.etag;
  }
  return MayHandOnEtag(etag) ? etag : std::string();
}

void SourceEtag::SetOwn(Entry own, const DocumentVersion& known) {
  own_ = std::move(own);
  known_ = known;
  if (!IsNewer(learned_.version, known_)) learned_ = {};
}

}  // namespace copperlead
