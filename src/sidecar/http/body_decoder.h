/** Takes a message body out of the bytes behind its head, as its framing says. No I/O. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "proxy/http_message.h"

namespace copperlead::sidecar
{

/** Not thread-safe. Trailers are read and dropped. */
class BodyDecoder
{
public:
    explicit BodyDecoder (BodyFraming framing);

    /** Takes what it can from the front of `bytes`.
        @returns how many bytes it took; fewer than all at the body's end, or while an element of
                 chunked framing is incomplete
    */
    std::size_t feed (std::string_view bytes, std::string& body);

    bool complete() const { return state == State::complete; }
    bool malformed() const { return state == State::malformed; }

    /** The connection ended: completes a body that ends with it. @returns complete() */
    bool endOfStream();

private:
    enum class State : std::uint8_t
    {
        data, /**< `left` bytes of the body or the chunk are to come. */
        untilEnd,
        chunkSize, /**< A line with a chunk's size is next. */
        chunkEnd,  /**< The line end after a chunk's data is next. */
        trailer,
        complete,
        malformed
    };

    bool takeLine (std::string_view& bytes, std::string_view& line);
    void takeChunkSize (std::string_view line);

    State state;
    bool chunked;
    std::uint64_t left = 0;
    std::size_t trailerBytes = 0;
};

} // namespace copperlead::sidecar
