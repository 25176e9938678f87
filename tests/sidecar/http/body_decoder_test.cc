#include "sidecar/http/body_decoder.h"

#include <gtest/gtest.h>

namespace copperlead::sidecar
{
namespace
{

struct Case
{
    const char* description;
    BodyFraming framing;
    const char* bytes;
    const char* body;
    std::size_t consumed;
    bool complete, malformed;
};

const Case cases[] = {
    { "none", { BodyKind::kNone, 0 }, "next", "", 0, true, false },
    { "length", { BodyKind::kLength, 4 }, "bodynext", "body", 4, true, false },
    { "length, truncated", { BodyKind::kLength, 9 }, "body", "body", 4, false, false },
    { "chunks",
      { BodyKind::kChunked, 0 },
      "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\nnext",
      "abcde",
      24,
      true,
      false },
    { "trailers", { BodyKind::kChunked, 0 }, "1\r\na\r\n0\r\nT: x\r\n\r\n", "a", 17, true, false },
    { "chunk, truncated", { BodyKind::kChunked, 0 }, "5\r\nab", "ab", 5, false, false },
    { "no size", { BodyKind::kChunked, 0 }, "\r\n", "", 2, false, true },
    { "bad size", { BodyKind::kChunked, 0 }, "xyz\r\n", "", 5, false, true },
    { "signed size", { BodyKind::kChunked, 0 }, "-1\r\n", "", 4, false, true },
    { "huge size", { BodyKind::kChunked, 0 }, "ffffffffffffffff\r\n", "", 18, false, true },
    { "no line end", { BodyKind::kChunked, 0 }, "1\r\nab\r\n", "a", 7, false, true },
    { "until the end", { BodyKind::kUntilClose, 0 }, "all", "all", 3, false, false },
};

TEST (BodyDecoder, WholeAndByteByByte)
{
    for (const auto& expected : cases)
    {
        const std::string_view bytes = expected.bytes;
        std::string body;
        BodyDecoder whole (expected.framing);
        EXPECT_EQ (whole.feed (bytes, body), expected.consumed) << expected.description;
        EXPECT_EQ (body, expected.body) << expected.description;
        EXPECT_EQ (whole.complete(), expected.complete) << expected.description;
        EXPECT_EQ (whole.malformed(), expected.malformed) << expected.description;

        BodyDecoder incremental (expected.framing);
        std::string incrementalBody, buffer;

        for (const char byte : bytes)
        {
            buffer += byte;
            buffer.erase (0, incremental.feed (buffer, incrementalBody));
        }

        EXPECT_EQ (incrementalBody, expected.body) << expected.description;
        EXPECT_EQ (incremental.complete(), expected.complete) << expected.description;
        EXPECT_EQ (incremental.malformed(), expected.malformed) << expected.description;
    }
}

TEST (BodyDecoder, OnlyABodyWithoutLengthIsCompletedByTheEndOfTheStream)
{
    std::string body;
    BodyDecoder untilClose ({ BodyKind::kUntilClose, 0 });
    untilClose.feed ("all", body);
    EXPECT_TRUE (untilClose.endOfStream());
    BodyDecoder truncated ({ BodyKind::kLength, 9 });
    truncated.feed ("all", body);
    EXPECT_FALSE (truncated.endOfStream());
}

} // namespace
} // namespace copperlead::sidecar
