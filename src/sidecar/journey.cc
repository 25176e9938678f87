#include "sidecar/journey.h"

#include <fmt/format.h>

#include <algorithm>

#include "mesh/milliseconds.h"

#include "sidecar/messages.h"

namespace copperlead::sidecar
{
namespace
{

using mesh::AttemptOutcome;
using mesh::fromMilliseconds;
using mesh::HopCause;
using mesh::HopOutcome;
using mesh::NextStep;
using mesh::toMilliseconds;

constexpr Milliseconds deadlineGrace{ 30 }; // For the instance's own answer at the deadline.
constexpr Milliseconds unreachableShun{ 600 }, downShun{ 400 }, stoppingShun{ 1500 };
constexpr double slowAfterRuns = 3, leastSlowMs = 30; // Of the usual time; then it is suspected.
constexpr Milliseconds suspicionTime{ 1000 };
constexpr double retryAfterShare = 0.15; // Of the time left; clients heed up to a third of it.

template <typename Enum, std::size_t count>
std::string_view nameOf (Enum value, const std::string_view (&names)[count])
{
    return names[static_cast<std::size_t> (value)];
}

Timestamp now() { return SteadyClock().Now(); }

} // namespace

Journey::Journey (std::shared_ptr<FirstHop> owner, ExchangePointer exchangeToAnswer,
                  std::shared_ptr<const mesh::RouteTable> routesToUse,
                  const mesh::Route& routeToUse, std::string id)
    : hop (std::move (owner))
    , exchange (std::move (exchangeToAnswer))
    , routes (std::move (routesToUse))
    , route (routeToUse)
    , requestId (std::move (id))
{
    ++hop->inFlightCount;
}

void Journey::setDone()
{
    done = true;
    hop->counts.whole.observe (toMilliseconds (now() - exchange->arrivedAt));
    --hop->inFlightCount;
}

Journey::~Journey() = default;

void Journey::begin()
{
    const auto& names = hop->settings.names;
    const auto& received = exchange->head.fields;
    std::uint64_t clientWaits = 0;
    deadline = exchange->arrivedAt + route.timeout;

    if (ParseWholeNumber (onlyValue (received, names.deadline), clientWaits))
        deadline = std::min<Timestamp> (
            deadline,
            exchange->arrivedAt + Milliseconds (std::min<std::uint64_t> (clientWaits, 3'600'000)));

    deadline = std::min (deadline, hop->endsAt);
    fields = forwardedFields (received, names);
    fields.insert (fields.begin(), { "Host", std::string (onlyValue (received, "Host")) });
    service = route.services[hop->split.next (route)].service;
    hop->budgetOf (service).countRequest (exchange->arrivedAt);

    const auto weak = weak_from_this();
    exchange->onGone = [weak]
    {
        if (const auto self = weak.lock())
            self->onClientLeft();
    };
    // Holds the journey until its end: every other reference to it is weak.
    hop->reactor->RunAt (deadline + deadlineGrace / 2,
                         [self = shared_from_this()] { self->onDeadline(); });

    if (! startAttempt())
        end (503, "no instance");
}

bool Journey::startAttempt()
{
    if (exchange->clientLeft())
    {
        onClientLeft();
        return true;
    }

    mesh::ChoiceRequest wanted{ &route, service, exchange->body.size(), {} };

    for (const auto& attempt : attempts)
        wanted.excluded.push_back (attempt.choice.instance.id);

    mesh::Choice choice;

    if (! hop->chooser.choose (now(), *hop->directory, wanted, choice))
        return false;

    const auto index = attempts.size();
    auto& attempt = attempts.emplace_back();
    attempt.choice = choice;
    attempt.startedAt = now();
    attempt.isLocal = choice.instance.address.ip == hop->settings.ownIp;
    hop->chooser.started (choice.instance.id);
    auto call = makeCall (choice);

    if (attempt.isLocal)
        sendLocal (index, std::move (call));
    else
        sendRemote (index, std::move (call));

    if (! done)
        armSlowCheck (index);

    return true;
}

HopCall Journey::makeCall (const mesh::Choice& choice) const
{
    HopCall call;
    auto& told = call.facts;
    told.requestId = requestId;
    told.service = service;
    told.callerService = hop->settings.service;
    told.instanceId = choice.instance.id;
    told.route = route.name;
    told.timeLeft = std::chrono::floor<Milliseconds> (deadline - now());
    told.targetLeft =
        std::chrono::floor<Milliseconds> (exchange->arrivedAt + route.targetLatency - now());
    told.priority = route.priority;
    told.mayRepeat = route.mayRepeat();
    told.isRepeat = mayHaveRun || hedged;
    told.usualRunMs = hop->chooser.usualRunMs (route);
    call.method = exchange->head.method;
    call.target = exchange->head.target;
    call.fields = fields;
    call.body = exchange->body;
    call.abandoned = [client = exchange] { return client->clientLeft(); };
    return call;
}

void Journey::sendLocal (std::size_t index, HopCall call)
{
    const auto id = hop->lastHop->start (std::move (call),
                                         [weak = weak_from_this(), index] (const HopAnswer& answer)
                                         {
                                             if (const auto self = weak.lock())
                                                 self->onAnswer (index, answer);
                                         });
    attempts[index].local = id;
}

void Journey::sendRemote (std::size_t index, HopCall call)
{
    call.fields.push_back ({ std::string (mesh::hopField), mesh::encode (call.facts) });
    CallOptions options;
    options.deadline = deadline + deadlineGrace;
    options.isHead = call.method == "HEAD";
    const SocketAddress peer{ attempts[index].choice.instance.address.ip, hop->settings.peerPort };
    const auto remote = hop->client->send (
        peer, requestMessage (call.method, call.target, call.fields, call.body), options,
        [weak = weak_from_this(), index] (CallResult result)
        {
            if (const auto self = weak.lock())
                self->onRemote (index, std::move (result));
        });
    attempts[index].remote = remote;
}

void Journey::onRemote (std::size_t index, CallResult result)
{
    HopAnswer answer;
    answer.report.outcome = HopOutcome::unknown;
    answer.report.cause = HopCause::answerLost;

    if (result.end == CallEnd::notConnected)
    {
        answer.report.outcome = HopOutcome::notRun;
        answer.report.cause = HopCause::instanceDown;
        hop->chooser.shun (now(), attempts[index].choice.instance.id, unreachableShun);
    }
    else if (result.end == CallEnd::answered)
    {
        const auto told = mesh::decodeHopReport (onlyValue (result.head.fields, mesh::hopField));

        if (told)
            answer.report = *told;

        answer.status = result.head.status;
        answer.reason = std::move (result.head.reason);
        answer.fields = forwardedAnswerFields (result.head.fields);
        std::erase_if (answer.fields, [] (const HeaderField& field)
                       { return EqualsIgnoringCase (field.name, mesh::hopField); });
        answer.body = std::move (result.body);
    }
    else
    {
        hop->chooser.shun (now(), attempts[index].choice.instance.id, downShun);
    }

    onAnswer (index, answer);
}

void Journey::avoid (const Attempt& attempt, const HopAnswer& answer)
{
    Milliseconds howLong{};

    switch (answer.report.cause)
    {
    case HopCause::instanceLeaving:
    case HopCause::otherService:
    case HopCause::nodeStopping:
        howLong = stoppingShun;
        break;
    case HopCause::instanceDown:
    case HopCause::instanceUnknown:
    case HopCause::otherInstance:
        howLong = downShun;
        break;
    default:
        return;
    }

    const auto at = now();
    hop->chooser.shun (at, attempt.choice.instance.id, howLong);
    hop->log->write (at, EventKind::peerAvoided,
                     { { "instance", attempt.choice.instance.id },
                       { "cause", nameOf (answer.report.cause, mesh::hopCauseNames) },
                       { "for_ms", static_cast<std::int64_t> (howLong.count()) } });
}

AttemptOutcome Journey::learn (std::size_t index, const HopAnswer& answer)
{
    auto& attempt = attempts[index];
    const auto& id = attempt.choice.instance.id;
    const auto& told = answer.report;
    attempt.active = false;
    hop->chooser.ended (id);

    if (! told.instanceId.empty() || told.outcome != HopOutcome::unknown)
        hop->chooser.reported (now(), id, { told.load, told.runMs });

    if (told.configurationVersion != 0 && hop->onPeerVersion)
        hop->onPeerVersion (told.configurationVersion);

    avoid (attempt, answer);

    if (told.outcome == HopOutcome::notRun)
    {
        ++notOffered;
        ++hop->counts.handBacks;
        return AttemptOutcome::notOffered;
    }

    if (told.outcome == HopOutcome::rejected)
        return AttemptOutcome::rejected;

    if (told.outcome == HopOutcome::unknown)
    {
        mayHaveRun = true;
        return AttemptOutcome::unknown;
    }

    if (answer.status < 300)
        hop->chooser.answered (id, route, told.tookMs, answer.body.size());

    if (answer.status < 500)
        return AttemptOutcome::answered;

    mayHaveRun = true;
    return AttemptOutcome::failedByApp;
}

mesh::RetryFacts Journey::facts() const
{
    mesh::RetryFacts known;
    known.mayRepeat = route.mayRepeat();
    known.maxAttempts = route.maxAttempts;
    known.arrivals = arrivals;
    known.notOffered = notOffered;
    known.timeLeft = deadline - now();
    known.usualRun = fromMilliseconds (hop->chooser.usualRunMs (route));
    known.mayHaveRun = mayHaveRun;
    return known;
}

void Journey::onAnswer (std::size_t index, const HopAnswer& answer)
{
    if (done)
        return;

    const auto outcome = learn (index, answer);
    ++hop->counts.causes[static_cast<std::size_t> (answer.report.cause)];

    if (outcome != AttemptOutcome::notOffered)
        ++arrivals;

    const auto step = decideNextStep (facts(), outcome);

    if (step != NextStep::passOn || outcome != AttemptOutcome::answered)
        logAttempt (attempts[index], answer, outcome, step);

    follow (step, outcome, answer);
}

bool Journey::anyActive() const
{
    return std::any_of (attempts.begin(), attempts.end(), [] (const auto& a) { return a.active; });
}

void Journey::follow (NextStep step, AttemptOutcome outcome, const HopAnswer& answer)
{
    if (step == NextStep::passOn && outcome == AttemptOutcome::answered)
        return passOn (answer);

    // Another attempt may still bring the answer.
    if (anyActive())
        return;

    if (step == NextStep::tryAgain && startAttempt())
        return;

    if (step == NextStep::spendRetry && hop->budgetOf (service).take (now(), hop->nodes()))
    {
        ++hop->counts.retries;

        if (startAttempt())
            return;
    }

    const auto last = step == NextStep::tryAgain || step == NextStep::spendRetry
                          ? withoutRetry (facts(), outcome)
                          : step;
    const auto cause = nameOf (answer.report.cause, mesh::hopCauseNames);

    switch (last)
    {
    case NextStep::passOn:
        return passOn (answer);
    case NextStep::timeOut:
        return end (504, "deadline");
    case NextStep::giveUp:
        return end (502, cause);
    default:
        return end (503, cause);
    }
}

void Journey::armSlowCheck (std::size_t index)
{
    const auto usual = hop->chooser.usualRunMs (route);
    const auto after = std::max (
        { slowAfterRuns * usual, leastSlowMs, attempts[index].choice.expectedMs + 2 * usual });
    const auto when = now() + fromMilliseconds (after);

    if (when >= deadline)
        return;

    hop->reactor->RunAt (when,
                         [weak = weak_from_this(), index]
                         {
                             if (const auto self = weak.lock())
                                 self->onSlow (index);
                         });
}

void Journey::onSlow (std::size_t index)
{
    if (done || ! attempts[index].active)
        return;

    hop->chooser.suspect (now(), attempts[index].choice.instance.id, suspicionTime);
    hedge();
}

void Journey::hedge()
{
    const auto active = std::count_if (attempts.begin(), attempts.end(),
                                       [] (const auto& attempt) { return attempt.active; });
    const auto usual = fromMilliseconds (hop->chooser.usualRunMs (route));

    if (! route.mayRepeat() || hedged || active != 1 || arrivals + 2 > route.maxAttempts ||
        now() + usual >= deadline)
        return;

    if (! hop->budgetOf (service).take (now(), hop->nodes()))
        return;

    hedged = true;
    ++hop->counts.hedges;
    startAttempt();
}

void Journey::cancelAttempts()
{
    for (auto& attempt : attempts)
    {
        if (! attempt.active)
            continue;

        attempt.active = false;
        hop->chooser.ended (attempt.choice.instance.id);

        if (attempt.isLocal)
            hop->lastHop->cancel (attempt.local);
        else if (attempt.remote != nullptr)
            attempt.remote->cancel();
    }
}

void Journey::onDeadline()
{
    if (done)
        return;

    for (const auto& attempt : attempts)
        if (attempt.active)
            hop->chooser.suspect (now(), attempt.choice.instance.id, suspicionTime);

    end (504, "deadline");
}

void Journey::onClientLeft()
{
    if (done)
        return;

    setDone();
    ++hop->counts.clientsLeft;
    logEnd (EventKind::clientLeft, 0, "client left");
    cancelAttempts();
    release();
}

void Journey::passOn (const HopAnswer& answer)
{
    setDone();
    cancelAttempts();
    ++hop->counts.served;
    const bool close = hop->closing || exchange->mustClose();
    exchange->respond (
        answerMessage ({ answer.status, answer.reason, answer.body, close, exchange->isHead() },
                       answer.fields),
        close);
    logEnd (EventKind::requestServed, answer.status, "");
    release();
}

void Journey::release()
{
    // The journey lives until its deadline's timer; what it carried need not.
    std::string().swap (exchange->body);
    fields = {};
}

void Journey::end (int status, std::string_view cause)
{
    if (done)
        return;

    setDone();
    cancelAttempts();
    const auto left = std::max<Duration> (deadline - now(), Duration{});
    const auto share = fromMilliseconds (toMilliseconds (left) * retryAfterShare);
    hop->answerOwn (exchange, status, cause, std::chrono::ceil<Milliseconds> (share));

    if (status == 503)
        ++hop->counts.refused;
    else if (status == 504)
        ++hop->counts.timedOut;
    else
        ++hop->counts.failed;

    logEnd (status == 503 ? EventKind::requestRefused : EventKind::requestFailed, status, cause);
    release();
}

void Journey::logEnd (EventKind kind, int status, std::string_view cause)
{
    const auto at = now();
    hop->log->write (at, kind,
                     { { "request", requestId },
                       { "route", route.name },
                       { "version", static_cast<std::int64_t> (routes->configuration().version) },
                       { "status", std::int64_t (status) },
                       { "cause", cause },
                       { "attempts", static_cast<std::int64_t> (attempts.size()) },
                       { "arrivals", std::int64_t (arrivals) },
                       { "took_ms", toMilliseconds (at - exchange->arrivedAt) },
                       { "left_ms", toMilliseconds (deadline - at) },
                       { "budget", hop->budgetOf (service).left (at, hop->nodes()) },
                       { "instance", attempts.empty() ? std::string_view()
                                                      : attempts.back().choice.instance.id } });
}

void Journey::logAttempt (const Attempt& attempt, const HopAnswer& answer, AttemptOutcome outcome,
                          NextStep step)
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
