#include "sidecar/http/body_decoder.h"

#include <gtest/gtest.h>

namespace copperlead::sidecar
{
namespace
{

struct Case
{
    const char* what;
    BodyFraming framing;
    const char* bytes;
    const char* body;
    std::size_t taken;
    bool complete, malformed;
};

const Case cases[] = {
    { "none", { BodyKind::kNone, 0 }, "next", "", 0, true, false },
    { "length", { BodyKind::kLength, 4 }, "bodynext", "body", 4, true, false },
    { "length, cut", { BodyKind::kLength, 9 }, "body", "body", 4, false, false },
    { "chunks",
      { BodyKind::kChunked, 0 },
      "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\nnext",
      "abcde",
      24,
      true,
      false },
    { "trailers", { BodyKind::kChunked, 0 }, "1\r\na\r\n0\r\nT: x\r\n\r\n", "a", 17, true, false },
    { "chunk, cut", { BodyKind::kChunked, 0 }, "5\r\nab", "ab", 5, false, false },
    { "no size", { BodyKind::kChunked, 0 }, "\r\n", "", 2, false, true },
    { "bad size", { BodyKind::kChunked, 0 }, "xyz\r\n", "", 5, false, true },
    { "signed size", { BodyKind::kChunked, 0 }, "-1\r\n", "", 4, false, true },
    { "huge size", { BodyKind::kChunked, 0 }, "ffffffffffffffff\r\n", "", 18, false, true },
    { "no line end", { BodyKind::kChunked, 0 }, "1\r\nab\r\n", "a", 7, false, true },
    { "until the end", { BodyKind::kUntilClose, 0 }, "all", "all", 3, false, false },
};

TEST (BodyDecoder, WholeAndByteByByte)
{
    for (const auto& wanted : cases)
    {
        const std::string_view bytes = wanted.bytes;
        std::string body;
        BodyDecoder whole (wanted.framing);
        EXPECT_EQ (whole.feed (bytes, body), wanted.taken) << wanted.what;
        EXPECT_EQ (body, wanted.body) << wanted.what;
        EXPECT_EQ (whole.complete(), wanted.complete) << wanted.what;
        EXPECT_EQ (whole.malformed(), wanted.malformed) << wanted.what;

        BodyDecoder slow (wanted.framing);
        std::string slowBody, buffer;

        for (const char byte : bytes)
        {
            buffer += byte;
            buffer.erase (0, slow.feed (buffer, slowBody));
        }

        EXPECT_EQ (slowBody, wanted.body) << wanted.what;
        EXPECT_EQ (slow.complete(), wanted.complete) << wanted.what;
        EXPECT_EQ (slow.malformed(), wanted.malformed) << wanted.what;
    }
}

TEST (BodyDecoder, OnlyABodyWithoutLengthIsCompletedByTheEnd)
{
    std::string body;
    BodyDecoder open ({ BodyKind::kUntilClose, 0 });
    open.feed ("all", body);
    EXPECT_TRUE (open.endOfStream());
    BodyDecoder cut ({ BodyKind::kLength, 9 });
    cut.feed ("all", body);
    EXPECT_FALSE (cut.endOfStream());
}

} // namespace
} // namespace copperlead::sidecar
