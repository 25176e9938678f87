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

// Leaves time for an answer that the instance gives at the deadline.
constexpr Milliseconds deadlineGrace{ 15 };

// The longest timeout that is accepted from a client.
constexpr std::uint64_t maxClientTimeoutMs = 3'600'000;

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
    , quotaExpiresAt (tenantToUse.quotaExpiresAt)
    , requestId (std::move (id))
{
    hop->active.insert (this);
}

ActiveRequest::~ActiveRequest() { hop->active.erase (this); }

void ActiveRequest::begin()
{
    const auto& names = hop->settings.names;
    const auto& received = exchange->head.fields;
    std::uint64_t clientTimeoutMs = 0;
    deadline = exchange->arrivedAt + route.timeout;

    clientGivesUpAt = deadline;

    if (ParseWholeNumber (onlyValue (received, names.deadline), clientTimeoutMs))
    {
        const Milliseconds announced (std::min (clientTimeoutMs, maxClientTimeoutMs));
        clientGivesUpAt = exchange->arrivedAt + announced;
        priorAttemptsTime = hop->attemptAges.observe (exchange->arrivedAt, route.name, announced);
    }

    if (priorAttemptsTime > Milliseconds (0))
        hop->clientRetries.recordRetry (route.name);

    deadline = std::min (deadline, clientGivesUpAt);

    if (hop->stopPlan)
        deadline = std::min (deadline, hop->stopPlan->answerDeadline());

    fields = forwardedFields (received, names);
    fields.insert (fields.begin(), { "Host", std::string (onlyValue (received, "Host")) });
    service = route.services[hop->split.next (route)].service;
    hop->calls.observe (route.name, hop->instanceIsIdle());
    hop->budgetOf (service).countRequest (
        exchange->arrivedAt, hop->lastHop->repeatShare() * hop->calls.shareOfCalls (route.name));

    const auto weak = weak_from_this();
    exchange->onDisconnect = [weak]
    {
        if (const auto self = weak.lock())
            self->onClientLeft();
    };
    // The timer owns the request until the deadline; all other references are weak.
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
    return std::chrono::floor<Milliseconds> (exchange->arrivedAt + route.targetLatency -
                                             priorAttemptsTime - now());
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
    search->begin (
        [weak = weak_from_this()] (const SearchResult& result)
        {
            if (const auto self = weak.lock())
                self->onSearchEnded (result);
        });
}

void ActiveRequest::onSearchEnded (const SearchResult& result)
{
    search.reset();

    if (done)
        return;

    if (exchange->clientDisconnected())
        return onClientLeft();

    if (result.step == mesh::PollStep::take)
        return launch (result.choice);

    logSearch (result);
    mesh::Choice choice;

    // If no node answered, the choice relies on the latest known loads.
    if (result.step == mesh::PollStep::noUsableReply &&
        hop->chooser.choose (now(), *hop->directory, choiceRequest(), choice))
        return launch (choice);

    if (activeCount() > 0)
        return;

    if (result.step == mesh::PollStep::refuse)
    {
        lastAnswer.report.cause = result.cause;
        lastAnswer.report.availableMs = result.availableMs;
    }

    finish (withoutRetry (facts(), lastOutcome), lastAnswer);
}

void ActiveRequest::endWithoutLaunch (mesh::HopCause cause)
{
    // Another attempt may still deliver the answer.
    if (activeCount() > 0)
        return;

    lastAnswer.report.cause = cause;
    finish (withoutRetry (facts(), lastOutcome), lastAnswer);
}

void ActiveRequest::launch (const mesh::Choice& choice)
{
    // The process may have been paused since the search began.
    if (now() >= deadline)
        return onDeadline();

    const auto known = facts();

    // An earlier attempt or another node may have reported a crash in the meantime. Without this
    // check, each attempt of a client could crash one instance for every retry that it has.
    if (known.isHeld)
        return endWithoutLaunch (mesh::HopCause::crashSuspect);

    if (hop->stopPlan && ! hop->stopPlan->mayStart (now(), known.usualRun))
        return endWithoutLaunch (mesh::HopCause::nodeStopping);

    const auto index = attempts.size();
    auto& attempt = attempts.emplace_back();
    attempt.choice = choice;
    attempt.startedAt = now();
    attempt.isLocal = hop->caller.isLocal (choice.instance.address.ip);
    hop->chooser.started (choice.instance.id);
    send (index, makeCall (choice));

    if (! done)
        scheduleSlowCheck (index);
}

HopCall ActiveRequest::makeCall (const mesh::Choice& choice) const
{
    HopCall call;
    auto& callFacts = call.facts;
    callFacts.requestId = requestId;
    callFacts.service = service;
    callFacts.callerService = hop->settings.service;
    callFacts.instanceId = choice.instance.id;
    callFacts.route = route.name;
    callFacts.timeLeft = std::chrono::floor<Milliseconds> (deadline - now());
    callFacts.targetLeft = targetLeft();
    callFacts.priority = priorityOf (route, tenant);
    callFacts.mayRepeat = route.mayRepeat();
    callFacts.isRepeat = arrivals > 0 || mayHaveRun || hedged;
    callFacts.usualRunMs = hop->chooser.usualRunMs (route);
    callFacts.statedLimit = hop->chooser.statedLimit (choice.instance.id);
    callFacts.tenant = tenant == nullptr ? std::string() : tenant->name;
    call.method = exchange->head.method;
    call.target = exchange->head.target;
    call.fields = fields;
    call.body = exchange->body;
    call.abandoned = [client = exchange] { return client->clientDisconnected(); };
    return call;
}

void ActiveRequest::send (std::size_t index, HopCall call)
{
    attempts[index].call = hop->caller.send (
        attempts[index].choice.instance.address.ip, std::move (call), deadline,
        [weak = weak_from_this(), index] (HopDelivery delivery, const HopAnswer& answer)
        {
            if (const auto self = weak.lock())
                self->onDelivery (index, delivery, answer);
        });
}

void ActiveRequest::onDelivery (std::size_t index, HopDelivery delivery, const HopAnswer& answer)
{
    const auto& id = attempts[index].choice.instance.id;

    if (delivery == HopDelivery::unreachable)
        hop->chooser.avoidInstance (now(), id, mesh::unreachableAvoidance);
    else if (delivery == HopDelivery::lost)
        hop->chooser.avoidInstance (now(), id, mesh::lostAvoidance);

    onAnswer (index, answer);
}

void ActiveRequest::avoid (const Attempt& attempt, const HopAnswer& answer)
{
    const auto duration = mesh::avoidanceFor (answer.report.cause);

    if (duration == Milliseconds (0))
        return;

    const auto at = now();
    hop->chooser.avoidInstance (at, attempt.choice.instance.id, duration);
    hop->log->write (at, EventKind::peerAvoided,
                     { { "instance", attempt.choice.instance.id },
                       { "cause", nameOf (answer.report.cause, mesh::hopCauseNames) },
                       { "for_ms", static_cast<std::int64_t> (duration.count()) } });
}

void ActiveRequest::recordStatement (const mesh::HopReport& report)
{
    const bool hasAnswered =
        report.outcome == HopOutcome::ran || report.outcome == HopOutcome::rejected;

    // A node that has just started and has no answer yet doesn't know whether there is a limit.
    if (hasAnswered || report.statedLimit)
        hop->chooser.recordLimit (report.instanceId, report.statedLimit);

    if (report.statedLeaving)
        hop->chooser.recordLeaving (report.instanceId);
}

AttemptOutcome ActiveRequest::recordOutcome (std::size_t index, const HopAnswer& answer)
{
    auto& attempt = attempts[index];
    const auto& id = attempt.choice.instance.id;
    const auto& report = answer.report;
    attempt.active = false;
    hop->chooser.ended (id);

    if (! report.instanceId.empty() || report.outcome != HopOutcome::unknown)
        hop->chooser.recordReport (now(), id, { report.load, report.runMs, report.bodyTransferMs });

    recordStatement (report);

    if (report.cause == mesh::HopCause::instanceLimited)
        hop->chooser.recordLimited (now(), id, mesh::fromMilliseconds (report.availableMs));

    if (report.configurationVersion != 0 && hop->onPeerVersion)
        hop->reactor->callbacks()->Add ([owner = hop, version = report.configurationVersion,
                                         ip = attempt.choice.instance.address.ip]
                                        { owner->onPeerVersion (version, ip); });

    avoid (attempt, answer);

    if (report.outcome == HopOutcome::notRun)
    {
        ++notOffered;
        ++hop->counts.returnedNotRun;
        return AttemptOutcome::notOffered;
    }

    if (report.outcome == HopOutcome::rejected)
        return AttemptOutcome::rejected;

    if (report.outcome == HopOutcome::unknown)
    {
        mayHaveRun = true;
        return AttemptOutcome::unknown;
    }

    if (answer.status < 300)
        hop->chooser.recordAnswer (id, route, report.tookMs, answer.body.size());

    if (answer.status < 500)
        return AttemptOutcome::answered;

    mayHaveRun = true;
    return AttemptOutcome::failedByApp;
}

} // namespace copperlead::sidecar
