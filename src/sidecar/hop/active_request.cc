#include "sidecar/hop/active_request.h"

#include <algorithm>

#include "mesh/avoidance.h"
#include "mesh/enum_names.h"
#include "mesh/milliseconds.h"
#include "sidecar/http/messages.h"

namespace copperlead::sidecar
{
namespace
{

using mesh::AttemptOutcome;
using mesh::HopOutcome;
using mesh::nameOf;

constexpr Milliseconds deadlineGrace{ 15 };        // For the instance's own answer at the deadline.
constexpr std::uint64_t longestWaitMs = 3'600'000; // That a client may announce.

Timestamp now() { return SteadyClock().Now(); }

} // namespace

ActiveRequest::ActiveRequest (std::shared_ptr<FirstHop> owner, ExchangePointer exchangeToAnswer,
                              std::shared_ptr<const mesh::RouteTable> routesToUse,
                              const mesh::Route& routeToUse, const RequestTenant& tenantToUse,
                              std::string id)
    : hop (std::move (owner))
    , exchange (std::move (exchangeToAnswer))
    , routes (std::move (routesToUse))
    , route (routeToUse)
    , tenant (tenantToUse.tenant)
    , quotaLapsesAt (tenantToUse.quotaLapsesAt)
    , requestId (std::move (id))
{
    hop->active.insert (this);
}

ActiveRequest::~ActiveRequest() { hop->active.erase (this); }

void ActiveRequest::begin()
{
    const auto& names = hop->settings.names;
    const auto& received = exchange->head.fields;
    std::uint64_t clientWaits = 0;
    deadline = exchange->arrivedAt + route.timeout;

    clientLeaves = deadline;

    if (ParseWholeNumber (onlyValue (received, names.deadline), clientWaits))
    {
        const Milliseconds announced (std::min (clientWaits, longestWaitMs));
        clientLeaves = exchange->arrivedAt + announced;
        age = hop->attemptAges.observe (exchange->arrivedAt, route.name, announced);
    }

    if (age > Milliseconds (0))
        hop->returns.returned (route.name);

    deadline = std::min ({ deadline, clientLeaves, hop->endsAt });
    fields = forwardedFields (received, names);
    fields.insert (fields.begin(), { "Host", std::string (onlyValue (received, "Host")) });
    service = route.services[hop->split.next (route)].service;
    hop->calls.observe (route.name, hop->instanceIsIdle());
    hop->budgetOf (service).countRequest (exchange->arrivedAt,
                                          hop->lastHop->repeatShare() * hop->calls.of (route.name));

    const auto weak = weak_from_this();
    exchange->onGone = [weak]
    {
        if (const auto self = weak.lock())
            self->onClientLeft();
    };
    // Holds the request until its end: every other reference to it is weak.
    hop->reactor->RunAt (deadline + deadlineGrace,
                         [self = shared_from_this()] { self->onDeadline(); });

    startAttempt();
}

mesh::ChoiceRequest ActiveRequest::choiceRequest() const
{
    mesh::ChoiceRequest wanted{ &route, service, exchange->body.size(), {}, tenant };

    for (const auto& attempt : attempts)
        wanted.excluded.push_back (attempt.choice.instance.id);

    return wanted;
}

Milliseconds ActiveRequest::targetLeft() const
{
    return std::chrono::floor<Milliseconds> (exchange->arrivedAt + route.targetLatency - age -
                                             now());
}

mesh::LoadQuery ActiveRequest::loadQuery() const
{
    mesh::LoadQuery query;
    query.service = service;
    query.route = route.name;
    query.priority = priorityOf (route, tenant);
    query.timeLeft = std::chrono::floor<Milliseconds> (deadline - now());
    query.targetLeft = targetLeft();
    query.usualRunMs = hop->chooser.usualRunMs (route);
    return query;
}

void ActiveRequest::startAttempt()
{
    search = std::make_shared<InstanceSearch> (hop->searchContext, hop->directory, choiceRequest(),
                                               loadQuery());
    const auto begun = search; // Its callback, which lets it go, may come at once.
    begun->begin (
        [weak = weak_from_this()] (const Found& found)
        {
            if (const auto self = weak.lock())
                self->onFound (found);
        });
}

void ActiveRequest::onFound (const Found& found)
{
    search.reset();

    if (done)
        return;

    if (exchange->clientLeft())
        return onClientLeft();

    if (found.step == mesh::PollStep::take)
        return launch (found.choice);

    logSearch (found);
    mesh::Choice choice;

    // Without any answer what was known before has to do.
    if (found.step == mesh::PollStep::unheard &&
        hop->chooser.choose (now(), *hop->directory, choiceRequest(), choice))
        return launch (choice);

    if (activeCount() > 0)
        return;

    if (found.step == mesh::PollStep::refuse)
        lastAnswer.report.cause = found.cause;

    finish (withoutRetry (facts(), lastOutcome), lastAnswer);
}

void ActiveRequest::endHeld()
{
    // Another attempt may still bring the answer.
    if (activeCount() > 0)
        return;

    lastAnswer.report.cause = mesh::HopCause::crashSuspect;
    finish (withoutRetry (facts(), lastOutcome), lastAnswer);
}

void ActiveRequest::launch (const mesh::Choice& choice)
{
    // The process may have slept since the search began.
    if (now() >= deadline)
        return onDeadline();

    // What an earlier attempt, or another node, has learned meanwhile: without this each attempt of
    // a client would crash as many instances as it may have retries.
    if (facts().isHeld)
        return endHeld();

    const auto index = attempts.size();
    auto& attempt = attempts.emplace_back();
    attempt.choice = choice;
    attempt.startedAt = now();
    attempt.isLocal = hop->caller.isLocal (choice.instance.address.ip);
    hop->chooser.started (choice.instance.id);
    send (index, makeCall (choice));

    if (! done)
        armSlowCheck (index);
}

HopCall ActiveRequest::makeCall (const mesh::Choice& choice) const
{
    HopCall call;
    auto& told = call.facts;
    told.requestId = requestId;
    told.service = service;
    told.callerService = hop->settings.service;
    told.instanceId = choice.instance.id;
    told.route = route.name;
    told.timeLeft = std::chrono::floor<Milliseconds> (deadline - now());
    told.targetLeft = targetLeft();
    told.priority = priorityOf (route, tenant);
    told.mayRepeat = route.mayRepeat();
    told.isRepeat = arrivals > 0 || mayHaveRun || hedged;
    told.usualRunMs = hop->chooser.usualRunMs (route);
    told.tenant = tenant == nullptr ? std::string() : tenant->name;
    call.method = exchange->head.method;
    call.target = exchange->head.target;
    call.fields = fields;
    call.body = exchange->body;
    call.abandoned = [client = exchange] { return client->clientLeft(); };
    return call;
}

void ActiveRequest::send (std::size_t index, HopCall call)
{
    const auto handle = hop->caller.send (
        attempts[index].choice.instance.address.ip, std::move (call), deadline,
        [weak = weak_from_this(), index] (HopDelivery delivery, const HopAnswer& answer)
        {
            if (const auto self = weak.lock())
                self->onDelivery (index, delivery, answer);
        });
    // The answer may have come and led to further attempts by now.
    attempts[index].call = handle;
}

void ActiveRequest::onDelivery (std::size_t index, HopDelivery delivery, const HopAnswer& answer)
{
    const auto& id = attempts[index].choice.instance.id;

    if (delivery == HopDelivery::unreachable)
        hop->chooser.shun (now(), id, mesh::unreachableAvoidance);
    else if (delivery == HopDelivery::lost)
        hop->chooser.shun (now(), id, mesh::lostAvoidance);

    onAnswer (index, answer);
}

void ActiveRequest::avoid (const Attempt& attempt, const HopAnswer& answer)
{
    const auto howLong = mesh::avoidanceFor (answer.report.cause);

    if (howLong == Milliseconds (0))
        return;

    const auto at = now();
    hop->chooser.shun (at, attempt.choice.instance.id, howLong);
    hop->log->write (at, EventKind::peerAvoided,
                     { { "instance", attempt.choice.instance.id },
                       { "cause", nameOf (answer.report.cause, mesh::hopCauseNames) },
                       { "for_ms", static_cast<std::int64_t> (howLong.count()) } });
}

AttemptOutcome ActiveRequest::learn (std::size_t index, const HopAnswer& answer)
{
    auto& attempt = attempts[index];
    const auto& id = attempt.choice.instance.id;
    const auto& told = answer.report;
    attempt.active = false;
    hop->chooser.ended (id);

    if (! told.instanceId.empty() || told.outcome != HopOutcome::unknown)
        hop->chooser.reported (now(), id, { told.load, told.runMs, told.bodyMs });

    if (told.configurationVersion != 0 && hop->onPeerVersion)
        hop->onPeerVersion (told.configurationVersion, attempt.choice.instance.address.ip);

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

} // namespace copperlead::sidecar
