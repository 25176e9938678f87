/** Bytes that a connection writes to its socket: text, and then a body that isn't copied and whose
    rest may still have to arrive.
*/
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "sidecar/http/body.h"

namespace copperlead::sidecar
{

class OutgoingBytes
{
public:
    OutgoingBytes() = default;
    ~OutgoingBytes() { clear(); }
    OutgoingBytes (const OutgoingBytes&) = delete;
    OutgoingBytes& operator= (const OutgoingBytes&) = delete;

    /** Appends bytes. Not allowed while endsWithBody(). */
    void append (std::string_view bytes) { text.append (bytes); }

    /** Appends a message, whose body may still have to arrive. Not allowed while endsWithBody(). */
    void append (const Message& message);

    /** Called when the rest of a body has bytes, or its end, after it had none. */
    std::function<void()> onBytes;

    /** Returns true if nothing may be appended until everything is written. */
    bool endsWithBody() const { return ! body.empty() || stream != nullptr; }

    /** Writes to a socket as much as it accepts.
        @param limit  number of bytes, at most
        @returns the bytes written, or -1 with errno set
    */
    ssize_t write (int descriptor, std::size_t limit);

    /** Continues with what has arrived of the body once everything else is written.
        @returns false if there is nothing to write now
    */
    bool refill();

    /** Returns what is left to be written, including what is still to come if that is known. */
    std::size_t expectedBytes() const { return remaining() + bytesToCome; }

    /** Returns true if bytes of the body, or its end, are still to come. */
    bool awaitsBody() const { return stream != nullptr; }

    /** Returns true if the rest of the body won't come. */
    bool hasFailed() const { return stream != nullptr && stream->hasFailed(); }

    /** Bytes written since the last clear() or refill(). */
    std::size_t written() const { return writtenBytes; }
    std::size_t remaining() const { return size() - writtenBytes; }

    /** Returns true if everything has been written, including what was still to come. */
    bool isFinished() const { return remaining() == 0 && ! awaitsBody(); }
    void clear();

private:
    std::size_t size() const { return text.size() + body.size(); }

    /** Ends the chunk before, if there is one, and announces the next one, unless it is empty. */
    void beginChunk (std::size_t bytes);
    void dropStream();

    std::string text;
    Body body; /**< Has no stream. */
    std::shared_ptr<BodyStream> stream;
    bool isChunked = false;
    bool chunkOpen = false;      /**< The line break behind a chunk is still to be written. */
    std::size_t bytesToCome = 0; /**< As far as it is known. */
    std::size_t writtenBytes = 0;
};

} // namespace copperlead::sidecar
