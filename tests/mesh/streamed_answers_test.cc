#include "mesh/streamed_answers.h"

#include <gtest/gtest.h>

#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

TEST (StreamedAnswers, AreLikelyOnRoutesThatHaveLatelyHadOne)
{
    StreamedAnswers answers;
    EXPECT_FALSE (answers.areLikely (at (0), "down"));
    answers.record (at (0), "down");
    EXPECT_TRUE (answers.areLikely (at (60'000), "down"));
    EXPECT_FALSE (answers.areLikely (at (60'000), "look"));
    EXPECT_FALSE (answers.areLikely (at (3'600'000), "down"));
}

} // namespace
} // namespace copperlead::mesh::test
