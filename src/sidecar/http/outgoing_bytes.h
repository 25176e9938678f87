/** Bytes that a connection writes to its socket: text, and then a body that isn't copied. */
#pragma once

#include <string>
#include <string_view>

#include "sidecar/http/body.h"

namespace copperlead::sidecar
{

class OutgoingBytes
{
public:
    /** Appends bytes. Not allowed while endsWithBody(). */
    void append (std::string_view bytes) { text.append (bytes); }
    void append (const Message& message);

    /** Returns true if nothing may be appended until everything is written. */
    bool endsWithBody() const { return ! body.empty(); }

    /** Writes to a socket as much as it accepts.
        @param limit  number of bytes, at most
        @returns the bytes written, or -1 with errno set
    */
    ssize_t write (int descriptor, std::size_t limit);

    std::size_t size() const { return text.size() + body.size(); }
    std::size_t written() const { return writtenBytes; }
    std::size_t remaining() const { return size() - writtenBytes; }
    void clear();

private:
    std::string text;
    Body body;
    std::size_t writtenBytes = 0;
};

} // namespace copperlead::sidecar
