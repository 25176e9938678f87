#include "sidecar/http/body_decoder.h"

#include <algorithm>
#include <charconv>

namespace copperlead::sidecar
{
namespace
{

constexpr std::size_t longestLine = 4096;
constexpr std::size_t mostTrailerBytes = 16384;
constexpr std::size_t mostSizeDigits = 15;
constexpr int hexadecimal = 16;

/** Reads the size before a chunk's data; extensions are passed over. */
bool parseChunkSize (std::string_view line, std::uint64_t& size)
{
    const auto digits = line.substr (0, line.find_first_of ("; \t"));
    const auto* const end = digits.data() + digits.size();

    if (digits.empty() || digits.size() > mostSizeDigits)
        return false;

    const auto [stop, code] = std::from_chars (digits.data(), end, size, hexadecimal);
    return code == std::errc() && stop == end;
}

} // namespace

BodyDecoder::BodyDecoder (BodyFraming framing)
    : chunked (framing.kind == BodyKind::kChunked)
{
    switch (framing.kind)
    {
    case BodyKind::kNone:
        state = State::complete;
        break;
    case BodyKind::kLength:
        state = State::data;
        left = framing.length;
        break;
    case BodyKind::kChunked:
        state = State::chunkSize;
        break;
    case BodyKind::kUntilClose:
        state = State::untilEnd;
        break;
    }
}

bool BodyDecoder::takeLine (std::string_view& bytes, std::string_view& line)
{
    const auto end = bytes.find ("\r\n");

    if (end == std::string_view::npos)
    {
        if (bytes.size() > longestLine)
            state = State::malformed;

        return false;
    }

    line = bytes.substr (0, end);
    bytes.remove_prefix (end + 2);
    return true;
}

void BodyDecoder::takeChunkSize (std::string_view line)
{
    if (! parseChunkSize (line, left))
        state = State::malformed;
    else
        state = left == 0 ? State::trailer : State::data;
}

std::size_t BodyDecoder::feed (std::string_view bytes, std::string& body)
{
    const auto size = bytes.size();

    while (! bytes.empty() && state != State::complete && state != State::malformed)
    {
        std::string_view line;

        if (state == State::data || state == State::untilEnd)
        {
            const auto wanted = state == State::untilEnd
                                    ? bytes.size()
                                    : std::min<std::uint64_t> (left, bytes.size());
            body.append (bytes.substr (0, wanted));
            bytes.remove_prefix (wanted);

            if (state == State::data && (left -= wanted) == 0)
                state = chunked ? State::chunkEnd : State::complete;

            continue;
        }

        if (! takeLine (bytes, line))
            break;

        if (state == State::chunkSize)
            takeChunkSize (line);
        else if (state == State::chunkEnd)
            state = line.empty() ? State::chunkSize : State::malformed;
        else if (line.empty())
            state = State::complete;
        else if ((trailerBytes += line.size()) > mostTrailerBytes)
            state = State::malformed;
    }

    return size - bytes.size();
}

bool BodyDecoder::endOfStream()
{
    if (state == State::untilEnd)
        state = State::complete;

    return complete();
}

} // namespace copperlead::sidecar
