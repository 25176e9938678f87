#include "sidecar/last_hop.h"

#include <algorithm>
#include <limits>

#include "mesh/enum_names.h"
#include "mesh/milliseconds.h"
#include "sidecar/instance_answer.h"
#include "sidecar/messages.h"

namespace copperlead::sidecar
{
namespace
{

using mesh::HopCause;
using mesh::HopOutcome;
using mesh::nameOf;
using mesh::toMilliseconds;

constexpr Milliseconds probeTimeout{ 400 };
constexpr int serverFailure = 500, gatewayTimeout = 504; // Statuses of HTTP.
constexpr double failingShare = 0.3; // Worth a line: several of the latest runs, not one alone.
constexpr double repeatLearningRate = 0.03;
constexpr std::uint64_t newestId = std::numeric_limits<std::uint64_t>::max(); // Behind its equals.
constexpr Milliseconds deadlineGrace{ 20 }; // For the instance's own answer at the deadline.

ClientSettings clientSettings()
{
    ClientSettings settings;
    settings.connectTimeout = Milliseconds (250);
    settings.unacknowledged = Milliseconds (800);
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
    , client (std::make_shared<HttpClient> (reactor, clientSettings()))
    , instance (settings.service)
{
    presumeCold (SteadyClock().Now(), "start");
}

LastHop::~LastHop() { client->dropAllIdle(); }

mesh::HopReport LastHop::report (HopOutcome outcome, HopCause cause) const
{
    mesh::HopReport made;
    made.outcome = outcome;
    made.cause = cause;
    made.instanceId = instance.id();
    made.load = static_cast<double> (queue.running() + queue.waiting());
    made.runMs = queue.usualRunMs();
    made.bodyMs = bodyMs ? bodyMs() : 0;
    made.configurationVersion = configurationVersion;
    return made;
}

HopCause LastHop::refusalOf (const mesh::HopRequest& facts) const
{
    return refusalOf (facts.service, facts.usualRunMs);
}

HopCause LastHop::refusalOf (const std::string& service, double usualRunMs) const
{
    const auto usualRun = mesh::fromMilliseconds (usualRunMs);

    if (stopping || (endsAt != Timestamp::max() && SteadyClock().Now() + 2 * usualRun > endsAt))
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

mesh::LoadReply LastHop::forecast (const mesh::LoadQuery& query) const
{
    const auto now = SteadyClock().Now();
    mesh::LoadReply reply;
    reply.number = query.number;
    reply.instanceId = query.instanceId;
    reply.load = static_cast<double> (queue.running() + queue.waiting());
    reply.runMs = queue.usualRunMs();
    reply.bodyMs = bodyMs ? bodyMs() : 0;
    reply.failureShare = failures.at (now);
    reply.cause = refusalOf (query.service, query.usualRunMs);

    if (reply.cause == HopCause::none && query.instanceId != instance.id())
        reply.cause = HopCause::otherInstance;

    if (reply.cause != HopCause::none)
        return reply;

    const auto deadline = std::min<Timestamp> (now + query.timeLeft, endsAt);
    const auto expected =
        queue.forecast (now, { newestId, query.route, query.priority, now + query.targetLeft,
                               deadline, query.usualRunMs, now + query.attemptTargetLeft });
    reply.decision = expected.decision;
    reply.expectedMs = expected.expectedMs;

    if (reply.decision == mesh::AdmissionDecision::refuse)
        reply.cause = fullCause (now);

    return reply;
}

LastHop::CallId LastHop::start (HopCall call, Callback callback)
{
    const auto now = SteadyClock().Now();
    const auto id = ++lastId;
    auto& running = calls[id];
    running.call = std::move (call);
    running.callback = std::move (callback);
    running.arrivedAt = now;
    running.deadline = std::min<Timestamp> (now + running.call.facts.timeLeft, endsAt);

    if (const auto cause = refusalOf (running.call.facts); cause != HopCause::none)
    {
        refuse (id, cause);
        return id;
    }

    const auto& facts = running.call.facts;
    const auto decision =
        queue.offer (now, { id, facts.route, facts.priority, now + facts.targetLeft,
                            running.deadline, facts.usualRunMs, now + facts.attemptTargetLeft });

    if (decision == mesh::AdmissionDecision::run)
        run (id);
    else if (decision == mesh::AdmissionDecision::refuse)
        refuse (id, fullCause (now));
    else
        armTimer();

    return id;
}

HopCause LastHop::fullCause (Timestamp now) const
{
    return queue.startWindow().binds (now) ? HopCause::instanceCold : HopCause::queueFull;
}

void LastHop::logRefusal (const Running& running, HopCause cause)
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
                  { "cold_ms", std::max (coldMs (now), 0.0) } });
}

Timestamp LastHop::targetOf (const Running& running)
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

    const auto callback = std::move (found->second.callback);
    calls.erase (found);

    if (callback)
        callback (std::move (answer));
}

std::string LastHop::messageFor (const Running& running, Timestamp now) const
{
    const auto left = std::chrono::floor<Milliseconds> (running.deadline - now).count();
    auto fields = running.call.fields;
    fields.push_back ({ settings.names.requestId, running.call.facts.requestId });
    fields.push_back (
        { settings.names.deadline, std::to_string (std::max<std::int64_t> (left, 1)) });
    fields.push_back ({ settings.names.caller, running.call.facts.callerService });
    fields.push_back ({ settings.names.expectInstance, instance.id() });
    return requestMessage (running.call.method, running.call.target, fields, running.call.body);
}

bool LastHop::dropAbandoned (CallId id)
{
    const auto found = calls.find (id);
    const auto& abandoned = found->second.call.abandoned;

    if (! abandoned || ! abandoned())
        return false;

    queue.cancel (id);
    calls.erase (found);
    return true;
}

void LastHop::run (CallId id)
{
    // On a machine that is short of processor time the caller's leaving may wait to be handled.
    if (dropAbandoned (id))
        return;

    auto& running = calls.at (id);
    const auto now = SteadyClock().Now();
    running.startedAt = now;
    repeats += repeatLearningRate * ((running.call.facts.isRepeat ? 1 : 0) - repeats);

    CallOptions options;
    options.deadline = running.deadline + deadlineGrace;
    options.isHead = running.call.method == "HEAD";
    options.idField = settings.names.requestId;
    options.id = running.call.facts.requestId;

    auto message = messageFor (running, now);
    const auto http = client->send (settings.instanceAddress, std::move (message), options,
                                    [weak = weak_from_this(), id] (CallResult result)
                                    {
                                        if (const auto self = weak.lock())
                                            self->onResult (id, std::move (result));
                                    });

    if (const auto found = calls.find (id); found != calls.end())
        found->second.http = http;
}

void LastHop::learn (const CallResult& result)
{
    const auto now = SteadyClock().Now();
    const auto before = instance.id();
    const auto lostFor = instance.lostFor (now);

    if (result.end != CallEnd::answered && result.end != CallEnd::broken)
    {
        if (instance.failed (now, result.end == CallEnd::notConnected))
        {
            log->write (now, EventKind::instanceLost,
                        { { "instance", before }, { "cause", result.cause } });
            client->dropIdle (settings.instanceAddress);
            refuseAll (queue.clear(), HopCause::instanceDown);
        }

        return;
    }

    if (instance.answered (now))
        log->write (now, EventKind::instanceRegained,
                    { { "instance", before }, { "after_ms", toMilliseconds (lostFor) } });

    const auto spoken = onlyValue (result.head.fields, settings.names.instanceId);

    if (result.end == CallEnd::answered && instance.heard (std::string (spoken)))
        takeIdentity (now, mesh::IdentitySource::spoken, before);
}

void LastHop::takeIdentity (Timestamp now, mesh::IdentitySource by, const std::string& before)
{
    log->write (now, EventKind::identityLearned,
                { { "instance", instance.id() },
                  { "before", before },
                  { "by", nameOf (by, mesh::identitySourceNames) } });

    // What was sent by the former's name is turned away by this one. When there was no former one,
    // this process has just started, and its forerunner may have sent something.
    if (! before.empty())
        queue.startWindow().forget();

    presumeCold (now, "new_instance");
}

void LastHop::presumeCold (Timestamp now, std::string_view cause)
{
    coldStart.presumeCold (now);
    followColdStart (now, cause);
}

void LastHop::followColdStart (Timestamp now, std::string_view cause)
{
    auto& window = queue.startWindow();
    const bool wasBound = window.binds (now);
    window.bindUntil (coldStart.until());

    if (window.binds (now) != wasBound)
        log->write (now, wasBound ? EventKind::instanceWarm : EventKind::instanceCold,
                    { { "instance", instance.id() },
                      { "cause", cause },
                      { "for_ms", std::max (coldMs (now), 0.0) },
                      { "running", static_cast<std::int64_t> (queue.running()) },
                      { "waiting", static_cast<std::int64_t> (queue.waiting()) } });
}

double LastHop::coldMs (Timestamp now) const { return toMilliseconds (coldStart.until() - now); }

void LastHop::setServiceSettings (const mesh::ServiceSettings& service)
{
    const auto now = SteadyClock().Now();
    auto& window = queue.startWindow();
    const bool isFirst = window.most() == 0;
    healthPath = service.healthPath;
    coldStart.setProfile (service.cold);
    window.setMost (mesh::mostColdStarts (service.cold, settings.coldBounds));

    if (isFirst)
        window.assumeStarted (now, mesh::unknownColdStarts (service.cold, settings.coldBounds));

    followColdStart (now, "configuration");
    askWhetherCold (now);
}

void LastHop::setEvacuated (Timestamp now, bool isEvacuated)
{
    if (evacuated == isEvacuated)
        return;

    evacuated = isEvacuated;

    if (evacuated)
        refuseAll (queue.clear(), HopCause::zoneEvacuated);
    else
        presumeCold (now, "zone_returned"); // Its instances may have gone cold meanwhile.
}

void LastHop::askWhetherCold (Timestamp now)
{
    if (probing || healthPath.empty() || ! instance.known() || ! coldStart.wantsAnswer (now))
        return;

    ++counts.coldQuestions;
    probe();
}

void LastHop::learnFailure (HopOutcome outcome, const CallResult& result)
{
    // One that says that it didn't run has not failed; at a deadline the request's time was short.
    if (outcome == HopOutcome::rejected || outcome == HopOutcome::notRun ||
        (outcome == HopOutcome::ran && result.head.status == gatewayTimeout))
        return;

    const bool failed = outcome != HopOutcome::ran || result.head.status >= serverFailure;
    const auto now = SteadyClock().Now();
    const bool wasFailing = failures.at (now) > failingShare;
    failures.observe (now, failed);

    if (! wasFailing && failures.at (now) > failingShare)
        log->write (now, EventKind::instanceFailing,
                    { { "instance", instance.id() },
                      { "share", failures.at (now) },
                      { "outcome", nameOf (outcome, mesh::hopOutcomeNames) },
                      { "status", std::int64_t (result.head.status) },
                      { "cause", result.cause },
                      { "running", static_cast<std::int64_t> (queue.running()) } });
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
    learnFailure (outcome, result);
    counts.queue.observe (toMilliseconds (found->second.startedAt - found->second.arrivedAt));
    learn (result);
    answer.report = report (outcome, cause);
    answer.report.tookMs = took;

    if (ran)
    {
        answer.status = result.head.status;
        answer.reason = std::move (result.head.reason);
        answer.fields = forwardedAnswerFields (result.head.fields);
        answer.body = std::move (result.body);
    }

    complete (id, std::move (answer));
    pump();
}

void LastHop::pump()
{
    refuseAll (queue.expire (SteadyClock().Now()), HopCause::expired);

    while (const auto id = queue.next (SteadyClock().Now()))
        run (id);

    armTimer();
}

void LastHop::armTimer()
{
    const auto due = std::min (queue.nextExpiry(), queue.nextBoundedStart (SteadyClock().Now()));
    timer.arm (due,
               [weak = weak_from_this()]
               {
                   if (const auto self = weak.lock())
                       self->pump();
               });
}

void LastHop::cancel (CallId id)
{
    const auto found = calls.find (id);

    if (found == calls.end())
        return;

    auto& running = found->second;
    running.callback = nullptr;
    const bool started = running.startedAt != Timestamp{};

    // What may run only once is let finish: nobody could say otherwise whether it ran.
    if (started && ! running.call.facts.mayRepeat)
        return;

    const auto http = running.http;
    queue.cancel (id);
    calls.erase (found);

    if (http != nullptr)
        http->cancel();

    pump();
}

void LastHop::setService (std::string service)
{
    instance.setConfiguredService (std::move (service));
}

void LastHop::setDirectory (Timestamp now, const mesh::DirectorySnapshot& directory)
{
    const auto before = instance.id();
    const bool wasLeaving = instance.leaving();
    const auto entry = directory.byAddress.find (ToString (settings.instanceAddress));

    const auto* listed = entry == directory.byAddress.end() ? nullptr : &entry->second;

    if (instance.takeEntry (listed))
    {
        takeIdentity (now, mesh::IdentitySource::entry, before);
        client->dropIdle (settings.instanceAddress);
    }

    if (listed != nullptr && listed->instance.id == instance.id())
        coldStart.listed (listed->changedAt, listed->instance.coldFor);

    followColdStart (now, "entry");
    askWhetherCold (now);
    setEvacuated (now, directory.evacuatedZones.contains (settings.zone));
    queue.setLimit (instance.slots() + settings.extraSlots);

    if (instance.leaving() && ! wasLeaving)
        log->write (now, EventKind::instanceLeaving,
                    { { "instance", instance.id() },
                      { "running", static_cast<std::int64_t> (queue.running()) },
                      { "waiting", static_cast<std::int64_t> (queue.waiting()) } });

    if (instance.leaving())
        refuseAll (queue.clear(), HopCause::instanceLeaving);
    else
        pump();
}

void LastHop::stopTaking()
{
    stopping = true;
    refuseAll (queue.clear(), HopCause::nodeStopping);
}

void LastHop::tick (Timestamp now)
{
    if (! probing && ! healthPath.empty() && instance.wantsProbe (now))
    {
        instance.probed (now);
        probe();
    }

    askWhetherCold (now);
}

void LastHop::probe()
{
    probing = true;
    coldStart.asked (SteadyClock().Now());
    CallOptions options;
    options.deadline = SteadyClock().Now() + probeTimeout;
    options.freshConnection = true;
    const HeaderFields fields{ { "Host", ToString (settings.instanceAddress) } };
    client->send (settings.instanceAddress, requestMessage ("GET", healthPath, fields, {}), options,
                  [weak = weak_from_this()] (const CallResult& result)
                  {
                      if (const auto self = weak.lock())
                          self->onProbed (result);
                  });
}

void LastHop::onProbed (const CallResult& result)
{
    const auto now = SteadyClock().Now();
    const auto before = instance.id();
    probing = false;
    learn (result);

    if (result.end != CallEnd::answered)
        return;

    // The answer of an instance that is another than was thought says nothing of the one meant.
    const auto& fields = result.head.fields;

    if (onlyValue (fields, settings.names.instanceId) != instance.id())
        return;

    // One that names itself by this answer was asked by it, too.
    if (instance.id() != before)
        coldStart.asked (now);

    coldStart.answered (now, coldTimeOf (fields));
    followColdStart (now, "answer");
    askWhetherCold (now);
    pump();
}

/** A warm instance leaves the field out. @returns nothing when it holds no time that can be meant
 */
std::optional<Milliseconds> LastHop::coldTimeOf (const HeaderFields& fields) const
{
    const auto text = onlyValue (fields, settings.names.coldTime);
    std::uint64_t count = 0;
    const auto longest = static_cast<std::uint64_t> (mesh::longestColdTime.count());

    if (text.empty())
        return Milliseconds (0);

    if (ParseWholeNumber (text, count) && count <= longest)
        return Milliseconds (static_cast<std::int64_t> (count));

    log->write (
        SteadyClock().Now(), EventKind::valueDoubted,
        { { "key", instance.id() }, { "place", settings.names.coldTime }, { "cause", text } });

    return std::nullopt;
}

} // namespace copperlead::sidecar
