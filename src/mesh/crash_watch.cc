#include "mesh/crash_watch.h"

#include <xxhash.h>

#include <algorithm>

namespace copperlead::mesh
{

void CrashWatch::unanswered (Timestamp now, Timestamp startedAt, const RequestDigest& request)
{
    add ({ request, startedAt, now, false });
}

void CrashWatch::brokenOff (Timestamp now, Timestamp startedAt, const RequestDigest& request)
{
    add ({ request, startedAt, now, true });
}

void CrashWatch::add (const UnansweredRun& run)
{
    // The former incarnation's crash has been told; this one has nothing to do with it. Nor has
    // what was sent to one that was gone already.
    if (run.startedAt >= since && run.startedAt <= crashedAt && runs.size() < mostRuns)
        runs.push_back (run);
}

void CrashWatch::answered (Timestamp now, Timestamp sentAt)
{
    const auto livedAt = std::max<Timestamp> (sentAt, now - handlingTime);
    std::erase_if (runs, [&] (const auto& run) { return run.endedAt <= livedAt; });
    questionsCut = 0;

    if (sentAt >= goneAt)
        forgetCrash();
}

void CrashWatch::gone (Timestamp now) { begin (now, false); }

void CrashWatch::replaced (Timestamp now) { begin (now, true); }

void CrashWatch::questionCut (Timestamp now, Timestamp oldestRun)
{
    if (! wondering() || oldestRun < runs.front().endedAt)
        return;

    if (++questionsCut >= questionsCutUntilGone)
        begin (now, true);
}

void CrashWatch::begin (Timestamp now, bool isUnnoticed)
{
    if (crash != 0 || runs.empty())
        return;

    ++crashes;
    crash = XXH3_64bits_withSeed (&crashes, sizeof (crashes), crashSeed);
    goneAt = now;
    wasUnnoticed = isUnnoticed;
}

void CrashWatch::restarted (Timestamp now)
{
    runs.clear();
    forgetCrash();
    questionsCut = 0;
    since = now;
}

void CrashWatch::forgetCrash()
{
    crash = 0;
    crashedAt = Timestamp::max();
}

bool CrashWatch::isOutlived (const UnansweredRun& run) const
{
    return std::any_of (runs.begin(), runs.end(),
                        [&] (const auto& other) {
                            return other.startedAt < run.endedAt &&
                                   other.endedAt > run.endedAt + handlingTime;
                        });
}

/** Nothing that is sent to a port that refuses counts as a run, so the last run ended with the
   crash. Where it went unnoticed, what was sent later looks like runs, too: then it is the first
   end that no other run outlived.
*/
Timestamp CrashWatch::crashTime() const
{
    if (wasUnnoticed)
        for (const auto& run : runs)
            if (! run.brokenOff && ! isOutlived (run))
                return run.endedAt;

    return runs.back().endedAt;
}

std::optional<CrashReport> CrashWatch::takeReport()
{
    if (crash == 0 || runs.empty())
        return std::nullopt;

    CrashReport report{ crash, {} };
    const auto time = crashTime();
    crashedAt = std::min (crashedAt, time);

    for (const auto& run : runs)
        if (run.startedAt <= time && run.endedAt >= time - afterEffectTime)
            report.requests.push_back (run.request);

    runs.clear();

    if (report.requests.empty())
        return std::nullopt;

    return report;
}

} // namespace copperlead::mesh
