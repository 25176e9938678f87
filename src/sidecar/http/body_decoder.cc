#include "sidecar/http/body_decoder.h"

#include <algorithm>
#include <charconv>

namespace copperlead::sidecar
{
namespace
{

constexpr std::size_t maxLineBytes = 4096;
constexpr std::size_t maxTrailerBytes = 16384;
constexpr std::size_t maxSizeDigits = 15;
constexpr int hexadecimal = 16;

/** Parses the size in front of a chunk's data; chunk extensions are ignored. */
bool parseChunkSize (std::string_view line, std::uint64_t& size)
{
    if (! IsFieldValue (line))
        return false;

    const auto digits = line.substr (0, line.find_first_of ("; \t"));
    const auto* const end = digits.data() + digits.size();

    if (digits.empty() || digits.size() > maxSizeDigits)
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
        remaining = framing.length;
        break;
    case BodyKind::kChunked:
        state = State::chunkSize;
        break;
    case BodyKind::kUntilClose:
        state = State::untilClose;
        break;
    }
}

bool BodyDecoder::readLine (std::string_view& bytes, std::string_view& line)
{
    const auto end = bytes.find ("\r\n");

    if (end == std::string_view::npos)
    {
        if (bytes.size() > maxLineBytes)
            state = State::malformed;

        return false;
    }

    line = bytes.substr (0, end);
    bytes.remove_prefix (end + 2);
    return true;
}

void BodyDecoder::readChunkSize (std::string_view line)
{
    if (! parseChunkSize (line, remaining))
        state = State::malformed;
    else
        state = remaining == 0 ? State::trailer : State::data;
}

std::size_t BodyDecoder::feed (std::string_view bytes, std::string& body, std::size_t maxBytes)
{
    const auto size = bytes.size();

    while (! bytes.empty() && state != State::complete && state != State::malformed)
    {
        std::string_view line;

        if (state == State::data || state == State::untilClose)
        {
            const auto available = std::min (bytes.size(), maxBytes);
            const auto wanted = state == State::untilClose
                                    ? available
                                    : std::min<std::uint64_t> (remaining, available);

            if (wanted == 0)
                break;

            body.append (bytes.substr (0, wanted));
            bytes.remove_prefix (wanted);
            maxBytes -= wanted;

            if (state == State::data && (remaining -= wanted) == 0)
                state = chunked ? State::chunkEnd : State::complete;

            continue;
        }

        if (! readLine (bytes, line))
            break;

        if (state == State::chunkSize)
            readChunkSize (line);
        else if (state == State::chunkEnd)
            state = line.empty() ? State::chunkSize : State::malformed;
        else if (line.empty())
            state = State::complete;
        else if (! IsFieldLine (line) || (trailerBytes += line.size()) > maxTrailerBytes)
            state = State::malformed;
    }

    return size - bytes.size();
}

bool BodyDecoder::endOfStream()
{
    if (state == State::untilClose)
        state = State::complete;

    return complete();
}

} // namespace copperlead::sidecar
