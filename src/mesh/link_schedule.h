/** Schedules the large answers that a node sends over its link. This is decision logic without I/O.

    The load pattern is answers of about 100 KB over a link of 10 Mbit/s, at 0.8 of its capacity,
    together with small answers, calls and datagrams with targets of 150 ms. If the large answers
    were written as they come, they would fill the link's queue for 0.1 to 0.4 s, and all small
    messages would wait behind them or be lost.

    Large answers are therefore written in pieces, no faster than the link transmits them, and one
    after the other. Small messages are sent at once and find the link's queue nearly empty, and
    several large answers are finished sooner on average than if they shared the link. The order
    depends on age and size: short answers overtake long ones, and none starves.
*/
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "base/time.h"

namespace copperlead::mesh
{

/** Number of bytes that a link of 1 Mbit/s transmits in a millisecond. */
inline constexpr double bytesPerMsOfMbps = 1e6 / 8 / 1000;

/** Answers of at least this size are scheduled; smaller ones are written at once. */
inline constexpr std::size_t largeAnswerBytes = 16'384;

/** Not thread-safe. */
class LinkSchedule
{
public:
    using Id = std::uint64_t;

    explicit LinkSchedule (double linkBytesPerMs);

    /** @param inParts  the transfer's bytes become available in parts that may be smaller than a
                        piece; it goes on with its piece as long as that isn't complete
    */
    Id add (Timestamp now, std::size_t bytes, bool inParts = false);
    void remove (Id id);

    /** Sets whether a transfer's receiver accepts no data at present; it is skipped meanwhile. */
    void setStalled (Id id, bool stalled);

    /** The number of bytes of a transfer that may be written now; 0 if it isn't its turn. */
    std::size_t allowance (Timestamp now, Id id) const;

    /** Records bytes written to the link outside of any transfer. */
    void wrote (Timestamp now, std::size_t bytes);

    /** Records bytes of a transfer that were written. */
    void wrote (Timestamp now, Id id, std::size_t bytes);

    /** @returns the transfer whose turn it is, if the link is free for another piece */
    std::optional<Id> next (Timestamp now) const;

    /** The earliest time at which next() may return a transfer; the largest time if none waits. */
    Timestamp nextDue() const;

    /** The expected time until an additional large answer would be transmitted. */
    double expectedMs (Timestamp now, double bytes) const;

    std::size_t waiting() const { return transfers.size(); }

private:
    struct Transfer
    {
        Timestamp due{}; /**< Determines the order; the earliest goes first. */
        std::size_t left = 0;
        bool stalled = false;
        bool inParts = false;
    };

    double msOf (double bytes) const { return bytes / bytesPerMs; }
    std::optional<Id> first() const;

    double bytesPerMs;
    std::size_t pieceBytes;
    Timestamp freeAt{}; /**< When everything written so far is transmitted. */
    std::map<Id, Transfer> transfers;
    Id lastId = 0;
    Id unfinished = 0;               /**< The transfer in parts that wrote last. */
    std::size_t unfinishedBytes = 0; /**< What it may still write of its piece. */
};

} // namespace copperlead::mesh
