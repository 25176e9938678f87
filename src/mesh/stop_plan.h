/** The steps of a planned stop, by the time since its signal. Deciding code without I/O. */
#pragma once

#include "base/time.h"

namespace copperlead::mesh
{

/** What holds at some moment of a stop. */
struct StopStep
{
    bool stopListening = false; /**< No new client is sent here any longer. */
    bool stopTaking = false;    /**< What comes now could not end in time. */
    bool end = false;           /**< Nothing is left to do, or no time to do it. */
};

class StopPlan
{
public:
    /** @param grace  from the signal until the process is killed */
    StopPlan (Timestamp signalledAt, Milliseconds grace);

    /** @param idle  nothing is in flight and no client is connected */
    StopStep at (Timestamp now, bool idle) const;

    /** When the last answers must be on their way. */
    Timestamp answersBy() const { return endsAt - answerMargin; }

    Duration since (Timestamp now) const { return now - start; }

private:
    static constexpr Milliseconds noticeTime{ 3000 }; // Until the platform sends no new client.
    static constexpr Milliseconds killMargin{ 300 };
    static constexpr Milliseconds answerMargin{ 150 }; // For the last answers to be written.
    static constexpr Milliseconds lastRunTime{ 1200 }; // Left for requests that were taken last.

    Timestamp start, endsAt;
};

} // namespace copperlead::mesh
