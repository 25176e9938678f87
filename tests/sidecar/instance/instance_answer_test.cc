#include "sidecar/instance/instance_answer.h"

#include <gtest/gtest.h>

namespace copperlead::sidecar::test
{
namespace
{

using mesh::HopCause;
using mesh::HopOutcome;

HeaderNames names()
{
    HeaderNames made;
    made.signature = "X-Seal";
    made.notRun = "X-Not-Run";
    return made;
}

CallResult answered (int status, HeaderFields fields)
{
    CallResult result;
    result.end = CallEnd::answered;
    result.head.status = status;
    result.head.fields = std::move (fields);
    return result;
}

void expectVerdict (const CallResult& result, HopOutcome outcome, HopCause cause)
{
    const auto verdict = judgeInstanceAnswer (result, names());
    EXPECT_EQ (verdict.outcome, outcome);
    EXPECT_EQ (verdict.cause, cause);
}

TEST (InstanceAnswer, ASignedSuccessHasRun)
{
    expectVerdict (answered (200, { { "X-Seal", "s" } }), HopOutcome::ran, HopCause::none);
    expectVerdict (answered (500, {}), HopOutcome::ran, HopCause::none);
}

TEST (InstanceAnswer, AnUnsignedTwiceSignedOrEncodedSuccessIsBroken)
{
    for (const auto& fields :
         { HeaderFields{}, HeaderFields{ { "X-Seal", "a" }, { "X-Seal", "b" } },
           HeaderFields{ { "X-Seal", "a" }, { "Content-Encoding", "gzip" } } })
        expectVerdict (answered (200, fields), HopOutcome::unknown, HopCause::answerBroken);
}

TEST (InstanceAnswer, ARejectionHasNotRun)
{
    expectVerdict (answered (503, { { "X-Not-Run", "1" } }), HopOutcome::rejected,
                   HopCause::instanceRejected);
    expectVerdict (answered (421, { { "X-Not-Run", "1" } }), HopOutcome::rejected,
                   HopCause::otherInstance);
}

TEST (InstanceAnswer, OnlyARequestThatWasNeverSentHasCertainlyNotRun)
{
    CallResult result;
    result.end = CallEnd::notConnected;
    expectVerdict (result, HopOutcome::notRun, HopCause::instanceDown);
    result.end = CallEnd::connectionLost;
    expectVerdict (result, HopOutcome::unknown, HopCause::answerLost);
    result.end = CallEnd::timedOut;
    expectVerdict (result, HopOutcome::unknown, HopCause::answerLost);
    result.end = CallEnd::broken;
    expectVerdict (result, HopOutcome::unknown, HopCause::answerBroken);
}

} // namespace
} // namespace copperlead::sidecar::test
