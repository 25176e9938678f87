/** Shares a node's link among the large answers that it sends. Deciding code without I/O.

    Load pattern: answers of some 100 KB over a link of 10 Mbit/s, at 0.8 of what it carries, beside
    small answers, calls and datagrams with targets of 150 ms. Written as they come, the large ones
    fill the link's queue for 0.1 to 0.4 s, and everything small waits behind them or is lost.

    So large answers are written in pieces, no faster than the link carries them, and one after the
    other: what is small goes at once and finds the link's queue nearly empty, and of several large
    ones each is through sooner than if they shared the link. An answer's turn comes by its age and
    its size: short ones overtake long ones, and nobody starves.
*/
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "base/time.h"

namespace copperlead::mesh
{

/** What a link of 1 Mbit/s carries in a millisecond. */
inline constexpr double bytesPerMsOfMbps = 1e6 / 8 / 1000;

/** Answers of that many bytes take turns; smaller ones are written at once. */
inline constexpr std::size_t largeAnswerBytes = 16'384;

/** Not thread-safe. */
class LinkSchedule
{
public:
    using Id = std::uint64_t;

    explicit LinkSchedule (double linkBytesPerMs);

    Id add (Timestamp now, std::size_t bytes);
    void remove (Id id);

    /** Its receiver takes nothing at present, or does again: others go first meanwhile. */
    void setStalled (Id id, bool stalled);

    /** How many bytes of a transfer may be written now; 0: it isn't its turn. */
    std::size_t allowance (Timestamp now, Id id) const;

    /** Something was written to the link. */
    void wrote (Timestamp now, std::size_t bytes);

    /** So much of a transfer was written. */
    void wrote (Timestamp now, Id id, std::size_t bytes);

    /** @returns the transfer whose turn it is, if the link is free for a further piece */
    std::optional<Id> next (Timestamp now) const;

    /** When next() may return a transfer; the largest time when none waits for its turn. */
    Timestamp nextDue() const;

    /** Until a further large answer would be through. */
    double expectedMs (Timestamp now, double bytes) const;

    std::size_t waiting() const { return transfers.size(); }

private:
    struct Transfer
    {
        Timestamp due{}; /**< Its place among the others. */
        std::size_t left = 0;
        bool stalled = false;
    };

    double msOf (double bytes) const { return bytes / bytesPerMs; }
    std::optional<Id> first() const;

    double bytesPerMs;
    std::size_t pieceBytes;
    Timestamp freeAt{}; /**< When all that was written is through. */
    std::map<Id, Transfer> transfers;
    Id lastId = 0;
};

} // namespace copperlead::mesh
