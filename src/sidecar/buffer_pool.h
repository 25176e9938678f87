/** Memory for messages that are being read or written, reserved before it is filled. To be used on
    the reactor's thread only.
*/
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "base/callback_queue.h"
#include "mesh/buffer_account.h"
#include "transport/reactor.h"

namespace copperlead::sidecar
{

class BufferPool;

/** Memory that is reserved in a pool for as long as this object exists. A default-constructed one
    belongs to no pool and has no limit.
*/
class Reservation
{
public:
    Reservation() = default;
    ~Reservation() { release(); }
    Reservation (Reservation&& other) noexcept;
    Reservation& operator= (Reservation&& other) noexcept;
    Reservation (const Reservation&) = delete;
    Reservation& operator= (const Reservation&) = delete;

    /** Returns whether the memory may be used. */
    bool isGranted() const;

    /** Returns the reserved bytes. */
    std::size_t bytes() const { return size; }

    /** Gives back what exceeds a number of bytes. Has no effect before it is granted. */
    void shrink (std::size_t newSize);
    void release();

private:
    friend class BufferPool;
    std::shared_ptr<BufferPool> pool;
    mesh::BufferAccount::Id id = 0;
    std::size_t size = SIZE_MAX;
};

/** Counters since the process started. */
struct BufferCounters
{
    std::uint64_t waited = 0;  /**< Reservations that were not granted immediately. */
    std::uint64_t refused = 0; /**< Messages that were refused for lack of memory. */
};

class BufferPool : public std::enable_shared_from_this<BufferPool>
{
public:
    BufferPool (std::shared_ptr<Reactor> reactorToUse, const mesh::BufferAccount& accountToUse)
        : reactor (std::move (reactorToUse))
        , account (accountToUse)
    {
    }

    /** Returns false for a reservation that could never be granted, or for which too many wait. */
    bool accepts (std::size_t bytes);

    /** @param onGranted  called after a wait, never before this function returns, and not once the
                          reservation has ended
    */
    Reservation reserve (std::size_t bytes, std::function<void()> onGranted);

    std::size_t limit() const { return account.limit(); }
    std::size_t used() const { return account.used(); }
    std::size_t waiting() const { return account.waiting(); }
    const BufferCounters& counters() const { return counts; }

private:
    friend class Reservation;

    void release (mesh::BufferAccount::Id id);
    void queueGrants();

    std::shared_ptr<Reactor> reactor;
    mesh::BufferAccount account;
    /** Of reservations that waited. */
    std::unordered_map<mesh::BufferAccount::Id, DeferredCallback<>> waitingCallbacks;
    BufferCounters counts;
};

/** The pools for the messages of one direction. Null pools set no limit. */
struct BufferPools
{
    std::shared_ptr<BufferPool> whole;   /**< For bodies up to mesh::wholeBodyBytes. */
    std::shared_ptr<BufferPool> streams; /**< For larger ones, which are passed on. */
    std::shared_ptr<BufferPool> unsized; /**< For larger ones that are held completely. */
};

} // namespace copperlead::sidecar
