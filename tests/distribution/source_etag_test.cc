// Which ETag is sent with a read and handed on, step by step.
#include "distribution/source_etag.h"

#include <gtest/gtest.h>

#include <string>

#include "membership/message.h"

namespace copperlead {
namespace {

constexpr DocumentVersion kSeven{7, 0, 70};
constexpr DocumentVersion kEight{8, 0, 80};
constexpr DocumentVersion kEightRaised{8, 1, 81};
constexpr DocumentVersion kEightOther{8, 0, 99};  // In conflict with kEight.
constexpr DocumentVersion kNine{9, 0, 90};
constexpr DocumentVersion kNone{};

// A node that read version 7 and runs it.
SourceEtag RunningSeven() {
  SourceEtag etag;
  etag.Read("e7", kSeven, kSeven);
  return etag;
}

TEST(SourceEtagTest, APeersEtagIsSentOnlyWhileItsVersionRuns) {
  SourceEtag etag = RunningSeven();
  etag.Learn(kEight, "e8");
  EXPECT_EQ(etag.Ask(kSeven), "e7") << "held, or still to be judged";
  EXPECT_EQ(etag.Ask(kEight), "e8");
  EXPECT_EQ(etag.Ask(kEightRaised), "e7") << "raised here since";
  EXPECT_EQ(etag.For(kEight), "e8");
  EXPECT_EQ(etag.For(kEightRaised), "");
}

TEST(SourceEtagTest, WhatThisNodeReadItselfIsNotPutBack) {
  struct Case {
    const char* name;
    DocumentVersion read;  // None: faulty.
    DocumentVersion known;
    DocumentVersion running;
    DocumentVersion pushed;
    std::string expected;  // Sent with the next read.
  };
  const Case cases[] = {
      {"the same version", kSeven, kSeven, kSeven, kSeven, "own"},
      {"an older version", kEight, kEight, kEight, kSeven, "own"},
      {"below a newer but faulty document", kNone, kEight, kSeven, kSeven, "own"},
      {"at a faulty document's revision", kNone, kEight, kEight, kEight, "own"},
      {"above a faulty document", kNone, kEight, kNine, kNine, "peer"},
      {"the other side of a conflict", kEightOther, kEight, kEight, kEight, "own"},
      {"a source that went back", kSeven, kEight, kEight, kEight, "own"},
      {"above a source that went back", kSeven, kEight, kNine, kNine, "peer"},
      {"an epoch that another reader raised", kEight, kEight, kEightRaised, kEightRaised, "peer"},
      {"no ETag", kEight, kEight, kNine, kNine, "own"},
  };
  for (const Case& entry : cases) {
    SourceEtag etag;
    etag.Read("own", entry.read, entry.known);
    etag.Learn(entry.pushed, entry.name == std::string("no ETag") ? "" : "peer");
    EXPECT_EQ(etag.Ask(entry.running), entry.expected) << entry.name;
  }
}

TEST(SourceEtagTest, AnOlderPushDoesNotReplaceANewerEtag) {
  SourceEtag etag = RunningSeven();
  etag.Learn(kNine, "e9");
  etag.Learn(kEight, "e8");
  EXPECT_EQ(etag.Ask(kNine), "e9");
}

TEST(SourceEtagTest, ACacheThatKnowsOtherEtagsIsReadOncePerVersion) {
  SourceEtag etag = RunningSeven();
  etag.Learn(kEight, "e8");
  EXPECT_EQ(etag.Ask(kEight), "e8");
  etag.Read("cached-8", kEight, kEight);
  etag.Learn(kEight, "e8");  // The push is repeated.
  EXPECT_EQ(etag.Ask(kEight), "cached-8");
}

TEST(SourceEtagTest, A304ConfirmsOnlyThePeersEtagThatWasSentForWhatRuns) {
  SourceEtag etag = RunningSeven();
  EXPECT_FALSE(etag.Confirm(etag.Ask(kSeven), kSeven)) << "its own";
  etag.Learn(kEight, "e8");
  etag.Ask(kEight);
  EXPECT_FALSE(etag.Confirm("e7", kEight)) << "a late answer to an earlier read";
  EXPECT_TRUE(etag.Confirm("e8", kEight));
  EXPECT_FALSE(etag.Confirm("e8", kEight)) << "twice";
  EXPECT_EQ(etag.Ask(kEightRaised), "e8") << "now its own";
  EXPECT_EQ(etag.For(kEight), "e8");
  etag.Learn(kNine, "e9");
  etag.Ask(kNine);
  EXPECT_FALSE(etag.Confirm("e9", {10, 0, 100})) << "overtaken";
}

TEST(SourceEtagTest, AnEtagIsHandedOnOnlyWithTheContentOfItsDocument) {
  SourceEtag etag;
  etag.Read("e8", kEight, kEight);
  EXPECT_EQ(etag.For(kEight), "e8");
  EXPECT_EQ(etag.For({8, 3, 80}), "e8") << "an epoch raised for this very document";
  EXPECT_EQ(etag.For(kEightOther), "") << "completed by kept resources, or in conflict";
  EXPECT_EQ(etag.For(kSeven), "");
  etag.Read("e9", kNone, kNine);
  EXPECT_EQ(etag.For(kNine), "") << "faulty";
  etag.Read(std::string(kMaxSourceTagBytes, 'e'), kNine, kNine);
  EXPECT_EQ(etag.For(kNine).size(), kMaxSourceTagBytes);
  etag.Read(std::string(kMaxSourceTagBytes + 1, 'e'), kNine, kNine);
  EXPECT_EQ(etag.For(kNine), "");
  etag.Read("e\r\nX: y", kNine, kNine);
  EXPECT_EQ(etag.For(kNine), "") << "peers would refuse it";
}

}  // namespace
}  // namespace copperlead
