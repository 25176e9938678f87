/** The part of the last hop that follows the state of its instance: its identity, and whether it is
    reachable, failing, cold or closed to requests.
*/
#include <algorithm>
#include <utility>

#include "mesh/enum_names.h"
#include "mesh/milliseconds.h"
#include "sidecar/http/messages.h"
#include "sidecar/instance/last_hop.h"

namespace copperlead::sidecar
{
namespace
{

using mesh::HopCause;
using mesh::HopOutcome;
using mesh::nameOf;
using mesh::toMilliseconds;

constexpr int serverFailure = 500, gatewayTimeout = 504; // HTTP status codes.
// A larger share of failures is logged. A single failure among the latest runs doesn't reach it.
constexpr double failingShare = 0.3;

} // namespace

void LastHop::updateInstance (const CallResult& result, const std::string& addressedId)
{
    if (result.end == CallEnd::requestCut)
        return;

    const auto now = SteadyClock().Now();
    const auto before = instance.id();
    const auto lostFor = instance.lostFor (now);

    if (result.end != CallEnd::answered && result.end != CallEnd::broken)
    {
        if (result.connectionRefused)
            recordRefusedConnection (now);

        if (instance.recordFailure (now, result.end == CallEnd::notConnected))
        {
            log->write (now, EventKind::instanceLost,
                        { { "instance", before }, { "cause", result.cause } });
            client->closeIdleConnections (settings.instanceAddress);
            refuseAll (queue.clear(), HopCause::instanceDown);
        }

        return;
    }

    if (instance.recordAnswer (now))
        log->write (now, EventKind::instanceRegained,
                    { { "instance", before }, { "after_ms", toMilliseconds (lostFor) } });

    if (result.end != CallEnd::answered)
        return;

    const std::string reportedId (onlyValue (result.head.fields, settings.names.instanceId));

    // The first answer of another incarnation shows that the previous one is gone, not that it is
    // alive.
    if (instance.recordReportedId (reportedId))
        adoptIdentity (now, mesh::IdentitySource::selfReported, before);
    else
        recordAlive (now - result.took);

    // An answer to a request that was addressed to a predecessor says nothing about the instance.
    if (instance.known() && (reportedId.empty() ? addressedId : reportedId) == instance.id())
        recordStatement (now, result, addressedId.empty());
}

void LastHop::adoptIdentity (Timestamp now, mesh::IdentitySource by, const std::string& before)
{
    log->write (now, EventKind::identityLearned,
                { { "instance", instance.id() },
                  { "before", before },
                  { "by", nameOf (by, mesh::identitySourceNames) } });

    if (! instance.leaving())
        crashes.instanceReplaced (now);

    reportCrash();
    crashes.instanceRestarted (now);

    // An instance rejects requests that name its predecessor as the expected instance, so earlier
    // starts no longer count, unless both have the same id. Without a known predecessor this
    // process has just started, and earlier starts still count, since the previous process may have
    // sent requests.
    if (! before.empty() && before != instance.id())
        queue.startWindow().clear();

    failures = {};
    queue.rateLimit().reset();

    presumeCold (now, "new_instance");
}

void LastHop::presumeCold (Timestamp now, std::string_view cause)
{
    coldStart.presumeCold (now);
    applyColdState (now, cause);
}

void LastHop::applyColdState (Timestamp now, std::string_view cause)
{
    auto& window = queue.startWindow();
    const bool wasCold = window.isEnforced (now);
    window.enforceUntil (coldStart.until());

    if (window.isEnforced (now) != wasCold)
        log->write (now, wasCold ? EventKind::instanceWarm : EventKind::instanceCold,
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
    const bool isFirst = window.limit() == 0;
    health->setPath (service.healthPath);
    coldStart.setProfile (service.cold);
    window.setLimit (mesh::maxColdStarts (service.cold, settings.coldBounds));
    window.setQuarterLimit (
        mesh::maxColdStartsPerQuarterSecond (service.cold, settings.coldBounds));

    if (isFirst)
        window.assumeStarts (createdAt,
                             mesh::assumedColdStarts (service.cold, settings.coldBounds));

    applyColdState (now, "configuration");
    probeIfColdUnknown (now);
}

void LastHop::setEvacuated (Timestamp now, bool isEvacuated)
{
    if (evacuated == isEvacuated)
        return;

    evacuated = isEvacuated;

    if (evacuated)
        refuseAll (queue.clear(), HopCause::zoneEvacuated);
    else
        presumeCold (now, "zone_returned"); // The zone's instances may have become cold meanwhile.
}

void LastHop::probeIfColdUnknown (Timestamp now)
{
    if (! health->canProbe() || ! instance.known() || ! coldStart.wantsAnswer (now))
        return;

    ++counts.coldProbes;
    probe();
}

void LastHop::recordFailure (HopOutcome outcome, const CallResult& result)
{
    // A request that didn't run is no failure, and a time-out at the deadline only shows that the
    // request had too little time.
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

void LastHop::recordBrokenOff (const std::string& requestId, const std::string& instanceId,
                               Timestamp startedAt, Timestamp deadline)
{
    const auto now = SteadyClock().Now();
    CallResult rest;
    rest.cause = "the rest of the response didn't come";
    recordFailure (HopOutcome::unknown, rest);
    log->write (now, EventKind::answerBrokenOff,
                { { "request", requestId },
                  { "instance", instanceId },
                  { "took_ms", toMilliseconds (now - startedAt) },
                  { "left_ms", toMilliseconds (deadline - now) } });
}

void LastHop::setService (std::string service)
{
    instance.setConfiguredService (std::move (service));
}

namespace
{

/** @returns the entries of an address, newest first */
std::vector<const mesh::ListedInstance*> entriesAt (const mesh::DirectorySnapshot& directory,
                                                    const SocketAddress& address)
{
    std::vector<const mesh::ListedInstance*> found;
    const auto text = ToString (address);

    if (const auto newest = directory.byAddress.find (text); newest != directory.byAddress.end())
        found.push_back (&newest->second);

    if (const auto others = directory.othersByAddress.find (text);
        others != directory.othersByAddress.end())
        for (const auto& other : others->second)
            found.push_back (&other);

    return found;
}

} // namespace

void LastHop::setDirectory (Timestamp now, const mesh::DirectorySnapshot& directory)
{
    const auto before = instance.id();
    const bool wasLeaving = instance.leaving();
    const auto* listed = instance.chooseEntry (entriesAt (directory, settings.instanceAddress));

    if (instance.updateFromEntry (listed))
    {
        adoptIdentity (now, mesh::IdentitySource::entry, before);
        client->closeIdleConnections (settings.instanceAddress);
    }

    if (listed != nullptr && listed->instance.id == instance.id())
        coldStart.recordEntry (listed->changedAt, listed->instance.coldRemaining);

    applyColdState (now, "entry");
    probeIfColdUnknown (now);
    setEvacuated (now, directory.evacuatedZones.contains (settings.zone));
    queue.setLimit (instance.slots() + settings.extraSlots);

    if (instance.leaving() && ! wasLeaving)
        logLeaving (now, "entry");

    pump();
}

void LastHop::logLeaving (Timestamp now, std::string_view by)
{
    log->write (now, EventKind::instanceLeaving,
                { { "instance", instance.id() },
                  { "by", by },
                  { "running", static_cast<std::int64_t> (queue.running()) },
                  { "waiting", static_cast<std::int64_t> (queue.waiting()) } });
}

void LastHop::tick (Timestamp now)
{
    if (health->canProbe() && instance.wantsProbe (now))
    {
        instance.probed (now);
        probe();
    }

    probeIfColdUnknown (now);

    followLimit (now);
}

void LastHop::probe()
{
    coldStart.recordQuery (SteadyClock().Now());
    health->probe (
        [weak = weak_from_this()] (const HealthAnswer& answer)
        {
            if (const auto self = weak.lock())
                self->onProbeAnswer (answer);
        });
}

void LastHop::onProbeAnswer (const HealthAnswer& answer)
{
    const auto now = SteadyClock().Now();
    const auto before = instance.id();
    updateInstance (answer.call, {});

    if (answer.call.end == CallEnd::connectionLost)
        recordLostProbe();

    // An answer from another instance than the expected one says nothing about the expected one.
    if (answer.call.end != CallEnd::answered || answer.instanceId != instance.id())
        return;

    // If this answer revealed the instance's id, the probe counts as a probe of that instance.
    if (instance.id() != before)
        coldStart.recordQuery (now);

    coldStart.recordAnswer (now, answer.coldRemaining);
    applyColdState (now, "answer");
    probeIfColdUnknown (now);
    pump();
}

} // namespace copperlead::sidecar
