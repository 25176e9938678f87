/** Decodes the body of an HTTP/1.1 message according to its framing. Performs no I/O. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "proxy/http_message.h"

namespace copperlead::sidecar
{

/** Not thread-safe. Well-formed trailer fields are read and discarded. */
class BodyDecoder
{
public:
    explicit BodyDecoder (BodyFraming framing);

    /** Decodes as much as possible from the front of `bytes` and appends it to `body`.
        @param maxBytes  number of bytes that are appended, at most
        @returns the number of bytes consumed; fewer than all at the end of the body, after
                 `maxBytes`, or while an element of the chunked framing is incomplete
    */
    std::size_t feed (std::string_view bytes, std::string& body, std::size_t maxBytes = SIZE_MAX);

    /** Returns true if more bytes of the body are to come, or may come until the connection ends.
     */
    bool expectsData() const
    {
        return (state == State::data && remaining > 0) || state == State::untilClose;
    }

    bool complete() const { return state == State::complete; }
    bool malformed() const { return state == State::malformed; }

    /** Reports that the connection has ended, which completes a body that is delimited by it.
        @returns complete()
    */
    bool endOfStream();

private:
    enum class State : std::uint8_t
    {
        data,       /**< `remaining` bytes of the body or the chunk are still expected. */
        untilClose, /**< The body extends to the end of the connection. */
        chunkSize,  /**< The line with the size of a chunk is next. */
        chunkEnd,   /**< The line break after the data of a chunk is next. */
        trailer,
        complete,
        malformed
    };

    bool readLine (std::string_view& bytes, std::string_view& line);
    void readChunkSize (std::string_view line);

    State state;
    bool chunked;
    std::uint64_t remaining = 0;
    std::size_t trailerBytes = 0;
};

} // namespace copperlead::sidecar
