#include "mesh/crash_watch.h"

#include <gtest/gtest.h>

namespace copperlead::mesh
{
namespace
{

const RequestDigest first{ 1, 0 }, second{ 2, 0 };

Timestamp at (int milliseconds) { return Timestamp (Milliseconds (milliseconds)); }

/** A watch under which the first request's run, begun at 0 ms, got no answer at 40 ms. */
CrashWatch watchOfALostAnswer()
{
    CrashWatch watch (7);
    watch.unanswered (at (40), at (0), first);
    return watch;
}

TEST (CrashWatch, ALostAnswerAloneIsNoCrash)
{
    auto watch = watchOfALostAnswer();
    EXPECT_TRUE (watch.wondering());
    EXPECT_FALSE (watch.takeReport());
}

TEST (CrashWatch, AnInstanceThatIsGoneHasCrashedUnderAllThatRan)
{
    auto watch = watchOfALostAnswer();
    watch.unanswered (at (41), at (10), second);
    watch.gone (at (50));
    const auto report = watch.takeReport();
    ASSERT_TRUE (report);
    EXPECT_EQ (report->requests, (std::vector{ first, second }));
    EXPECT_FALSE (watch.takeReport());
}

TEST (CrashWatch, OneThatAnswersWhatWasSentLaterLives)
{
    auto watch = watchOfALostAnswer();
    watch.answered (at (41));
    watch.gone (at (500));
    EXPECT_FALSE (watch.takeReport());
}

TEST (CrashWatch, AnAnswerToWhatWasSentBeforeSaysNothing)
{
    auto watch = watchOfALostAnswer();
    watch.answered (at (39));
    watch.gone (at (50));
    EXPECT_TRUE (watch.takeReport());
}

TEST (CrashWatch, WhatEndsAfterItWasKnownBelongsToTheSameCrash)
{
    auto watch = watchOfALostAnswer();
    watch.gone (at (50));
    const auto told = watch.takeReport();
    watch.unanswered (at (51), at (10), second);
    watch.gone (at (60));
    const auto toldLater = watch.takeReport();
    ASSERT_TRUE (told && toldLater);
    EXPECT_EQ (told->crash, toldLater->crash);
    EXPECT_EQ (toldLater->requests, std::vector{ second });
}

TEST (CrashWatch, TheNextCrashIsAnother)
{
    auto watch = watchOfALostAnswer();
    watch.gone (at (50));
    const auto told = watch.takeReport();
    watch.restarted (at (2000));
    watch.unanswered (at (2050), at (2010), first);
    watch.gone (at (2060));
    const auto toldNext = watch.takeReport();
    ASSERT_TRUE (told && toldNext);
    EXPECT_NE (told->crash, toldNext->crash);
}

TEST (CrashWatch, WhatBeganAtTheFormerIncarnationSaysNothingOfTheNext)
{
    auto watch = watchOfALostAnswer();
    watch.gone (at (50));
    watch.takeReport();
    watch.restarted (at (2000));
    watch.unanswered (at (2001), at (30), second);
    watch.gone (at (3000));
    EXPECT_FALSE (watch.takeReport());
}

TEST (CrashWatch, KeepsTheLatestRunsOnly)
{
    CrashWatch watch (7);

    for (int i = 0; i < 100; ++i)
        watch.unanswered (at (i), at (0), { static_cast<std::uint64_t> (i), 0 });

    watch.gone (at (200));
    const auto report = watch.takeReport();
    ASSERT_TRUE (report);
    EXPECT_EQ (report->requests.size(), CrashWatch::mostRuns);
    EXPECT_EQ (report->requests.back().head, 99U);
}

TEST (CrashWatch, TwoNodesNameTheirCrashesDifferently)
{
    CrashWatch one (7), other (8);

    for (auto* watch : { &one, &other })
    {
        watch->unanswered (at (40), at (0), first);
        watch->gone (at (50));
    }

    EXPECT_NE (one.takeReport()->crash, other.takeReport()->crash);
}

} // namespace
} // namespace copperlead::mesh
