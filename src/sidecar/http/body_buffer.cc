#include "sidecar/http/body_buffer.h"

#include <algorithm>
#include <utility>

namespace copperlead::sidecar
{

bool BodyBuffer::request (std::size_t size, const std::shared_ptr<BufferPool>& pool,
                          std::function<void()> onGranted)
{
    if (pool == nullptr)
        return true;

    if (! pool->accepts (size))
        return false;

    requested = pool->reserve (size, std::move (onGranted));
    return true;
}

void BodyBuffer::grow()
{
    // The memory so far is released only after its bytes have been moved.
    contents.reserve (std::min (requested->bytes(), maxBytes));
    memory = takeRequested();
}

Reservation BodyBuffer::takeRequested()
{
    return std::exchange (requested, std::nullopt).value_or (Reservation());
}

std::size_t BodyBuffer::capacity() const { return std::min (memory.bytes(), maxBytes); }

Reservation BodyBuffer::takeMemory() { return std::exchange (memory, {}); }

Body BodyBuffer::takeBody()
{
    if (contents.capacity() / 2 > contents.size())
    {
        contents.shrink_to_fit();
        memory.shrink (contents.capacity());
    }

    Body taken (std::move (contents), takeMemory());
    clear();
    return taken;
}

void BodyBuffer::clear()
{
    std::string().swap (contents);
    requested.reset();
    memory = {};
    maxBytes = SIZE_MAX;
}

} // namespace copperlead::sidecar
