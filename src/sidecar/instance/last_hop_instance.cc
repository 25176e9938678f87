/** What the last hop learns of its instance: which one it is, whether it can be reached, fails, is
    cold or may get anything at all.
*/
#include <algorithm>

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

constexpr int serverFailure = 500, gatewayTimeout = 504; // Statuses of HTTP.
constexpr double failingShare = 0.3; // Worth a line: several of the latest runs, not one alone.

} // namespace

void LastHop::learn (const CallResult& result)
{
    const auto now = SteadyClock().Now();
    const auto before = instance.id();
    const auto lostFor = instance.lostFor (now);

    if (result.end != CallEnd::answered && result.end != CallEnd::broken)
    {
        if (result.refused)
            learnGone (now);

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

    if (result.end != CallEnd::answered)
        return;

    // The first word of another incarnation says that the former is gone, not that it lives.
    if (instance.heard (std::string (spoken)))
        takeIdentity (now, mesh::IdentitySource::spoken, before);
    else
        learnAlive (now - result.took);
}

void LastHop::takeIdentity (Timestamp now, mesh::IdentitySource by, const std::string& before)
{
    log->write (now, EventKind::identityLearned,
                { { "instance", instance.id() },
                  { "before", before },
                  { "by", nameOf (by, mesh::identitySourceNames) } });

    if (! instance.leaving())
        crashes.replaced (now);

    reportCrash();
    crashes.restarted (now);

    // What was sent by the former's name is turned away by this one, unless it has the same. When
    // there was no former one, this process has just started, and its forerunner may have sent
    // something.
    if (! before.empty() && before != instance.id())
        queue.startWindow().forget();

    failures = {};

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
    health->setPath (service.healthPath);
    coldStart.setProfile (service.cold);
    window.setMost (mesh::mostColdStarts (service.cold, settings.coldBounds));
    window.setMostInQuarter (mesh::mostColdStartsInQuarter (service.cold, settings.coldBounds));

    if (isFirst)
        window.assumeStarted (createdAt,
                              mesh::unknownColdStarts (service.cold, settings.coldBounds));

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
    if (! health->mayAsk() || ! instance.known() || ! coldStart.wantsAnswer (now))
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

void LastHop::tick (Timestamp now)
{
    if (health->mayAsk() && instance.wantsProbe (now))
    {
        instance.probed (now);
        probe();
    }

    askWhetherCold (now);
}

void LastHop::probe()
{
    coldStart.asked (SteadyClock().Now());
    health->ask (
        [weak = weak_from_this()] (const HealthAnswer& answer)
        {
            if (const auto self = weak.lock())
                self->onProbed (answer);
        });
}

void LastHop::onProbed (const HealthAnswer& answer)
{
    const auto now = SteadyClock().Now();
    const auto before = instance.id();
    learn (answer.call);

    if (answer.call.end == CallEnd::connectionLost)
        learnQuestionCut();

    // The answer of an instance that is another than was thought says nothing of the one meant.
    if (answer.call.end != CallEnd::answered || answer.instanceId != instance.id())
        return;

    // One that names itself by this answer was asked by it, too.
    if (instance.id() != before)
        coldStart.asked (now);

    coldStart.answered (now, answer.coldFor);
    followColdStart (now, "answer");
    askWhetherCold (now);
    pump();
}

} // namespace copperlead::sidecar
