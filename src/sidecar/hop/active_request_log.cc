/** Writes the decision log lines of a request. */
#include "mesh/enum_names.h"
#include "mesh/milliseconds.h"
#include "sidecar/hop/active_request.h"

namespace copperlead::sidecar
{
namespace
{

using mesh::nameOf;
using mesh::toMilliseconds;

Timestamp now() { return SteadyClock().Now(); }

} // namespace

void ActiveRequest::logEnd (EventKind kind, int status, std::string_view cause,
                            std::optional<Milliseconds> retryAfter)
{
    const auto at = now();
    std::vector<Field> known{
        { "request", requestId },
        { "route", route.name },
        { "version", static_cast<std::int64_t> (routes->configuration().version) },
        { "status", std::int64_t (status) },
        { "cause", cause },
        { "attempts", static_cast<std::int64_t> (attempts.size()) },
        { "arrivals", std::int64_t (arrivals) },
        { "took_ms", toMilliseconds (at - exchange->arrivedAt) },
        { "left_ms", toMilliseconds (deadline - at) },
        { "budget", hop->budgetOf (service).remaining (at, hop->nodeCount()) },
        { "instance", attempts.empty() ? std::string_view() : attempts.back().choice.instance.id }
    };

    if (retryAfter)
    {
        known.push_back ({ "age_ms", static_cast<std::int64_t> (priorAttemptsTime.count()) });
        known.push_back ({ "retry_after_ms", static_cast<std::int64_t> (retryAfter->count()) });
    }

    hop->log->write (at, kind, known);
}

void ActiveRequest::logSearch (const SearchResult& result)
{
    hop->log->write (now(), EventKind::searchFailed,
                     { { "request", requestId },
                       { "service", service },
                       { "outcome", nameOf (result.step, mesh::pollStepNames) },
                       { "cause", nameOf (result.cause, mesh::hopCauseNames) },
                       { "asked", static_cast<std::int64_t> (result.asked) },
                       { "replies", static_cast<std::int64_t> (result.replies) },
                       { "widened", result.widened ? "yes" : "no" },
                       { "took_ms", result.tookMs },
                       { "attempts", static_cast<std::int64_t> (attempts.size()) } });
}

void ActiveRequest::logAttempt (const Attempt& attempt, const HopAnswer& answer,
                                mesh::AttemptOutcome outcome, mesh::NextStep step)
{
    const auto at = now();
    hop->log->write (
        at, EventKind::attemptEnded,
        { { "request", requestId },
          { "instance", attempt.choice.instance.id },
          { "hop", attempt.isLocal ? "local" : "remote" },
          { "outcome", nameOf (outcome, mesh::attemptOutcomeNames) },
          { "cause", nameOf (answer.report.cause, mesh::hopCauseNames) },
          { "next", nameOf (step, mesh::nextStepNames) },
          { "load", attempt.choice.load },
          { "report_age_ms", attempt.choice.ageMs },
          { "expected_ms", attempt.choice.expectedMs },
          { "took_ms", toMilliseconds (at - attempt.startedAt) },
          { "version", static_cast<std::int64_t> (answer.report.configurationVersion) } });
}

} // namespace copperlead::sidecar
