#include "mesh/crash_watch.h"

#include <xxhash.h>

#include <algorithm>

namespace copperlead::mesh
{

void CrashWatch::recordLostAnswer (Timestamp now, Timestamp startedAt, const RequestDigest& request)
{
    add ({ request, startedAt, now, false });
}

void CrashWatch::recordAbortedRun (Timestamp now, Timestamp startedAt, const RequestDigest& request)
{
    add ({ request, startedAt, now, true });
}

void CrashWatch::add (const UnansweredRun& run)
{
    // Runs that began at a former incarnation are ignored: its crash has been reported and says
    // nothing about this one. Requests sent after the crash can't have caused it either.
    if (run.startedAt >= incarnationStart && run.startedAt <= crashedAt && runs.size() < maxRuns)
        runs.push_back (run);
}

void CrashWatch::recordAnswer (Timestamp now, Timestamp sentAt)
{
    const auto aliveAt = std::max<Timestamp> (sentAt, now - maxHandlingDelay);
    std::erase_if (runs, [&] (const auto& run) { return run.endedAt <= aliveAt; });
    failedProbes = 0;

    if (sentAt >= detectedAt)
        forgetCrash();
}

void CrashWatch::instanceGone (Timestamp now) { beginCrash (now, false); }

void CrashWatch::instanceReplaced (Timestamp now) { beginCrash (now, true); }

void CrashWatch::recordFailedProbe (Timestamp now, Timestamp oldestRun)
{
    if (! hasUnexplainedRuns() || oldestRun < runs.front().endedAt)
        return;

    if (++failedProbes >= failedProbesUntilGone)
        beginCrash (now, true);
}

void CrashWatch::beginCrash (Timestamp now, bool isDetectedLate)
{
    if (crash != 0 || runs.empty())
        return;

    ++crashes;
    crash = XXH3_64bits_withSeed (&crashes, sizeof (crashes), crashSeed);
    detectedAt = now;
    wasDetectedLate = isDetectedLate;
}

void CrashWatch::instanceRestarted (Timestamp now)
{
    runs.clear();
    forgetCrash();
    failedProbes = 0;
    incarnationStart = now;
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
                                   other.endedAt > run.endedAt + maxHandlingDelay;
                        });
}

/** Requests to a port that refuses connections don't count as runs, so normally the last run ended
    with the crash. If the crash was detected late, requests that were sent after it look like runs
    as well; then it is the end of the first run that no other run outlived.
*/
Timestamp CrashWatch::crashTime() const
{
    if (wasDetectedLate)
        for (const auto& run : runs)
            if (! run.wasAborted && ! isOutlived (run))
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
        if (run.startedAt <= time && run.endedAt >= time - delayedCrashTime)
            report.requests.push_back (run.request);

    runs.clear();

    if (report.requests.empty())
        return std::nullopt;

    return report;
}

} // namespace copperlead::mesh
