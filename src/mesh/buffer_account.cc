#include "mesh/buffer_account.h"

#include <algorithm>
#include <utility>

namespace copperlead::mesh
{

BufferAccount::BufferAccount (std::size_t limitToUse, std::size_t keptForSmallOnes,
                              std::size_t maxWaitingToUse)
    : limitBytes (limitToUse)
    , keptBytes (std::min (keptForSmallOnes, limitToUse))
    , maxWaiting (maxWaitingToUse)
{
}

std::size_t BufferAccount::limitFor (std::size_t bytes) const
{
    return bytes <= smallBytes ? limitBytes : limitBytes - keptBytes;
}

bool BufferAccount::fits (std::size_t bytes) const { return usedBytes + bytes <= limitFor (bytes); }

bool BufferAccount::accepts (std::size_t bytes) const
{
    if (bytes > limitFor (bytes))
        return false;

    const bool isFirst = bytes <= smallBytes ? waitingSmall.empty() : waitingLarge.empty();
    return (isFirst && fits (bytes)) || waiting() < maxWaiting;
}

BufferAccount::Id BufferAccount::reserve (std::size_t bytes)
{
    const auto id = ++lastId;
    entries[id].bytes = bytes;
    auto& queue = bytes <= smallBytes ? waitingSmall : waitingLarge;

    if (queue.empty() && fits (bytes))
        grant (id);
    else
        queue.push_back (id);

    return id;
}

bool BufferAccount::isGranted (Id id) const
{
    const auto found = entries.find (id);
    return found != entries.end() && found->second.granted;
}

void BufferAccount::grant (Id id)
{
    auto& entry = entries.at (id);
    entry.granted = true;
    usedBytes += entry.bytes;
}

void BufferAccount::shrink (Id id, std::size_t bytes)
{
    const auto found = entries.find (id);

    if (found == entries.end() || ! found->second.granted || bytes >= found->second.bytes)
        return;

    usedBytes -= found->second.bytes - bytes;
    found->second.bytes = bytes;
    grantWaiting();
}

void BufferAccount::release (Id id)
{
    const auto found = entries.extract (id);

    if (! found)
        return;

    if (found.mapped().granted)
    {
        usedBytes -= found.mapped().bytes;
        std::erase (newlyGranted, id);
    }
    else
    {
        std::erase (waitingSmall, id);
        std::erase (waitingLarge, id);
    }

    grantWaiting();
}

void BufferAccount::grantFirst (std::deque<Id>& queue)
{
    while (! queue.empty() && fits (entries.at (queue.front()).bytes))
    {
        const auto id = queue.front();
        queue.pop_front();
        grant (id);
        newlyGranted.push_back (id);
    }
}

void BufferAccount::grantWaiting()
{
    grantFirst (waitingSmall);
    grantFirst (waitingLarge);
}

std::vector<BufferAccount::Id> BufferAccount::takeGranted()
{
    return std::exchange (newlyGranted, {});
}

} // namespace copperlead::mesh
