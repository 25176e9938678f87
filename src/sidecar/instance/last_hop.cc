#include "sidecar/instance/last_hop.h"

#include <algorithm>
#include <random>

#include "mesh/enum_names.h"
#include "mesh/milliseconds.h"
#include "sidecar/http/messages.h"
#include "sidecar/instance/instance_answer.h"

namespace copperlead::sidecar
{
namespace
{

using mesh::HopCause;
using mesh::HopOutcome;
using mesh::nameOf;
using mesh::toMilliseconds;

constexpr double noLimitInLog = -1;
constexpr double repeatAveragingWeight = 0.03;
// Leaves time for the instance's own answer at the deadline to arrive.
constexpr Milliseconds deadlineGrace{ 20 };
// For requests that must not be repeated. An instance that closes after an answer has done so by
// then.
constexpr Milliseconds minIdleTime{ 20 };

ClientSettings clientSettings (const BufferPools& answerPools)
{
    ClientSettings settings;
    settings.answerPools = answerPools;
    settings.streamsAnswers = true;
    settings.mayLeaveBodiesUnread = true;
    settings.connectTimeout = Milliseconds (250);
    settings.unacknowledgedTimeout = Milliseconds (800);
    settings.idleTime = Milliseconds (8000);
    return settings;
}

} // namespace

LastHop::LastHop (std::shared_ptr<Reactor> reactorToUse, LastHopSettings settingsToUse,
                  std::shared_ptr<DecisionLog> logToUse)
    : reactor (std::move (reactorToUse))
    , timer (reactor)
    , settings (std::move (settingsToUse))
    , log (std::move (logToUse))
    , client (std::make_shared<HttpClient> (reactor, clientSettings (settings.answerPools)))
    , health (std::make_shared<HealthProbe> (client, settings.names, settings.instanceAddress, log))
    , instance (settings.service)
    , crashes (std::random_device{}())
{
    presumeCold (SteadyClock().Now(), "start");
}

LastHop::~LastHop() { client->closeAllIdleConnections(); }

mesh::HopReport LastHop::report (HopOutcome outcome, HopCause cause) const
{
    mesh::HopReport made;
    made.outcome = outcome;
    made.cause = cause;
    made.instanceId = instance.id();
    made.load = static_cast<double> (queue.running() + queue.waiting());
    made.runMs = queue.usualRunMs();
    made.bodyTransferMs = bodyTransferMs ? bodyTransferMs() : 0;
    made.configurationVersion = configurationVersion;
    made.statedLimit = queue.rateLimit().requestsPerSecond();
    made.statedLeaving = instance.statedLeaving();

    if (cause == HopCause::instanceLimited)
        made.availableMs = toMilliseconds (queue.rateLimitDelay (SteadyClock().Now()));

    return made;
}

HopCause LastHop::refusalOf (const mesh::HopRequest& facts) const
{
    return refusalOf (facts.service, facts.usualRunMs);
}

HopCause LastHop::refusalOf (const std::string& service, double usualRunMs) const
{
    const auto usualRun = mesh::fromMilliseconds (usualRunMs);

    if (stopping ||
        (runDeadline != Timestamp::max() && SteadyClock().Now() + 2 * usualRun > runDeadline))
        return HopCause::nodeStopping;

    if (! instance.known())
        return HopCause::instanceUnknown;

    if (instance.service() != service)
        return HopCause::otherService;

    if (instance.leaving())
        return HopCause::instanceLeaving;

    if (evacuated)
        return HopCause::zoneEvacuated;

    return instance.lost() ? HopCause::instanceDown : HopCause::none;
}

LastHop::CallId LastHop::start (HopCall call, Callback callback)
{
    const auto now = SteadyClock().Now();
    const auto id = ++lastId;
    auto& running = calls[id];
    running.call = std::move (call);
    running.callback = { reactor->callbacks(), [weak = weak_from_this(), id,
                                                callback = std::move (callback)] (HopAnswer answer)
                         {
                             if (const auto self = weak.lock())
                                 self->ended.erase (id);

                             callback (std::move (answer));
                         } };
    running.arrivedAt = now;
    running.deadline = std::min<Timestamp> (now + running.call.facts.timeLeft, runDeadline);

    if (const auto cause = refusalOf (running.call.facts); cause != HopCause::none)
    {
        refuse (id, cause);
        return id;
    }

    if (isHeld (running.call))
    {
        refuse (id, HopCause::crashSuspect);
        return id;
    }

    adoptLimit (now, running.call.facts);
    const auto& facts = running.call.facts;
    const auto transfer = mesh::fromMilliseconds (transferMs (facts.route, running.call.overLink));
    const auto decision =
        queue.offer (now, { id, facts.route, facts.priority, now + facts.targetLeft - transfer,
                            running.deadline - transfer, facts.usualRunMs });

    if (decision == mesh::AdmissionDecision::run)
        run (id, now);
    else if (decision == mesh::AdmissionDecision::refuse)
        refuse (id, queueRefusalCause (now));
    else
        armTimer();

    return id;
}

HopCause LastHop::queueRefusalCause (Timestamp now) const
{
    if (queue.isRateLimited (now))
        return HopCause::instanceLimited;

    return queue.startWindow().isEnforced (now) ? HopCause::instanceCold : HopCause::queueFull;
}

void LastHop::logRefusal (const PendingCall& running, HopCause cause)
{
    const auto now = SteadyClock().Now();
    log->write (now, EventKind::admissionRefused,
                { { "request", running.call.facts.requestId },
                  { "instance", instance.id() },
                  { "cause", nameOf (cause, mesh::hopCauseNames) },
                  { "running", static_cast<std::int64_t> (queue.running()) },
                  { "waiting", static_cast<std::int64_t> (queue.waiting()) },
                  { "waiting_late", static_cast<std::int64_t> (queue.waitingLate()) },
                  { "target_ms", toMilliseconds (targetOf (running) - now) },
                  { "left_ms", toMilliseconds (running.deadline - now) },
                  { "wait_ms", queue.expectedWaitMs (now, running.call.facts.priority) },
                  { "cold_ms", std::max (coldMs (now), 0.0) },
                  { "limit", queue.rateLimit().requestsPerSecond().value_or (noLimitInLog) } });
}

Timestamp LastHop::targetOf (const PendingCall& running)
{
    return running.arrivedAt + running.call.facts.targetLeft;
}

void LastHop::refuse (CallId id, HopCause cause)
{
    logRefusal (calls.at (id), cause);
    HopAnswer answer;
    answer.report = report (HopOutcome::notRun, cause);
    complete (id, std::move (answer));
}

void LastHop::refuseAll (const std::vector<CallId>& ids, HopCause cause)
{
    for (const auto id : ids)
        refuse (id, cause);
}

void LastHop::complete (CallId id, HopAnswer answer)
{
    const auto found = calls.find (id);

    if (found == calls.end())
        return;

    const auto& running = found->second;

    if (running.startedAt != Timestamp{})
        answer.report.waitedMs = toMilliseconds (running.startedAt - running.arrivedAt);

    auto callback = std::move (found->second.callback);
    calls.erase (found);

    if (! callback)
        return;

    // Until it is called, cancel() can withdraw it.
    ended.emplace (id, callback);
    callback (std::move (answer));
}

Message LastHop::messageFor (const PendingCall& running, Timestamp now) const
{
    const auto left = std::chrono::floor<Milliseconds> (running.deadline - now).count();
    auto fields = running.call.fields;
    fields.push_back ({ settings.names.requestId, running.call.facts.requestId });
    fields.push_back (
        { settings.names.deadline, std::to_string (std::max<std::int64_t> (left, 1)) });
    fields.push_back ({ settings.names.caller, running.call.facts.callerService });
    fields.push_back ({ settings.names.expectInstance, instance.id() });

    if (! running.call.facts.tenant.empty())
        fields.push_back ({ settings.names.tenant, running.call.facts.tenant });

    return requestMessage (running.call.method, running.call.target, fields, running.call.body);
}

bool LastHop::dropAbandoned (CallId id)
{
    const auto found = calls.find (id);
    const auto& abandoned = found->second.call.abandoned;

    if (! abandoned || ! abandoned())
        return false;

    const auto now = SteadyClock().Now();
    log->write (now, EventKind::runAbandoned,
                { { "request", found->second.call.facts.requestId },
                  { "instance", instance.id() },
                  { "waited_ms", toMilliseconds (now - found->second.arrivedAt) },
                  { "running", static_cast<std::int64_t> (queue.running()) },
                  { "waiting", static_cast<std::int64_t> (queue.waiting()) } });
    queue.cancelStart (id);
    calls.erase (found);
    return true;
}

void LastHop::run (CallId id, Timestamp now)
{
    // On an overloaded machine, the caller's disconnection may not have been handled yet.
    if (dropAbandoned (id) || dropHeld (id))
        return;

    auto& running = calls.at (id);
    running.startedAt = now;
    running.addressedId = instance.id();
    ++sentSinceLimitLine;
    repeats += repeatAveragingWeight * ((running.call.facts.isRepeat ? 1 : 0) - repeats);

    CallOptions options;
    options.deadline = running.deadline + deadlineGrace;
    options.isHead = running.call.method == "HEAD";
    options.minIdleTime = running.call.facts.mayRepeat ? Duration::zero() : minIdleTime;
    options.idField = settings.names.requestId;
    options.id = running.call.facts.requestId;
    options.limitsTransfer = true;

    if (queue.startWindow().limit() > 0)
        options.onSent = [weak = weak_from_this(), startedAt = now]
        {
            if (const auto self = weak.lock())
                self->queue.startWindow().postponeStart (startedAt, SteadyClock().Now());
        };

    const auto message = messageFor (running, now);
    const auto http = client->send (settings.instanceAddress, message, options,
                                    [weak = weak_from_this(), id] (CallResult result)
                                    {
                                        if (const auto self = weak.lock())
                                            self->onResult (id, std::move (result));
                                    });

    if (const auto found = calls.find (id); found != calls.end())
        found->second.http = http;
}

void LastHop::onResult (CallId id, CallResult result)
{
    const auto found = calls.find (id);

    if (found == calls.end())
        return;

    HopAnswer answer;
    const auto [outcome, cause] = judgeInstanceAnswer (result, settings.names);
    const bool ran = outcome == HopOutcome::ran;
    const bool measured = ran && result.head.status < 300;
    const auto took = toMilliseconds (SteadyClock().Now() - found->second.startedAt);
    queue.finished (id, measured ? took : 0);
    counts.instance.observe (took);

    // A request whose body ended early says nothing about the instance.
    if (result.end != CallEnd::requestCut)
    {
        recordFailure (outcome, result);

        if (outcome == HopOutcome::unknown)
            recordUnanswered (found->second);
    }

    counts.queue.observe (toMilliseconds (found->second.startedAt - found->second.arrivedAt));
    updateInstance (result, found->second.addressedId);
    answer.report = report (outcome, cause);
    answer.report.tookMs = took;

    if (ran)
    {
        if (guard != nullptr)
            guard->answered (identityOf (found->second.call));

        updateAnswerSize (found->second.call.facts.route, result.body.size());
        answer.status = result.head.status;
        answer.reason = std::move (result.head.reason);
        answer.fields = forwardedAnswerFields (result.head.fields);
        answer.body = std::move (result.body);
    }

    if (const auto& rest = answer.body.stream())
        trackTransfer (id, found->second, *rest);

    complete (id, std::move (answer));
    pump();
}

void LastHop::trackTransfer (CallId id, const PendingCall& running, BodyStream& rest)
{
    transfers.insert (id);
    rest.onEnded = [weak = weak_from_this(), id, requestId = running.call.facts.requestId,
                    instanceId = running.addressedId, startedAt = running.startedAt,
                    deadline = running.deadline] (BodyEnd end)
    {
        const auto self = weak.lock();

        if (self == nullptr)
            return;

        self->transfers.erase (id);

        if (end == BodyEnd::brokenOff)
            self->recordBrokenOff (requestId, instanceId, startedAt, deadline);
    };
}

void LastHop::pump()
{
    // What waits may have been queued before the instance's entry or an answer said that it leaves.
    if (instance.leaving())
        refuseAll (queue.clear(), HopCause::instanceLeaving);

    const auto at = SteadyClock().Now();
    refuseAll (queue.expire (at),
               queue.isRateLimited (at) ? HopCause::instanceLimited : HopCause::expired);

    for (;;)
    {
        const auto now = SteadyClock().Now();
        const auto id = queue.next (now);

        if (id == 0)
            break;

        run (id, now);
    }

    armTimer();
}

void LastHop::armTimer()
{
    const auto due =
        std::min (queue.nextExpiry(), queue.nextRateLimitedStart (SteadyClock().Now()));
    timer.arm (due,
               [weak = weak_from_this()]
               {
                   if (const auto self = weak.lock())
                       self->pump();
               });
}

void LastHop::cancel (CallId id)
{
    if (auto completed = ended.extract (id))
        completed.mapped().Cancel();

    const auto found = calls.find (id);

    if (found == calls.end())
        return;

    auto& running = found->second;
    running.callback.Cancel();
    const bool started = running.startedAt != Timestamp{};

    // A request that must not be repeated is left to finish, since after an abort it would be
    // unknown whether it ran.
    if (started && ! running.call.facts.mayRepeat)
        return;

    // A request that was aborted may still crash the instance.
    if (started)
        crashes.recordAbortedRun (SteadyClock().Now(), running.startedAt,
                                  mesh::digestOf (identityOf (running.call)));

    const auto http = running.http;
    queue.cancel (id);
    calls.erase (found);

    if (http != nullptr)
        http->cancel();

    pump();
}

void LastHop::stopAccepting()
{
    stopping = true;
    refuseAll (queue.clear(), HopCause::nodeStopping);
}

} // namespace copperlead::sidecar
