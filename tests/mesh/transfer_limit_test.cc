#include "mesh/transfer_limit.h"

#include <gtest/gtest.h>

#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

constexpr std::size_t pieceBytes = 1 << 20;

/** A response that begins at 0 and whose request has its deadline at 1000 ms. */
TransferLimit limitWith (std::optional<std::size_t> remaining)
{
    return { at (0), at (1000), remaining };
}

TEST (TransferLimit, NothingIsLimitedBeforeTheDeadline)
{
    auto limit = limitWith (std::nullopt);

    for (std::size_t bytes = 0; bytes <= 2 * TransferLimit::maxLateBytes; bytes += pieceBytes)
        limit.received (at (999), pieceBytes);

    EXPECT_FALSE (limit.isExceeded (at (999)));
    EXPECT_EQ (limit.nextCheck (at (999)), at (1000));
    EXPECT_FALSE (limitWith (SIZE_MAX).isExceeded (at (999)));
}

TEST (TransferLimit, AResponseThatKeepsItsReceiverWaitingEndsSoonAfterTheDeadline)
{
    for (const auto remaining : { std::optional<std::size_t>(), std::optional (pieceBytes) })
    {
        auto limit = limitWith (remaining);
        EXPECT_FALSE (limit.isExceeded (at (1249)));
        EXPECT_EQ (limit.nextCheck (at (1100)), at (1250));
        // A byte now and then changes nothing.
        limit.received (at (1200), 1);
        EXPECT_TRUE (limit.isExceeded (at (1250)));
    }
}

TEST (TransferLimit, TimeForWhichTheReceiverHoldsItUpDoesNotCount)
{
    auto limit = limitWith (std::nullopt);
    limit.setPaused (at (900), true);
    EXPECT_FALSE (limit.isExceeded (at (60'000)));
    EXPECT_EQ (limit.nextCheck (at (2000)), Timestamp::max());
    limit.setPaused (at (60'000), false);
    EXPECT_FALSE (limit.isExceeded (at (60'249)));
    limit.setPaused (at (60'200), true);
    limit.setPaused (at (70'000), false);
    EXPECT_EQ (limit.nextCheck (at (70'000)), at (70'050));
    EXPECT_TRUE (limit.isExceeded (at (70'050)));
}

TEST (TransferLimit, AResponseOfUnknownLengthEndsAfterSomeBytes)
{
    auto limit = limitWith (std::nullopt);
    limit.setPaused (at (900), true);
    limit.received (at (5000), TransferLimit::maxLateBytes);
    EXPECT_FALSE (limit.isExceeded (at (5000)));
    limit.received (at (5000), 1);
    EXPECT_TRUE (limit.isExceeded (at (5000)));
}

TEST (TransferLimit, AnAnnouncedLengthIsLetThroughUnlessItIsAbsurd)
{
    auto honest = limitWith (4 * TransferLimit::maxLateBytes);
    honest.setPaused (at (900), true);
    honest.received (at (5000), 4 * TransferLimit::maxLateBytes);
    EXPECT_FALSE (honest.isExceeded (at (5000)));

    auto absurd = limitWith (TransferLimit::maxLateAnnouncedBytes + 2);
    absurd.setPaused (at (900), true);
    absurd.received (at (999), 1);
    EXPECT_FALSE (absurd.isExceeded (at (999)));
    EXPECT_TRUE (absurd.isExceeded (at (1000)));
}

} // namespace
} // namespace copperlead::mesh::test
