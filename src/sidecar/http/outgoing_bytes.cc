#include "sidecar/http/outgoing_bytes.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

#include <fmt/format.h>

namespace copperlead::sidecar
{
namespace
{

constexpr std::string_view lineBreak = "\r\n", lastChunk = "0\r\n\r\n";
constexpr std::size_t maxCopiedBytes = 4096;  // Copying a smaller body is cheaper than sharing it.
constexpr std::size_t maxIdleCapacity = 4096; // Memory that a connection keeps between messages.

} // namespace

void OutgoingBytes::append (const Message& message)
{
    text.append (message.head);
    stream = message.body.stream();
    isChunked = message.isChunked;
    bytesToCome = message.body.size() - message.body.bytes().size();

    if (stream != nullptr)
        stream->onBytes = onBytes;

    const auto& bytes = message.body.bytes();

    if (isChunked)
        beginChunk (bytes.size());

    if (bytes.size() <= maxCopiedBytes)
        text.append (bytes);
    else
        body = message.body.withoutStream();
}

void OutgoingBytes::beginChunk (std::size_t bytes)
{
    if (std::exchange (chunkOpen, false))
        text.append (lineBreak);

    // An empty chunk would end the body.
    if (bytes == 0)
        return;

    text.append (fmt::format ("{:x}", bytes)).append (lineBreak);
    chunkOpen = true;
}

bool OutgoingBytes::refill()
{
    if (remaining() > 0 || stream == nullptr || stream->hasFailed())
        return remaining() > 0;

    text.clear();
    body = {};
    writtenBytes = 0;
    auto piece = stream->take();
    bytesToCome -= std::min (bytesToCome, piece.size());

    if (isChunked)
    {
        beginChunk (piece.size());
        text.append (piece);
    }
    else
    {
        text = std::move (piece);
    }

    if (! stream->isAtEnd())
        return ! text.empty();

    if (isChunked)
    {
        beginChunk (0);
        text.append (lastChunk);
    }

    dropStream();
    return ! text.empty();
}

void OutgoingBytes::dropStream()
{
    if (const auto dropped = std::exchange (stream, nullptr))
        dropped->onBytes = nullptr;
}

ssize_t OutgoingBytes::write (int descriptor, std::size_t limit)
{
    const std::string_view first = text, second = body.bytes();
    const auto firstLeft = first.substr (std::min (writtenBytes, first.size())).substr (0, limit);
    const auto secondAt = writtenBytes - std::min (writtenBytes, first.size());
    const auto secondLeft = second.substr (secondAt, limit - firstLeft.size());
    std::array<iovec, 2> parts{ iovec{ const_cast<char*> (firstLeft.data()), firstLeft.size() },
                                iovec{ const_cast<char*> (secondLeft.data()), secondLeft.size() } };
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = secondLeft.empty() ? 1 : 2;
    const auto count = ::sendmsg (descriptor, &message, MSG_NOSIGNAL);

    if (count > 0)
        writtenBytes += static_cast<std::size_t> (count);

    return count;
}

void OutgoingBytes::clear()
{
    text.clear();
    body = {};
    dropStream();
    writtenBytes = bytesToCome = 0;
    chunkOpen = false;

    if (text.capacity() > maxIdleCapacity)
        text.shrink_to_fit();
}

} // namespace copperlead::sidecar
