#include "sidecar/http/outgoing_bytes.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace copperlead::sidecar
{
namespace
{

constexpr std::size_t maxCopiedBytes = 4096;  // Copying a smaller body is cheaper than sharing it.
constexpr std::size_t maxIdleCapacity = 4096; // Memory that a connection keeps between messages.

} // namespace

void OutgoingBytes::append (const Message& message)
{
    text.append (message.head);

    if (message.body.size() <= maxCopiedBytes)
        text.append (message.body.bytes());
    else
        body = message.body;
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
    writtenBytes = 0;

    if (text.capacity() > maxIdleCapacity)
        text.shrink_to_fit();
}

} // namespace copperlead::sidecar
