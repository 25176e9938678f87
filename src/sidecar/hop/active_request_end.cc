/** Ends a request, either with its single answer or because the client disconnected. */
#include "mesh/avoidance.h"
#include "mesh/enum_names.h"
#include "mesh/milliseconds.h"
#include "mesh/retry_after.h"
#include "sidecar/hop/active_request.h"
#include "sidecar/http/messages.h"

namespace copperlead::sidecar
{
namespace
{

using mesh::HopCause;
using mesh::nameOf;
using mesh::NextStep;
using mesh::toMilliseconds;

constexpr std::string_view noInstanceCause = "no instance";

Timestamp now() { return SteadyClock().Now(); }

} // namespace

void ActiveRequest::finish (NextStep step, const HopAnswer& answer)
{
    switch (step)
    {
    case NextStep::passOn:
        return passOn (answer);
    case NextStep::timeOut:
        return end (504, "deadline");
    case NextStep::giveUp:
        return end (502, nameOf (answer.report.cause, mesh::hopCauseNames));
    default:
        return refuse (answer.report.cause, mesh::fromMilliseconds (answer.report.availableMs));
    }
}

void ActiveRequest::setDone()
{
    done = true;
    hop->counts.latency.observe (toMilliseconds (now() - exchange->arrivedAt));
    hop->active.erase (this);
}

void ActiveRequest::cancelAttempts()
{
    search.reset();

    for (auto& attempt : attempts)
    {
        if (! attempt.active)
            continue;

        attempt.active = false;
        hop->chooser.ended (attempt.choice.instance.id);

        attempt.call.cancel();
    }
}

void ActiveRequest::onDeadline()
{
    if (done)
        return;

    for (const auto& attempt : attempts)
        if (attempt.active)
            hop->chooser.suspect (now(), attempt.choice.instance.id, mesh::suspicionTime);

    end (504, "deadline");
}

void ActiveRequest::onClientLeft()
{
    if (done)
        return;

    setDone();
    ++hop->counts.clientsLeft;
    logEnd (EventKind::clientLeft, 0, "client left");
    cancelAttempts();
    release();
}

void ActiveRequest::passOn (const HopAnswer& answer)
{
    setDone();
    cancelAttempts();
    ++hop->counts.served;

    if (answer.body.stream() != nullptr)
        hop->streamedAnswers.record (now(), route.name);

    const bool close = hop->mustClose (*exchange);
    exchange->respond (answerMessage ({ answer.status,
                                        answer.reason,
                                        {},
                                        close,
                                        exchange->isHead(),
                                        exchange->isOldClient() },
                                      answer.fields, answer.body),
                       close);
    logEnd (EventKind::requestServed, answer.status, "");
    release();
}

void ActiveRequest::release()
{
    // The deadline's timer keeps this object alive; its body and header fields can be freed now.
    exchange->body = {};
    fields = {};
    lastAnswer = {};
}

void ActiveRequest::end (int status, std::string_view cause)
{
    if (done)
        return;

    setDone();
    cancelAttempts();
    hop->answerLocally (exchange, status, cause, {});
    ++(status == 504 ? hop->counts.timedOut : hop->counts.failed);
    logEnd (EventKind::requestFailed, status, cause);
    release();
}

void ActiveRequest::refuse (HopCause why, Duration availableIn)
{
    if (done)
        return;

    setDone();
    cancelAttempts();

    // A refused request has not run, so its quota token is returned.
    if (tenant != nullptr)
        hop->returnQuotaToken (*tenant, quotaExpiresAt);

    const auto cause = why == HopCause::none ? noInstanceCause : nameOf (why, mesh::hopCauseNames);
    const auto spread = std::uniform_real_distribution<double> (0, 1) (hop->random);
    const auto hold = hop->guard->holdOf (identityOf (*exchange, tenant));
    const auto retryDelay =
        hold ? hold->remaining
             : mesh::retryAfter (why, clientGivesUpAt - now(), spread, availableIn);

    if (why == HopCause::crashSuspect)
        hop->guard->countRefusal();

    if (priorAttemptsTime == Milliseconds (0))
        hop->clientRetries.recordRefusal (route.name);

    hop->answerLocally (exchange, 503, cause, retryDelay);
    ++hop->counts.refused;
    logEnd (EventKind::requestRefused, 503, cause, retryDelay);
    release();
}

} // namespace copperlead::sidecar
