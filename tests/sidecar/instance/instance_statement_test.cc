#include "sidecar/instance/instance_statement.h"

#include <gtest/gtest.h>

namespace copperlead::sidecar::test
{
namespace
{

HeaderNames names()
{
    HeaderNames made;
    made.rateLimit = "X-Limit";
    made.leaving = "X-Leaving";
    return made;
}

TEST (InstanceStatement, AnAnswerWithoutTheFieldsStatesNothing)
{
    const auto statement = statementOf ({ { "X-Other", "5" } }, names());
    EXPECT_FALSE (statement.requestsPerSecond);
    EXPECT_FALSE (statement.leaving);
    EXPECT_TRUE (statement.unusable.empty());
}

TEST (InstanceStatement, ALimitIsADecimalNumber)
{
    for (const auto& [text, limit] :
         std::initializer_list<std::pair<std::string, double>>{ { "25.5", 25.5 },
                                                                { "0", 0 },
                                                                { "0.25", 0.25 },
                                                                { "7.", 7 },
                                                                { ".5", 0.5 },
                                                                { "1000000", 1e6 } })
    {
        const auto statement = statementOf ({ { "x-limit", text } }, names());
        EXPECT_EQ (statement.requestsPerSecond, limit) << text;
        EXPECT_TRUE (statement.unusable.empty()) << text;
    }
}

TEST (InstanceStatement, AMalformedLimitIsIgnoredAndReported)
{
    for (const std::string text :
         { "", "-1", "+1", "nan", "inf", "1e999", "1e3", "0x10", "1,5", "1.2.3", ".", "20 MB",
           "1 2", "111111111111111111111111111111111111111" })
    {
        const auto statement = statementOf ({ { "X-Limit", text } }, names());
        EXPECT_FALSE (statement.requestsPerSecond) << text;
        ASSERT_EQ (statement.unusable.size(), 1U) << text;
        EXPECT_EQ (statement.unusable[0].name, "X-Limit");
        EXPECT_EQ (statement.unusable[0].value, text);
    }
}

TEST (InstanceStatement, ARepeatedFieldIsIgnoredAndReported)
{
    const auto statement = statementOf (
        { { "X-Limit", "5" }, { "X-Limit", "5" }, { "X-Leaving", "1" }, { "X-Leaving", "1" } },
        names());
    EXPECT_FALSE (statement.requestsPerSecond);
    EXPECT_FALSE (statement.leaving);
    EXPECT_EQ (statement.unusable.size(), 2U);
}

TEST (InstanceStatement, OnlyOneMeansThatTheInstanceLeaves)
{
    EXPECT_TRUE (statementOf ({ { "X-Leaving", "1" } }, names()).leaving);

    for (const std::string text : { "", "0", "true", "1.0", "11" })
    {
        const auto statement = statementOf ({ { "X-Leaving", text } }, names());
        EXPECT_FALSE (statement.leaving) << text;
        EXPECT_EQ (statement.unusable.size(), 1U) << text;
    }
}

TEST (InstanceStatement, TheReportedPartOfAValueIsBounded)
{
    const std::string text (10'000, '9');
    const auto statement = statementOf ({ { "X-Limit", text } }, names());
    ASSERT_EQ (statement.unusable.size(), 1U);
    EXPECT_LE (statement.unusable[0].value.size(), 100U);
}

} // namespace
} // namespace copperlead::sidecar::test
