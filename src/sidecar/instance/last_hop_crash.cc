/** The part of the last hop that detects crashes of its instance and reports the requests that ran
    there.
*/
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

#include "sidecar/http/messages.h"
#include "sidecar/instance/last_hop.h"

namespace copperlead::sidecar
{
namespace
{

// Delay from a lost answer to the probe of the instance. A busy instance has usually answered
// another request by then, so that only an idle one is probed.
constexpr Milliseconds crashCheckDelay{ 100 };

// When an instance ends, all its connections end, but these events are handled one after the other.
constexpr Milliseconds crashReportDelay{ 5 };

constexpr std::size_t maxDigestsInLog = 8;

std::string textOf (const std::vector<mesh::RequestDigest>& requests)
{
    std::vector<std::string> shown;

    for (std::size_t i = 0; i < std::min (requests.size(), maxDigestsInLog); ++i)
        shown.push_back (toText (requests[i]));

    return fmt::format ("{}", fmt::join (shown, " "));
}

} // namespace

mesh::RequestIdentity identityOf (const HopCall& call)
{
    return { call.method,
             onlyValue (call.fields, "Host"),
             call.target,
             call.facts.tenant,
             call.body.identifyingBytes(),
             call.body.size() - call.body.identifyingBytes().size() };
}

bool LastHop::isHeld (const HopCall& call) const
{
    return guard != nullptr && guard->holdOf (identityOf (call));
}

bool LastHop::dropHeld (CallId id)
{
    if (! isHeld (calls.at (id).call))
        return false;

    // While the request waited in the queue, an equal one may have crashed another instance.
    queue.cancelStart (id);
    refuse (id, mesh::HopCause::crashSuspect);
    return true;
}

void LastHop::recordUnanswered (const PendingCall& running)
{
    crashes.recordLostAnswer (SteadyClock().Now(), running.startedAt,
                              mesh::digestOf (identityOf (running.call)));
    armCrashCheck();
}

void LastHop::armCrashCheck()
{
    if (! std::exchange (crashCheckArmed, true))
        reactor->RunAt (SteadyClock().Now() + crashCheckDelay,
                        [weak = weak_from_this()]
                        {
                            if (const auto self = weak.lock())
                                self->checkForCrash();
                        });
}

void LastHop::checkForCrash()
{
    crashCheckArmed = false;

    if (! crashes.hasUnexplainedRuns() || ! health->canProbe())
        return;

    ++counts.crashProbes;
    probe();
}

void LastHop::recordLostProbe()
{
    // An instance that is leaving is expected to end.
    if (instance.leaving())
        return;

    auto oldest = Timestamp::max();

    for (const auto& [id, running] : calls)
        if (running.startedAt != Timestamp{})
            oldest = std::min (oldest, running.startedAt);

    crashes.recordFailedProbe (SteadyClock().Now(), oldest);
    reportCrash();

    if (crashes.hasUnexplainedRuns())
        armCrashCheck();
}

void LastHop::recordAlive (Timestamp sentAt)
{
    reportCrash();
    crashes.recordAnswer (SteadyClock().Now(), sentAt);
}

void LastHop::recordRefusedConnection (Timestamp now)
{
    // An instance that is leaving is expected to end.
    if (instance.leaving())
        return;

    crashes.instanceGone (now);

    if (! std::exchange (crashReportArmed, true))
        reactor->RunAt (now + crashReportDelay,
                        [weak = weak_from_this()]
                        {
                            if (const auto self = weak.lock())
                                self->reportCrash();
                        });
}

void LastHop::reportCrash()
{
    crashReportArmed = false;
    const auto report = crashes.takeReport();

    if (! report)
        return;

    counts.crashes = crashes.count();
    log->write (SteadyClock().Now(), EventKind::instanceCrashed,
                { { "instance", instance.id() },
                  { "crash", fmt::format ("{:016x}", report->crash) },
                  { "runs", static_cast<std::int64_t> (report->requests.size()) },
                  { "requests", textOf (report->requests) } });

    if (guard != nullptr)
        guard->crashed (*report);
}

} // namespace copperlead::sidecar
