#include "mesh/transfer_limit.h"

#include <algorithm>

namespace copperlead::mesh
{

TransferLimit::TransferLimit (Timestamp now, Timestamp deadlineOfRequest,
                              std::optional<std::size_t> remaining)
    : deadline (deadlineOfRequest)
    , announced (remaining)
    , waitingSince (now)
{
}

void TransferLimit::received (Timestamp now, std::size_t bytes)
{
    if (announced)
        *announced -= std::min (*announced, bytes);

    if (now >= deadline)
        lateBytes += bytes;
}

void TransferLimit::setPaused (Timestamp now, bool isPausedNow)
{
    if (isPaused == isPausedNow)
        return;

    earlierLateWait = lateWait (now);
    isPaused = isPausedNow;
    waitingSince = now;
}

Duration TransferLimit::lateWait (Timestamp now) const
{
    if (isPaused)
        return earlierLateWait;

    return earlierLateWait + std::max (now - std::max (waitingSince, deadline), Duration::zero());
}

bool TransferLimit::isExceeded (Timestamp now) const
{
    if (now < deadline)
        return false;

    const bool isTooLarge =
        announced ? lateBytes + *announced > maxLateAnnouncedBytes : lateBytes > maxLateBytes;
    return isTooLarge || lateWait (now) >= maxLateWait;
}

Timestamp TransferLimit::nextCheck (Timestamp now) const
{
    if (now < deadline)
        return deadline;

    return isPaused ? Timestamp::max() : now + (maxLateWait - lateWait (now));
}

} // namespace copperlead::mesh
