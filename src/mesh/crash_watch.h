/** Tells a crash of the instance beside a node from answers that were merely lost, and says what
   ran there. A connection that ends without an answer proves nothing; it takes an instance that is
   gone or has begun anew since. Deciding code without I/O.
*/
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
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
    /** The most runs that are kept; the first since the instance was last known to live are, since
        what is sent to one that is gone may look like a run, too.
    */
    static constexpr std::size_t mostRuns = 256;

    /** All connections of an instance end with it, but a busy node handles their ends, and answers
        that were written before, this long apart.
    */
    static constexpr Milliseconds handlingTime{ 150 };

    /** A run that was broken off may still crash its instance so much later. */
    static constexpr Milliseconds afterEffectTime{ 500 };

    /** One question may be lost by the way there, or be cut by an instance that is merely full. */
    static constexpr int questionsCutUntilGone = 2;

    /** @param seed  differs between nodes, and between two starts of one */
    explicit CrashWatch (std::uint64_t seed)
        : crashSeed (seed)
    {
    }

    /** A run ended without the instance's answer. */
    void unanswered (Timestamp now, Timestamp startedAt, const RequestDigest& request);

    /** A run was broken off at the instance. */
    void brokenOff (Timestamp now, Timestamp startedAt, const RequestDigest& request);

    /** The instance answered now what was sent to it at that time: what ended before was no crash.
        Ends a crash that was known before, which must have been reported.
    */
    void answered (Timestamp now, Timestamp sentAt);

    /** Nothing listens at the instance's address any longer. */
    void gone (Timestamp now);

    /** Another incarnation has the address: the former is gone, since when isn't known. */
    void replaced (Timestamp now);

    /** A question whether the instance lives was taken and ended without an answer: of an instance
        that lives behind a port of another program, or whose port still accepts, nothing else shows
        that it is gone.
        @param oldestRun  when the first of the runs under way began: one that has outlived those
                          that were lost shows that it lives
    */
    void questionCut (Timestamp now, Timestamp oldestRun);

    /** From now on runs are the next incarnation's; what ran at the former has been reported. */
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
        Timestamp startedAt{}, endedAt{};
        bool brokenOff = false;
    };

    void add (const UnansweredRun& run);
    void begin (Timestamp now, bool isUnnoticed);
    void forgetCrash();
    bool isOutlived (const UnansweredRun& run) const;
    Timestamp crashTime() const;

    std::uint64_t crashSeed, crashes = 0;
    std::uint64_t crash = 0; /**< Under way; 0: none is known. */
    Timestamp goneAt{};
    Timestamp crashedAt = Timestamp::max(); /**< As first reported; the largest time before. */
    bool wasUnnoticed = false;              /**< Some was sent there after it. */
    int questionsCut = 0;                   /**< Since the last answer. */
    Timestamp since = Timestamp::min();     /**< This incarnation's runs began later. */
    std::deque<UnansweredRun> runs;
};

} // namespace copperlead::mesh
