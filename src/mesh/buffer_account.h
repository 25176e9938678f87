/** Divides a fixed amount of memory among the messages that are being read. This code decides only;
    it does no I/O.

    Memory is reserved before it is filled. A reservation that doesn't fit waits until others end.
    Those that wait are granted in their order, so that a large one isn't overtaken for ever. Small
    ones neither wait behind large ones nor for them: a part of the memory is kept for them.
*/
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace copperlead::mesh
{

/** Not thread-safe. */
class BufferAccount
{
public:
    using Id = std::uint64_t;

    /** Largest size of a small reservation. */
    static constexpr std::size_t smallBytes = 16'384;

    /** @param limitToUse       bytes that all granted reservations have together, at most
        @param keptForSmallOnes part of it that only small reservations get
        @param maxWaitingToUse  reservations that wait at the same time, at most
    */
    BufferAccount (std::size_t limitToUse, std::size_t keptForSmallOnes,
                   std::size_t maxWaitingToUse);

    /** Returns false for a reservation that could never be granted, or that would be one too many
        to wait.
    */
    bool accepts (std::size_t bytes) const;

    /** Reserves memory, either now or once there is room. */
    Id reserve (std::size_t bytes);
    bool isGranted (Id id) const;

    /** Reduces a granted reservation. */
    void shrink (Id id, std::size_t bytes);

    /** Ends a reservation, also one that waits. */
    void release (Id id);

    /** Returns the reservations that have been granted after a wait since the last call. */
    std::vector<Id> takeGranted();

    std::size_t limit() const { return limitBytes; }
    std::size_t used() const { return usedBytes; }
    std::size_t waiting() const { return waitingSmall.size() + waitingLarge.size(); }

private:
    struct Entry
    {
        std::size_t bytes = 0;
        bool granted = false;
    };

    /** Returns the bytes that reservations of this size may use together. */
    std::size_t limitFor (std::size_t bytes) const;
    bool fits (std::size_t bytes) const;
    void grant (Id id);
    void grantWaiting();
    void grantFirst (std::deque<Id>& queue);

    std::size_t limitBytes, keptBytes, maxWaiting;
    std::size_t usedBytes = 0;
    Id lastId = 0;
    std::unordered_map<Id, Entry> entries;
    std::deque<Id> waitingSmall, waitingLarge;
    std::vector<Id> newlyGranted;
};

} // namespace copperlead::mesh
