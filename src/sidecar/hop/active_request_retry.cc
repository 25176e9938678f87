/** Decides what follows an attempt: the answer, a retry or a hedged attempt. */
#include <algorithm>

#include "mesh/avoidance.h"
#include "mesh/milliseconds.h"
#include "sidecar/hop/active_request.h"

namespace copperlead::sidecar
{

namespace
{

using mesh::AttemptOutcome;
using mesh::fromMilliseconds;
using mesh::NextStep;

Timestamp now() { return SteadyClock().Now(); }

} // namespace

mesh::RetryFacts ActiveRequest::facts() const
{
    mesh::RetryFacts known;
    known.mayRepeat = route.mayRepeat();
    known.maxAttempts = route.maxAttempts;
    known.arrivals = arrivals;
    known.notOffered = notOffered;
    known.timeLeft = deadline - now();
    known.usualRun = fromMilliseconds (hop->chooser.usualRunMs (route));
    known.mayHaveRun = mayHaveRun;
    known.bodyConsumed = isBodyConsumed();
    known.isHeld = hop->guard->holdOf (identityOf (*exchange, tenant)).has_value();
    return known;
}

bool ActiveRequest::isBodyConsumed() const
{
    const auto& rest = exchange->body.stream();
    return rest != nullptr && rest->wasTouched();
}

mesh::RetryClaim ActiveRequest::retryClaim() const
{
    const bool expectsClientRetry =
        priorAttemptsTime == Milliseconds (0) && hop->clientRetries.expectsClientRetry (route.name);
    return { ! expectsClientRetry, priorityOf (route, tenant) };
}

void ActiveRequest::onAnswer (std::size_t index, const HopAnswer& answer)
{
    if (done)
        return;

    const auto outcome = recordOutcome (index, answer);
    ++hop->counts.causes[static_cast<std::size_t> (answer.report.cause)];

    if (outcome != AttemptOutcome::notOffered)
        ++arrivals;

    auto known = facts();
    known.isHeld = known.isHeld || answer.report.cause == mesh::HopCause::crashSuspect;
    const auto step = decideNextStep (known, outcome);

    if (step != NextStep::passOn || outcome != AttemptOutcome::answered)
        logAttempt (attempts[index], answer, outcome, step);

    applyStep (step, outcome, answer);
}

int ActiveRequest::activeCount() const
{
    return static_cast<int> (std::count_if (attempts.begin(), attempts.end(),
                                            [] (const auto& attempt) { return attempt.active; }));
}

void ActiveRequest::applyStep (NextStep step, AttemptOutcome outcome, const HopAnswer& answer)
{
    if (step == NextStep::passOn && outcome == AttemptOutcome::answered)
        return passOn (answer);

    // Another attempt may still deliver the answer.
    if (activeCount() > 0 || search != nullptr)
        return;

    const bool again = step == NextStep::tryAgain ||
                       (step == NextStep::spendRetry &&
                        hop->budgetOf (service).trySpend (now(), hop->nodeCount(), retryClaim()));

    if (! again)
        return finish (step == NextStep::spendRetry ? withoutRetry (facts(), outcome) : step,
                       answer);

    hop->counts.retries += step == NextStep::spendRetry ? 1 : 0;
    lastOutcome = outcome;
    lastAnswer = answer;
    startAttempt();
}

void ActiveRequest::scheduleSlowCheck (std::size_t index)
{
    const auto when = now() + mesh::slowAfter (hop->chooser.usualRunMs (route),
                                               attempts[index].choice.expectedMs);

    if (when >= deadline)
        return;

    hop->reactor->RunAt (when,
                         [weak = weak_from_this(), index]
                         {
                             if (const auto self = weak.lock())
                                 self->onSlow (index);
                         });
}

void ActiveRequest::onSlow (std::size_t index)
{
    if (done || ! attempts[index].active)
        return;

    hop->chooser.suspect (now(), attempts[index].choice.instance.id, mesh::suspicionTime);
    hedge();
}

void ActiveRequest::hedge()
{
    // A body that is passed on as it arrives can't be sent to two instances.
    if (hedged || search != nullptr || exchange->body.stream() != nullptr ||
        ! mesh::mayHedge (facts(), activeCount()))
        return;

    if (! hop->budgetOf (service).trySpend (now(), hop->nodeCount(), mesh::hedgeClaim))
        return;

    hedged = true;
    ++hop->counts.hedges;
    startAttempt();
}

} // namespace copperlead::sidecar
