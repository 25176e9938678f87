#include "mesh/link_schedule.h"

#include <algorithm>

#include "mesh/milliseconds.h"

namespace copperlead::mesh
{
namespace
{

constexpr double usableShare = 0.95; // The rest of the link is for headers and datagrams.
constexpr double pieceMs = 10;       // Limits how long a small message waits behind a piece.
constexpr std::size_t minPieceBytes = 4096;
// A transfer is due after this multiple of its transmission time. A short transfer thus overtakes a
// long one unless the long one is older by this multiple of the difference.
constexpr double dueFactor = 4;

} // namespace

LinkSchedule::LinkSchedule (double linkBytesPerMs)
    : bytesPerMs (usableShare * linkBytesPerMs)
    , pieceBytes (std::max (static_cast<std::size_t> (bytesPerMs * pieceMs), minPieceBytes))
{
}

LinkSchedule::Id LinkSchedule::add (Timestamp now, std::size_t bytes, bool inParts)
{
    const auto length = fromMilliseconds (dueFactor * msOf (static_cast<double> (bytes)));
    transfers[++lastId] = { now + length, bytes, false, inParts };
    return lastId;
}

void LinkSchedule::remove (Id id) { transfers.erase (id); }

void LinkSchedule::setStalled (Id id, bool stalled)
{
    if (const auto found = transfers.find (id); found != transfers.end())
        found->second.stalled = stalled;
}

std::optional<LinkSchedule::Id> LinkSchedule::first() const
{
    std::optional<Id> best;

    for (const auto& [id, transfer] : transfers)
        if (! transfer.stalled && (! best || transfer.due < transfers.at (*best).due))
            best = id;

    return best;
}

std::optional<LinkSchedule::Id> LinkSchedule::next (Timestamp now) const
{
    return freeAt <= now ? first() : std::nullopt;
}

std::size_t LinkSchedule::allowance (Timestamp now, Id id) const
{
    if (id == unfinished && unfinishedBytes > 0)
        return unfinishedBytes;

    return next (now) == id ? pieceBytes : 0;
}

void LinkSchedule::wrote (Timestamp now, std::size_t bytes)
{
    freeAt = std::max (freeAt, now) + fromMilliseconds (msOf (static_cast<double> (bytes)));
}

void LinkSchedule::wrote (Timestamp now, Id id, std::size_t bytes)
{
    wrote (now, bytes);
    const auto found = transfers.find (id);

    if (found == transfers.end())
        return;

    found->second.left -= std::min (found->second.left, bytes);

    if (! found->second.inParts)
        return;

    const auto allowed = id == unfinished && unfinishedBytes > 0 ? unfinishedBytes : pieceBytes;
    unfinished = id;
    unfinishedBytes = allowed - std::min (allowed, bytes);
}

Timestamp LinkSchedule::nextDue() const { return first() ? freeAt : Timestamp::max(); }

double LinkSchedule::expectedMs (Timestamp now, double bytes) const
{
    const auto due = now + fromMilliseconds (dueFactor * msOf (bytes));
    double ahead = bytes;

    for (const auto& [id, transfer] : transfers)
        if (! transfer.stalled && transfer.due <= due)
            ahead += static_cast<double> (transfer.left);

    return msOf (ahead) + std::max (toMilliseconds (freeAt - now), 0.0);
}

} // namespace copperlead::mesh
