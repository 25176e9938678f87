/** The planned stop of a sidecar: active requests are finished and no new ones start. */
#include <utility>

#include "sidecar/sidecar.h"

namespace copperlead::sidecar
{
namespace
{

using std::chrono::duration_cast;

constexpr Milliseconds stopStepInterval{ 50 };

Timestamp now() { return SteadyClock().Now(); }

} // namespace

std::size_t Sidecar::inFlight() const { return firstHop->inFlight() + lastHop->inFlight(); }

void Sidecar::stop (std::function<void()> ended)
{
    if (stopPlan)
        return;

    const auto at = now();
    stopPlan.emplace (at, settings.grace);
    onStopped = std::move (ended);
    firstHop->beginStop (*stopPlan);
    lastHop->setRunDeadline (stopPlan->answerDeadline());
    outbound->drain();

    if (relay != nullptr)
        relay->resign();

    log->write (at, EventKind::stopping,
                { { "in_flight", static_cast<std::int64_t> (inFlight()) },
                  { "connections", static_cast<std::int64_t> (outbound->connections()) } });
    log->flush();
    continueStop();
}

void Sidecar::continueStop()
{
    const auto at = now();
    const auto step = stopPlan->at (at, inFlight() == 0 && outbound->connections() == 0);

    if (step.stopListening)
    {
        outbound->stopListening();
        outbound->closeIdle();
    }

    if (step.stopAccepting)
        lastHop->stopAccepting();

    if (step.end)
    {
        log->write (at, EventKind::stopped,
                    { { "in_flight", static_cast<std::int64_t> (inFlight()) },
                      { "after_ms", duration_cast<Milliseconds> (stopPlan->since (at)).count() } });
        log->flush();
        return std::exchange (onStopped, nullptr)();
    }

    reactor->RunAt (at + stopStepInterval,
                    [weak = weak_from_this()]
                    {
                        if (const auto self = weak.lock())
                            self->continueStop();
                    });
}

} // namespace copperlead::sidecar
