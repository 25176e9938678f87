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
    pool->scheduleGrants();
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
        waitingCallbacks.emplace (made.id, std::move (onGranted));
    }

    return made;
}

void BufferPool::release (mesh::BufferAccount::Id id)
{
    waitingCallbacks.erase (id);
    account.release (id);
    scheduleGrants();
}

void BufferPool::scheduleGrants()
{
    // The callbacks are not called from here, since they may change what the caller still uses.
    if (account.hasGranted())
        reactor->Post (
            [weak = weak_from_this()]
            {
                if (const auto self = weak.lock())
                    self->deliverGrants();
            });
}

void BufferPool::deliverGrants()
{
    // A callback may end other reservations, so each one is looked up when its turn has come.
    for (const auto id : account.takeGranted())
        if (const auto found = waitingCallbacks.extract (id))
            found.mapped()();
}

} // namespace copperlead::sidecar
