#include "mesh/load_query.h"

#include <gtest/gtest.h>

#include <limits>

namespace copperlead::mesh::test
{
namespace
{

LoadQuery query()
{
    LoadQuery result;
    result.number = 7;
    result.service = "desk";
    result.instanceId = "i-1";
    result.route = "lookup";
    result.priority = 2;
    result.timeLeft = Milliseconds (900);
    result.targetLeft = Milliseconds (-20);
    result.usualRunMs = 96.5;
    return result;
}

LoadReply reply()
{
    return { 7, "i-1", AdmissionDecision::wait, HopCause::none, 130.5, 6, 96, 12, 0.25 };
}

TEST (LoadQueryCodec, QueriesAndRepliesAreDecodedUnchanged)
{
    const auto decodedQuery = decodeLoadQuery (encode (query()));
    ASSERT_TRUE (decodedQuery);
    EXPECT_EQ (decodedQuery->number, 7U);
    EXPECT_EQ (decodedQuery->service, "desk");
    EXPECT_EQ (decodedQuery->instanceId, "i-1");
    EXPECT_EQ (decodedQuery->route, "lookup");
    EXPECT_EQ (decodedQuery->priority, 2);
    EXPECT_EQ (decodedQuery->timeLeft, Milliseconds (900));
    EXPECT_EQ (decodedQuery->targetLeft, Milliseconds (-20));
    EXPECT_EQ (decodedQuery->usualRunMs, 96.5);

    const auto decodedReply = decodeLoadReply (encode (reply()));
    ASSERT_TRUE (decodedReply);
    EXPECT_EQ (decodedReply->number, 7U);
    EXPECT_EQ (decodedReply->instanceId, "i-1");
    EXPECT_EQ (decodedReply->decision, AdmissionDecision::wait);
    EXPECT_EQ (decodedReply->cause, HopCause::none);
    EXPECT_EQ (decodedReply->expectedMs, 130.5);
    EXPECT_EQ (decodedReply->load, 6);
    EXPECT_EQ (decodedReply->runMs, 96);
    EXPECT_EQ (decodedReply->bodyTransferMs, 12);
    EXPECT_EQ (decodedReply->failureShare, 0.25);
}

TEST (LoadQueryCodec, ForeignAndTruncatedDatagramsAreRejected)
{
    const auto encodedQuery = encode (query());
    const auto encodedReply = encode (reply());
    EXPECT_FALSE (decodeLoadQuery (encodedReply));
    EXPECT_FALSE (decodeLoadReply (encodedQuery));

    for (const auto& stray : { std::string(), std::string ("hello"), "x" + encodedQuery })
    {
        EXPECT_FALSE (decodeLoadQuery (stray));
        EXPECT_FALSE (decodeLoadReply (stray));
    }

    for (std::size_t size = 0; size < encodedReply.size(); ++size)
        EXPECT_FALSE (decodeLoadReply (encodedReply.substr (0, size))) << size;

    for (std::size_t size = 0; size < encodedQuery.size(); ++size)
        EXPECT_FALSE (decodeLoadQuery (encodedQuery.substr (0, size))) << size;
}

TEST (LoadQueryCodec, ValuesOutOfRangeAreRejected)
{
    for (const double bad : { -1.0, 1e300, std::numeric_limits<double>::infinity(),
                              std::numeric_limits<double>::quiet_NaN() })
    {
        auto loadReply = reply();
        loadReply.expectedMs = bad;
        EXPECT_FALSE (decodeLoadReply (encode (loadReply))) << bad;
        loadReply = reply();
        loadReply.load = bad;
        EXPECT_FALSE (decodeLoadReply (encode (loadReply))) << bad;
        loadReply = reply();
        loadReply.failureShare = bad;
        EXPECT_FALSE (decodeLoadReply (encode (loadReply))) << bad;
        auto loadQuery = query();
        loadQuery.usualRunMs = bad;
        EXPECT_FALSE (decodeLoadQuery (encode (loadQuery))) << bad;
    }

    auto loadReply = reply();
    loadReply.decision = static_cast<AdmissionDecision> (9);
    EXPECT_FALSE (decodeLoadReply (encode (loadReply)));
    loadReply = reply();
    loadReply.cause = static_cast<HopCause> (200);
    EXPECT_FALSE (decodeLoadReply (encode (loadReply)));
    auto loadQuery = query();
    loadQuery.timeLeft = Milliseconds (std::numeric_limits<std::int64_t>::max());
    EXPECT_FALSE (decodeLoadQuery (encode (loadQuery)));
}

} // namespace
} // namespace copperlead::mesh::test
