// Which ETag is sent with a read and which is forwarded to peers.
#include "distribution/source_etag.h"

#include <gtest/gtest.h>

#include <string>

#include "membership/message.h"

namespace copperlead {
namespace {

constexpr DocumentVersion kSeven{7, 0, 70};
constexpr DocumentVersion kEight{8, 0, 80};
constexpr DocumentVersion kEightRaised{8, 1, 81};
constexpr DocumentVersion kEightOther{8, 0, 99};  // Conflicts with kEight.
constexpr DocumentVersion kNine{9, 0, 90};
constexpr DocumentVersion kNone{};

// A node that read version 7 and runs it.
SourceEtag RunningSeven() {
  SourceEtag etag;
  etag.RecordDocument("e7", kSeven, kSeven);
  return etag;
}

TEST(SourceEtagTest, APeersEtagIsSentOnlyWhileItsVersionRuns) {
  SourceEtag etag = RunningSeven();
  etag.RecordPeerEtag(kEight, "e8");
  EXPECT_EQ(etag.BeginRead(kSeven), "e7") << "held, or not yet offered to the ledger";
  EXPECT_EQ(etag.BeginRead(kEight), "e8");
  EXPECT_EQ(etag.BeginRead(kEightRaised), "e7") << "raised here since";
  EXPECT_EQ(etag.EtagToForward(kEight), "e8");
  EXPECT_EQ(etag.EtagToForward(kEightRaised), "");
}

TEST(SourceEtagTest, APeersEtagReplacesTheOwnOnlyForALaterVersion) {
  struct Case {
    const char* name;
    DocumentVersion read;  // None for a faulty document.
    DocumentVersion known;
    DocumentVersion running;
    DocumentVersion pushed;
    std::string expected;  // ETag sent with the next read.
  };
  const Case cases[] = {
      {"the same version", kSeven, kSeven, kSeven, kSeven, "own"},
      {"an older version", kEight, kEight, kEight, kSeven, "own"},
      {"below a newer but faulty document", kNone, kEight, kSeven, kSeven, "own"},
      {"at a faulty document's revision", kNone, kEight, kEight, kEight, "own"},
      {"above a faulty document", kNone, kEight, kNine, kNine, "peer"},
      {"the other side of a conflict", kEightOther, kEight, kEight, kEight, "own"},
      {"a source that was rolled back", kSeven, kEight, kEight, kEight, "own"},
      {"above a source that was rolled back", kSeven, kEight, kNine, kNine, "peer"},
      {"an epoch that another reader raised", kEight, kEight, kEightRaised, kEightRaised, "peer"},
      {"no ETag", kEight, kEight, kNine, kNine, "own"},
  };
  for (const Case& entry : cases) {
    SourceEtag etag;
    etag.RecordDocument("own", entry.read, entry.known);
    etag.RecordPeerEtag(entry.pushed, entry.name == std::string("no ETag") ? "" : "peer");
    EXPECT_EQ(etag.BeginRead(entry.running), entry.expected) << entry.name;
  }
}

TEST(SourceEtagTest, AnOlderPushDoesNotReplaceANewerEtag) {
  SourceEtag etag = RunningSeven();
  etag.RecordPeerEtag(kNine, "e9");
  etag.RecordPeerEtag(kEight, "e8");
  EXPECT_EQ(etag.BeginRead(kNine), "e9");
}

TEST(SourceEtagTest, ACacheThatKnowsOtherEtagsIsReadOncePerVersion) {
  SourceEtag etag = RunningSeven();
  etag.RecordPeerEtag(kEight, "e8");
  EXPECT_EQ(etag.BeginRead(kEight), "e8");
  etag.RecordDocument("cached-8", kEight, kEight);
  etag.RecordPeerEtag(kEight, "e8");  // The push is repeated.
  EXPECT_EQ(etag.BeginRead(kEight), "cached-8");
}

TEST(SourceEtagTest, A304ConfirmsOnlyThePeersEtagSentForTheRunningVersion) {
  SourceEtag etag = RunningSeven();
  EXPECT_FALSE(etag.RecordNotModified(etag.BeginRead(kSeven), kSeven)) << "its own";
  etag.RecordPeerEtag(kEight, "e8");
  etag.BeginRead(kEight);
  EXPECT_FALSE(etag.RecordNotModified("e7", kEight)) << "a late answer to an earlier read";
  EXPECT_TRUE(etag.RecordNotModified("e8", kEight));
  EXPECT_FALSE(etag.RecordNotModified("e8", kEight)) << "twice";
  EXPECT_EQ(etag.BeginRead(kEightRaised), "e8") << "now the ETag of this node";
  EXPECT_EQ(etag.EtagToForward(kEight), "e8");
  etag.RecordPeerEtag(kNine, "e9");
  etag.BeginRead(kNine);
  EXPECT_FALSE(etag.RecordNotModified("e9", {10, 0, 100})) << "overtaken";
}

TEST(SourceEtagTest, AnEtagIsForwardedOnlyWithTheContentOfItsDocument) {
  SourceEtag etag;
  etag.RecordDocument("e8", kEight, kEight);
  EXPECT_EQ(etag.EtagToForward(kEight), "e8");
  EXPECT_EQ(etag.EtagToForward({8, 3, 80}), "e8") << "an epoch raised for this very document";
  EXPECT_EQ(etag.EtagToForward(kEightOther), "") << "completed by kept resources, or in conflict";
  EXPECT_EQ(etag.EtagToForward(kSeven), "");
  etag.RecordDocument("e9", kNone, kNine);
  EXPECT_EQ(etag.EtagToForward(kNine), "") << "faulty";
  etag.RecordDocument(std::string(kMaxSourceTagBytes, 'e'), kNine, kNine);
  EXPECT_EQ(etag.EtagToForward(kNine).size(), kMaxSourceTagBytes);
  etag.RecordDocument(std::string(kMaxSourceTagBytes + 1, 'e'), kNine, kNine);
  EXPECT_EQ(etag.EtagToForward(kNine), "");
  etag.RecordDocument("e\r\nX: y", kNine, kNine);
  EXPECT_EQ(etag.EtagToForward(kNine), "") << "peers would refuse it";
}

}  // namespace
}  // namespace copperlead
