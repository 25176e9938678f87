/** Limits the rest of a large response that is passed on while it arrives. Makes decisions only and
    does no I/O.

    A response that never ends would occupy its instance, its connections and its client for as long
    as they bear it. Until the deadline of its request it looks like any other one. A response that
    is ready by then arrives as fast as its receiver takes it, so it is let through, however slow
    the receiver is: time for which the receiver holds the response up isn't counted.
*/
#pragma once

#include <cstddef>
#include <optional>

#include "base/time.h"

namespace copperlead::mesh
{

/** Not thread-safe. */
class TransferLimit
{
public:
    /** Time for which the receiver may wait for bytes after the deadline, in total. */
    static constexpr Milliseconds maxLateWait{ 250 };

    /** Bytes of a response of unknown length that may arrive after the deadline. */
    static constexpr std::size_t maxLateBytes = 32 << 20;

    /** As above, of a response whose length is announced. */
    static constexpr std::size_t maxLateAnnouncedBytes = 1 << 30;

    /** @param remaining  bytes that are to come; nothing if that isn't known */
    TransferLimit (Timestamp now, Timestamp deadlineOfRequest,
                   std::optional<std::size_t> remaining);

    /** Reports bytes that have arrived. */
    void received (Timestamp now, std::size_t bytes);

    /** Reports whether the receiver takes no bytes for now. */
    void setPaused (Timestamp now, bool isPausedNow);

    /** @returns true if the response has to be broken off */
    bool isExceeded (Timestamp now) const;

    /** @returns the earliest time at which isExceeded() can become true without another report;
                 Timestamp::max() while the response is paused after the deadline
    */
    Timestamp nextCheck (Timestamp now) const;

private:
    Duration lateWait (Timestamp now) const;

    Timestamp deadline;
    std::optional<std::size_t> announced; /**< Of those, the bytes that are still to come. */
    std::size_t lateBytes = 0;
    bool isPaused = false;
    Timestamp waitingSince;
    Duration earlierLateWait{}; /**< Before the latest pause. */
};

} // namespace copperlead::mesh
