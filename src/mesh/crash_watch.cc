#include "mesh/crash_watch.h"

#include <xxhash.h>

#include <algorithm>

namespace copperlead::mesh
{

void CrashWatch::unanswered (Timestamp now, Timestamp startedAt, const RequestDigest& request)
{
    // The former incarnation's crash has been told; this one has nothing to do with it.
    if (startedAt < since)
        return;

    runs.push_back ({ request, now });

    if (runs.size() > mostRuns)
        runs.pop_front();
}

void CrashWatch::answered (Timestamp sentAt)
{
    std::erase_if (runs, [&] (const auto& run) { return run.endedAt <= sentAt; });

    if (sentAt >= goneAt)
        crash = 0;
}

void CrashWatch::gone (Timestamp now)
{
    if (crash != 0 || runs.empty())
        return;

    ++crashes;
    crash = XXH3_64bits_withSeed (&crashes, sizeof (crashes), crashSeed);
    goneAt = now;
}

void CrashWatch::restarted (Timestamp now)
{
    runs.clear();
    crash = 0;
    since = now;
}

std::optional<CrashReport> CrashWatch::takeReport()
{
    if (crash == 0 || runs.empty())
        return std::nullopt;

    CrashReport report{ crash, {} };

    for (const auto& run : runs)
        report.requests.push_back (run.request);

    runs.clear();
    return report;
}

} // namespace copperlead::mesh
