#include "base/result.h"

#include <gtest/gtest.h>

#include "base/address.h"

namespace copperlead {
namespace {

TEST(ResolveTest, ReturnsTheValue) {
  const auto outcome = Resolve([] { return ParseSocketAddress("127.0.0.1:80"); });
  ASSERT_TRUE(outcome.ok());
  EXPECT_EQ(outcome.value(), (SocketAddress{"127.0.0.1", 80}));
}

TEST(ResolveTest, ReturnsTheErrorWithKindAndPlace) {
  for (const char* text : {"127.0.0.1", "localhost:80", "127.0.0.1:65536", "127.0.0.1:", ":80"}) {
    const auto outcome = Resolve([&] { return ParseSocketAddress(text); });
    ASSERT_FALSE(outcome.ok()) << text;
    EXPECT_EQ(outcome.error().kind, ErrorKind::kBadAddress) << text;
    EXPECT_EQ(outcome.error().place, text);
  }
}

TEST(AddressTest, FormattingReversesParsing) {
  for (const char* text : {"127.0.0.1:80", "[::1]:9000"}) {
    EXPECT_EQ(ToString(Resolve([&] { return ParseSocketAddress(text); }).value()), text);
  }
}

TEST(ErrorAnswerTest, RefusalsAreMarkedNotRunAndSayWhenToComeBack) {
  for (int index = 0; index < static_cast<int>(ErrorKind::kCount); ++index) {
    const auto& answer = AnswerFor(static_cast<ErrorKind>(index));
    const bool refusal = answer.http_status == 503 || answer.http_status == 429;
    EXPECT_EQ(refusal, answer.retry_after_seconds > 0) << answer.name;
    if (refusal) {
      EXPECT_EQ(answer.outcome, RequestOutcome::kNotRun) << answer.name;
    }
    if (answer.http_status >= 502 && answer.http_status != 503) {
      EXPECT_EQ(answer.outcome, RequestOutcome::kUnknown) << answer.name;
    }
  }
}

}  // namespace
}  // namespace copperlead
