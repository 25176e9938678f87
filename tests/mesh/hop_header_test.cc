#include "mesh/hop_header.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace copperlead::mesh::test
{
namespace
{

TEST (HopHeader, RequestsRoundTrip)
{
    HopRequest request;
    request.requestId = "9c41.d07";
    request.service = "desk";
    request.callerService = "hub";
    request.instanceId = "i-7";
    request.route = "r-1";
    request.timeLeft = Milliseconds (480);
    request.targetLeft = Milliseconds (-20);
    request.priority = 2;
    request.mayRepeat = true;
    request.usualRunMs = 61;
    const auto read = decodeHopRequest (encode (request));
    ASSERT_TRUE (read);
    EXPECT_EQ (encode (*read), encode (request));
    EXPECT_EQ (read->targetLeft, Milliseconds (-20));
    EXPECT_TRUE (read->mayRepeat);
    EXPECT_FALSE (read->isRepeat);
}

TEST (HopHeader, ReportsRoundTrip)
{
    HopReport report;
    report.outcome = HopOutcome::notRun;
    report.cause = HopCause::nodeStopping;
    report.instanceId = "i-7";
    report.load = 4;
    report.configurationVersion = 31;
    const auto read = decodeHopReport (encode (report));
    ASSERT_TRUE (read);
    EXPECT_EQ (read->outcome, HopOutcome::notRun);
    EXPECT_EQ (read->cause, HopCause::nodeStopping);
    EXPECT_EQ (read->configurationVersion, 31U);
}

TEST (HopHeader, ValuesCannotAddPairsOrLines)
{
    HopRequest request;
    request.requestId = "a;priority=0\r\nX: y";
    request.service = "desk";
    request.priority = 5;
    const auto text = encode (request);
    EXPECT_EQ (text.find ('\r'), std::string::npos);
    EXPECT_EQ (decodeHopRequest (text)->priority, 5);
}

// Guards against ids and names that another node gets with other signs than were sent.
TEST (HopHeader, TextsOfAnyBytesComeOutAsTheyWentIn)
{
    std::vector<std::string> texts{ "Root=1-67891233-abcdef012345678912345678;Sampled=1",
                                    "order 4711 try 7",
                                    "50%",
                                    "%41",
                                    "a%3Bb",
                                    "*",
                                    "id*=x" };

    for (int byte = 1; byte < 256; ++byte)
        texts.push_back ("a" + std::string (1, static_cast<char> (byte)) + "z");

    for (const auto& text : texts)
    {
        HopRequest request;
        HopReport report;

        for (auto* field :
             { &request.requestId, &request.service, &request.callerService, &request.instanceId,
               &request.route, &request.tenant, &report.instanceId })
            *field = text;

        const auto encoded = encode (request) + encode (report);
        EXPECT_TRUE (std::all_of (encoded.begin(), encoded.end(),
                                  [] (char c) { return c > ' ' && c < '\x7f'; }));
        const auto read = decodeHopRequest (encode (request));
        const auto readReport = decodeHopReport (encode (report));
        ASSERT_TRUE (read && readReport) << text;
        EXPECT_EQ (read->requestId, text);
        EXPECT_EQ (read->service, text);
        EXPECT_EQ (read->callerService, text);
        EXPECT_EQ (read->instanceId, text);
        EXPECT_EQ (read->route, text);
        EXPECT_EQ (read->tenant, text);
        EXPECT_EQ (readReport->instanceId, text);
    }
}

// Guards against a release during which nodes of the earlier one get ids that they read before.
TEST (HopHeader, NodesOfEarlierReleasesReadWhatTheyReadBefore)
{
    HopRequest request;
    request.service = "desk";
    request.requestId = "50%=a*b_c";
    EXPECT_TRUE (encode (request).starts_with ("id=50%=a*b_c;service=desk;"));
    request.requestId = "a;b c";
    EXPECT_TRUE (encode (request).starts_with ("id=a_b_c;id*=a%3Bb%20c;service=desk;"));
    EXPECT_EQ (decodeHopRequest ("id=a_b;service=desk")->requestId, "a_b");
}

TEST (HopHeader, TenantsOfAnyNameRoundTrip)
{
    HopRequest request;
    request.service = "desk";
    const auto without = encode (request);
    EXPECT_EQ (without.find ("tenant"), std::string::npos)
        << "a request without a tenant has no tenant pair";

    for (const auto* name : { "plain", "two words", "a;priority=0", "50% \xc3\xa9", "%41" })
    {
        request.tenant = name;
        const auto read = decodeHopRequest (encode (request));
        ASSERT_TRUE (read) << name;
        EXPECT_EQ (read->tenant, name);
        EXPECT_EQ (read->priority, 0);
    }

    EXPECT_FALSE (decodeHopRequest (without + ";tenant=%4"));
    EXPECT_FALSE (decodeHopRequest (without + ";tenant=%zz"));
}

TEST (HopHeader, RejectsMalformedTextAndIgnoresUnknownPairs)
{
    for (const auto* text :
         { "", "service", "service=desk;left=x", "service=desk;left=1e", "id=1" })
        EXPECT_FALSE (decodeHopRequest (text)) << text;

    for (const auto* text : { "outcome=9", "outcome=-1", "outcome=1;cause=99", "outcome" })
        EXPECT_FALSE (decodeHopReport (text)) << text;

    EXPECT_TRUE (decodeHopRequest ("service=desk;later=1"));
}

TEST (HopHeader, StatementsOfTheInstanceRoundTrip)
{
    HopRequest request;
    request.service = "desk";
    EXPECT_FALSE (decodeHopRequest (encode (request))->statedLimit);
    HopReport report;
    EXPECT_FALSE (decodeHopReport (encode (report))->statedLimit);
    EXPECT_FALSE (decodeHopReport (encode (report))->statedLeaving);

    for (const double limit : { 0.0, 1.9, 25.5, 1e-9, 1e12 })
    {
        request.statedLimit = report.statedLimit = limit;
        EXPECT_EQ (decodeHopRequest (encode (request))->statedLimit, limit);
        EXPECT_EQ (decodeHopReport (encode (report))->statedLimit, limit);
    }

    report.statedLeaving = true;
    report.cause = HopCause::instanceLimited;
    report.availableMs = 40;
    const auto read = decodeHopReport (encode (report));
    ASSERT_TRUE (read);
    EXPECT_TRUE (read->statedLeaving);
    EXPECT_EQ (read->cause, HopCause::instanceLimited);
    EXPECT_EQ (read->availableMs, 40);

    for (const auto* text : { "limit=-1", "limit=nan", "limit=inf", "limit=1x" })
        EXPECT_FALSE (decodeHopRequest (std::string ("service=desk;") + text)) << text;
}

} // namespace
} // namespace copperlead::mesh::test
