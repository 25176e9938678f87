#include "sidecar/buffer_pool.h"

#include <utility>

namespace copperlead::sidecar
{

Reservation::Reservation (Reservation&& other) noexcept
    : pool (std::move (other.pool))
    , id (std::exchange (other.id, 0))
    , size (std::exchange (other.size, SIZE_MAX))
{
}

Reservation& Reservation::operator= (Reservation&& other) noexcept
{
    if (this == &other)
        return *this;

    release();
    pool = std::move (other.pool);
    id = std::exchange (other.id, 0);
    size = std::exchange (other.size, SIZE_MAX);
    return *this;
}

bool Reservation::isGranted() const { return pool == nullptr || pool->account.isGranted (id); }

void Reservation::shrink (std::size_t newSize)
{
    if (pool == nullptr || ! isGranted() || newSize >= size)
        return;

    size = newSize;
    pool->account.shrink (id, newSize);
    pool->queueGrants();
}

void Reservation::release()
{
    if (const auto owner = std::exchange (pool, nullptr))
        owner->release (id);

    id = 0;
    size = SIZE_MAX;
}

bool BufferPool::accepts (std::size_t bytes)
{
    const bool accepted = account.accepts (bytes);
    counts.refused += accepted ? 0 : 1;
    return accepted;
}

Reservation BufferPool::reserve (std::size_t bytes, std::function<void()> onGranted)
{
    Reservation made;
    made.pool = shared_from_this();
    made.id = account.reserve (bytes);
    made.size = bytes;

    if (! made.isGranted())
    {
        ++counts.waited;
        waitingCallbacks.emplace (made.id,
                                  DeferredCallback<> (reactor->callbacks(), std::move (onGranted)));
    }

    return made;
}

void BufferPool::release (mesh::BufferAccount::Id id)
{
    if (auto waiting = waitingCallbacks.extract (id))
        waiting.mapped().Cancel();

    account.release (id);
    queueGrants();
}

void BufferPool::queueGrants()
{
    for (const auto id : account.takeGranted())
        if (const auto found = waitingCallbacks.find (id); found != waitingCallbacks.end())
            found->second();
}

} // namespace copperlead::sidecar
