#include "mesh/recent_answers.h"

#include <gtest/gtest.h>

#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

const RequestDigest first{ 1, 0 }, second{ 2, 0 };

TEST (RecentAnswers, RemembersForOneToTwoGenerations)
{
    RecentAnswers answers;
    answers.observe (at (0), first);
    EXPECT_TRUE (answers.contains (at (9'999), first));
    EXPECT_FALSE (answers.contains (at (9'999), second));
    EXPECT_TRUE (answers.contains (at (10'000), first));
    answers.observe (at (15'000), second);
    EXPECT_FALSE (answers.contains (at (20'000), first));
    EXPECT_TRUE (answers.contains (at (20'000), second));
}

TEST (RecentAnswers, NothingIsRememberedAfterALongIdleTime)
{
    RecentAnswers answers;
    answers.observe (at (0), first);
    EXPECT_FALSE (answers.contains (at (60'000), first));
}

TEST (RecentAnswers, IsBounded)
{
    RecentAnswers answers;

    for (std::uint64_t number = 0; number <= RecentAnswers::maxPerGeneration; ++number)
        answers.observe (at (0), { number, 0 });

    EXPECT_TRUE (answers.contains (at (1), { RecentAnswers::maxPerGeneration - 1, 0 }));
    EXPECT_FALSE (answers.contains (at (1), { RecentAnswers::maxPerGeneration, 0 }));
}

} // namespace
} // namespace copperlead::mesh::test
