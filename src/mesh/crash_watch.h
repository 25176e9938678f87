/** Tells a crash of the instance beside a node from answers that were merely lost, and says what
   ran there. A connection that ends without an answer proves nothing; it takes an instance that is
   gone or has begun anew since. Deciding code without I/O.
*/
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "mesh/request_digest.h"

namespace copperlead::mesh
{

/** What ran at an instance as it crashed; any of it may be the cause. */
struct CrashReport
{
    std::uint64_t crash = 0; /**< Tells this crash from all others. */
    std::vector<RequestDigest> requests;
};

/** Not thread-safe. */
class CrashWatch
{
public:
    /** The most runs that one crash is told with; the latest are. */
    static constexpr std::size_t mostRuns = 64;

    /** @param seed  differs between nodes, and between two starts of one */
    explicit CrashWatch (std::uint64_t seed)
        : crashSeed (seed)
    {
    }

    /** A run ended without the instance's answer, or was broken off. */
    void unanswered (Timestamp now, Timestamp startedAt, const RequestDigest& request);

    /** The instance answered what was sent to it at that time: it lived then. Ends a crash that was
        known before, which must have been reported.
    */
    void answered (Timestamp sentAt);

    /** Nothing listens at the instance's address any longer. */
    void gone (Timestamp now);

    /** Another incarnation has the address; what was under way at the former is reported first. */
    void restarted (Timestamp now);

    /** Whether it isn't known yet if the instance crashed. */
    bool wondering() const { return crash == 0 && ! runs.empty(); }

    /** What hasn't been reported yet of a crash; a second report of one crash tells what became
        known later.
    */
    std::optional<CrashReport> takeReport();

    /** Crashes since the start. */
    std::uint64_t count() const { return crashes; }

private:
    struct UnansweredRun
    {
        RequestDigest request;
        Timestamp endedAt{};
    };

    std::uint64_t crashSeed, crashes = 0;
    std::uint64_t crash = 0; /**< Under way; 0: none is known. */
    Timestamp goneAt{};
    Timestamp since = Timestamp::min(); /**< This incarnation's runs began later. */
    std::deque<UnansweredRun> runs;
};

} // namespace copperlead::mesh
