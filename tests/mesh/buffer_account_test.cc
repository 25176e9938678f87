#include "mesh/buffer_account.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace copperlead::mesh
{
namespace
{

constexpr std::size_t small = BufferAccount::smallBytes;

TEST (BufferAccount, AReservationThatDoesntFitWaitsUntilOthersEnd)
{
    BufferAccount account (100'000, 0, 8);
    const auto first = account.reserve (70'000), second = account.reserve (60'000);
    EXPECT_TRUE (account.isGranted (first));
    EXPECT_FALSE (account.isGranted (second));
    EXPECT_EQ (account.waiting(), 1U);
    account.release (first);
    EXPECT_EQ (account.takeGranted(), std::vector{ second });
    EXPECT_EQ (account.used(), 60'000U);
    EXPECT_TRUE (account.takeGranted().empty());
}

// Guards against a large body that smaller ones overtake until its client has left.
TEST (BufferAccount, ALargeReservationIsNotOvertaken)
{
    BufferAccount account (100'000, 0, 8);
    const auto running = account.reserve (50'000);
    const auto large = account.reserve (90'000), later = account.reserve (20'000);
    EXPECT_FALSE (account.isGranted (later));
    account.release (running);
    EXPECT_EQ (account.takeGranted(), std::vector{ large });
    account.release (large);
    EXPECT_EQ (account.takeGranted(), std::vector{ later });
}

// Guards against small requests that wait until large ones have arrived.
TEST (BufferAccount, SmallReservationsDontWaitForLargeOnes)
{
    BufferAccount account (100'000, 2 * small, 8);
    const auto large = account.reserve (100'000 - 2 * small);
    const auto waiting = account.reserve (small + 1);
    EXPECT_TRUE (account.isGranted (large));
    EXPECT_FALSE (account.isGranted (waiting));
    EXPECT_TRUE (account.isGranted (account.reserve (small)));
    EXPECT_TRUE (account.isGranted (account.reserve (small)));
    EXPECT_FALSE (account.isGranted (account.reserve (1)));
}

TEST (BufferAccount, RefusesWhatCanNeverBeGrantedAndOneTooManyToWait)
{
    BufferAccount account (100'000, small, 2);
    EXPECT_FALSE (account.accepts (100'000 - small + 1));
    EXPECT_TRUE (account.accepts (100'000 - small));
    account.reserve (80'000);
    account.reserve (20'000);
    EXPECT_TRUE (account.accepts (20'000));
    account.reserve (20'000);
    EXPECT_FALSE (account.accepts (20'000));
    EXPECT_TRUE (account.accepts (small)) << "it doesn't have to wait";
}

TEST (BufferAccount, WhatIsGivenBackIsGrantedToTheNext)
{
    BufferAccount account (100'000, 0, 8);
    const auto first = account.reserve (100'000), second = account.reserve (40'000);
    account.shrink (first, 70'000);
    EXPECT_FALSE (account.isGranted (second));
    account.shrink (first, 60'000);
    EXPECT_EQ (account.takeGranted(), std::vector{ second });
    account.shrink (first, 80'000);
    EXPECT_EQ (account.used(), 100'000U) << "a reservation doesn't grow";
}

TEST (BufferAccount, AReservationThatEndsWhileItWaitsLetsTheNextThrough)
{
    BufferAccount account (100'000, 0, 8);
    account.reserve (50'000);
    const auto tooLarge = account.reserve (60'000), fitting = account.reserve (50'000);
    account.release (tooLarge);
    EXPECT_EQ (account.takeGranted(), std::vector{ fitting });
}

TEST (BufferAccount, OneThatEndsBeforeItsGrantWasTakenIsNotReported)
{
    BufferAccount account (100'000, 0, 8);
    const auto first = account.reserve (100'000), second = account.reserve (100'000);
    account.release (first);
    account.release (second);
    EXPECT_TRUE (account.takeGranted().empty());
    EXPECT_EQ (account.used(), 0U);
}

TEST (BufferAccount, GrantedReservationsNeverExceedTheLimitInAnyOrderOfEvents)
{
    for (unsigned seed = 1; seed <= 50; ++seed)
    {
        std::mt19937 random (seed);
        BufferAccount account (1'000'000, 5 * small, 20);
        std::map<BufferAccount::Id, std::size_t> open;

        for (int step = 0; step < 2000; ++step)
        {
            const std::size_t bytes = 1 + random() % (random() % 2 == 0 ? small : 500'000);
            const auto some =
                open.empty() ? open.end()
                             : std::next (open.begin(),
                                          static_cast<std::ptrdiff_t> (random() % open.size()));

            if (random() % 2 == 0 && account.accepts (bytes))
                open.emplace (account.reserve (bytes), bytes);
            else if (some != open.end() && random() % 3 == 0 && account.isGranted (some->first))
                account.shrink (some->first, some->second /= 2);
            else if (some != open.end())
                account.release (some->first), open.erase (some);

            std::size_t used = 0;

            for (const auto& [id, size] : open)
                used += account.isGranted (id) ? size : 0;

            ASSERT_EQ (account.used(), used) << "seed " << seed << " step " << step;
            ASSERT_LE (used, account.limit());
            ASSERT_LE (account.waiting(), 20U);
        }

        for (const auto& [id, size] : std::map (open))
            account.release (id);

        ASSERT_EQ (account.used(), 0U);
        ASSERT_EQ (account.waiting(), 0U);
    }
}

} // namespace
} // namespace copperlead::mesh
