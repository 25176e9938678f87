#include "mesh/crash_watch.h"

#include <gtest/gtest.h>

namespace copperlead::mesh
{
namespace
{

const RequestDigest first{ 1, 0 }, second{ 2, 0 };

Timestamp at (int milliseconds) { return Timestamp (Milliseconds (milliseconds)); }

/** Returns a watch with one run of the first request, from 0 ms to 40 ms, that got no answer. */
CrashWatch watchWithLostAnswer()
{
    CrashWatch watch (7);
    watch.recordLostAnswer (at (40), at (0), first);
    return watch;
}

TEST (CrashWatch, ALostAnswerAloneIsNoCrash)
{
    auto watch = watchWithLostAnswer();
    EXPECT_TRUE (watch.hasUnexplainedRuns());
    EXPECT_FALSE (watch.takeReport());
}

TEST (CrashWatch, ReportsAllRunsOfAnInstanceThatIsGone)
{
    auto watch = watchWithLostAnswer();
    watch.recordLostAnswer (at (41), at (10), second);
    watch.instanceGone (at (50));
    const auto report = watch.takeReport();
    ASSERT_TRUE (report);
    EXPECT_EQ (report->requests, (std::vector{ first, second }));
    EXPECT_FALSE (watch.takeReport());
}

TEST (CrashWatch, AnAnswerToALaterRequestShowsThatTheInstanceIsAlive)
{
    auto watch = watchWithLostAnswer();
    watch.recordAnswer (at (60), at (41));
    watch.instanceGone (at (500));
    EXPECT_FALSE (watch.takeReport());
}

TEST (CrashWatch, AnAnswerToAnEarlierRequestProvesNothing)
{
    auto watch = watchWithLostAnswer();
    watch.recordAnswer (at (60), at (39));
    watch.instanceGone (at (50));
    EXPECT_TRUE (watch.takeReport());
}

TEST (CrashWatch, RunsThatEndAfterTheDetectionBelongToTheSameCrash)
{
    auto watch = watchWithLostAnswer();
    watch.instanceGone (at (50));
    const auto firstReport = watch.takeReport();
    watch.recordLostAnswer (at (51), at (10), second);
    watch.instanceGone (at (60));
    const auto laterReport = watch.takeReport();
    ASSERT_TRUE (firstReport && laterReport);
    EXPECT_EQ (firstReport->crash, laterReport->crash);
    EXPECT_EQ (laterReport->requests, std::vector{ second });
}

TEST (CrashWatch, TheNextCrashHasAnotherId)
{
    auto watch = watchWithLostAnswer();
    watch.instanceGone (at (50));
    const auto firstReport = watch.takeReport();
    watch.instanceRestarted (at (2000));
    watch.recordLostAnswer (at (2050), at (2010), first);
    watch.instanceGone (at (2060));
    const auto nextReport = watch.takeReport();
    ASSERT_TRUE (firstReport && nextReport);
    EXPECT_NE (firstReport->crash, nextReport->crash);
}

TEST (CrashWatch, IgnoresRunsThatBeganAtAFormerIncarnation)
{
    auto watch = watchWithLostAnswer();
    watch.instanceGone (at (50));
    watch.takeReport();
    watch.instanceRestarted (at (2000));
    watch.recordLostAnswer (at (2001), at (30), second);
    watch.instanceGone (at (3000));
    EXPECT_FALSE (watch.takeReport());
}

TEST (CrashWatch, AnyAnswerLongAfterALostOneShowsThatTheInstanceIsAlive)
{
    auto watch = watchWithLostAnswer();
    watch.recordAnswer (at (41) + CrashWatch::maxHandlingDelay, at (10));
    watch.instanceGone (at (500));
    EXPECT_FALSE (watch.takeReport());
}

TEST (CrashWatch, DoesNotReportRunsThatEndedLongBefore)
{
    auto watch = watchWithLostAnswer();
    watch.recordLostAnswer (at (700), at (20), second);
    watch.instanceGone (at (710));
    const auto report = watch.takeReport();
    ASSERT_TRUE (report);
    EXPECT_EQ (report->requests, std::vector{ second });
}

TEST (CrashWatch, DoesNotReportRequestsSentAfterACrashDetectedLate)
{
    auto watch = watchWithLostAnswer();

    for (int sent = 0; sent < 1000; ++sent)
        watch.recordLostAnswer (at (52 + 2 * sent), at (51 + 2 * sent), second);

    watch.instanceReplaced (at (3000));
    const auto report = watch.takeReport();
    ASSERT_TRUE (report);
    EXPECT_EQ (report->requests, std::vector{ first });
}

constexpr Timestamp noRuns = Timestamp::max();

/** Two health probes, 100 ms apart, end without an answer. */
void failTwoProbes (CrashWatch& watch, Timestamp oldestRun)
{
    watch.recordFailedProbe (at (140), oldestRun);
    watch.recordFailedProbe (at (240), oldestRun);
}

TEST (CrashWatch, AnInstanceThatAnswersNoProbeIsGone)
{
    auto watch = watchWithLostAnswer();
    failTwoProbes (watch, noRuns);
    const auto report = watch.takeReport();
    ASSERT_TRUE (report);
    EXPECT_EQ (report->requests, std::vector{ first });
}

TEST (CrashWatch, OneUnansweredProbeProvesNothing)
{
    auto watch = watchWithLostAnswer();
    watch.recordFailedProbe (at (140), noRuns);
    EXPECT_FALSE (watch.takeReport());
}

TEST (CrashWatch, UnansweredProbesCountFromTheLastAnswerOn)
{
    auto watch = watchWithLostAnswer();
    watch.recordFailedProbe (at (140), noRuns);
    watch.recordAnswer (at (150), at (30));
    watch.recordLostAnswer (at (200), at (160), second);
    watch.recordFailedProbe (at (240), noRuns);
    EXPECT_FALSE (watch.takeReport());
}

TEST (CrashWatch, AnInstanceWithOlderRunsInProgressIsAlive)
{
    auto watch = watchWithLostAnswer();
    failTwoProbes (watch, at (20));
    EXPECT_FALSE (watch.takeReport());
}

TEST (CrashWatch, DoesNotReportRequestsSentAfterFailedProbesShowedACrash)
{
    auto watch = watchWithLostAnswer();
    watch.recordLostAnswer (at (130), at (120), second);
    failTwoProbes (watch, noRuns);
    const auto report = watch.takeReport();
    ASSERT_TRUE (report);
    EXPECT_EQ (report->requests, std::vector{ first });
    watch.recordLostAnswer (at (300), at (290), second);
    EXPECT_FALSE (watch.takeReport());
}

TEST (CrashWatch, ReportsRunsAbortedShortlyBefore)
{
    for (const bool detectedAtOnce : { true, false })
    {
        CrashWatch watch (7);
        watch.recordAbortedRun (at (10), at (0), second);
        watch.recordLostAnswer (at (400), at (100), first);
        detectedAtOnce ? watch.instanceGone (at (410)) : watch.instanceReplaced (at (410));
        const auto report = watch.takeReport();
        ASSERT_TRUE (report);
        EXPECT_EQ (report->requests, (std::vector{ second, first }));
    }
}

TEST (CrashWatch, CrashesOfTwoNodesHaveDifferentIds)
{
    CrashWatch one (7), other (8);

    for (auto* watch : { &one, &other })
    {
        watch->recordLostAnswer (at (40), at (0), first);
        watch->instanceGone (at (50));
    }

    EXPECT_NE (one.takeReport()->crash, other.takeReport()->crash);
}

} // namespace
} // namespace copperlead::mesh
