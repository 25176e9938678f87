/** The part of the last hop that acts on what its instance states in its answers: the rate of
    requests that it accepts, and that it leaves.
*/
#include <utility>

#include "mesh/enum_names.h"
#include "sidecar/instance/last_hop.h"

namespace copperlead::sidecar
{
namespace
{

using mesh::nameOf;

// While a limit is in force, a line this often logs how much the instance gets.
constexpr Milliseconds limitLineInterval{ 1000 };

} // namespace

void LastHop::recordStatement (Timestamp now, const CallResult& result, bool isHealthAnswer)
{
    const auto statement = statementOf (result.head.fields, settings.names);

    for (const auto& field : statement.unusable)
    {
        ++counts.unusableFields;
        log->write (
            now, EventKind::valueDoubted,
            { { "key", instance.id() }, { "place", field.name }, { "cause", field.value } });
    }

    if (! statement.hasUnusableLimit)
        recordLimit (now, result, statement.requestsPerSecond, isHealthAnswer);

    if (! statement.leaving || instance.statedLeaving())
        return;

    instance.recordStatedLeaving();
    logLeaving (now, "answer");
}

void LastHop::recordLimit (Timestamp now, const CallResult& result, std::optional<double> perSecond,
                           bool isHealthAnswer)
{
    auto& limit = queue.rateLimit();
    const bool changed = isHealthAnswer ? limit.recordHealthAnswer (result.headAt, perSecond)
                                        : limit.recordAnswer (result.headAt, perSecond);

    if (changed)
        handleLimitChange (now);
}

void LastHop::adoptLimit (Timestamp now, const mesh::HopRequest& facts)
{
    if (facts.statedLimit && facts.instanceId == instance.id() &&
        queue.rateLimit().adopt (now, *facts.statedLimit))
    {
        handleLimitChange (now);
        probeIfLimitUnconfirmed (now);
    }
}

void LastHop::handleLimitChange (Timestamp now)
{
    queue.reassess (now);
    armTimer();

    if (queue.rateLimit().requestsPerSecond())
        return logLimit (now);

    log->write (now, EventKind::instanceUnlimited,
                { { "instance", instance.id() },
                  { "cause", "answer" },
                  { "sent", static_cast<std::int64_t> (std::exchange (sentSinceLimitLine, 0)) },
                  { "running", static_cast<std::int64_t> (queue.running()) },
                  { "waiting", static_cast<std::int64_t> (queue.waiting()) } });
}

void LastHop::logLimit (Timestamp now)
{
    const auto& limit = queue.rateLimit();
    limitLineAt = now;
    log->write (now, EventKind::instanceLimited,
                { { "instance", instance.id() },
                  { "per_second", limit.requestsPerSecond().value_or (0) },
                  { "by", nameOf (limit.origin(), mesh::limitOriginNames) },
                  { "sent", static_cast<std::int64_t> (std::exchange (sentSinceLimitLine, 0)) },
                  { "running", static_cast<std::int64_t> (queue.running()) },
                  { "waiting", static_cast<std::int64_t> (queue.waiting()) } });
}

void LastHop::probeIfLimitUnconfirmed (Timestamp now)
{
    if (! health->canProbe() || ! queue.rateLimit().wantsProbe (now))
        return;

    ++counts.limitProbes;
    queue.rateLimit().recordProbe (now);
    probe();
}

void LastHop::followLimit (Timestamp now)
{
    probeIfLimitUnconfirmed (now);

    if (queue.rateLimit().requestsPerSecond() && now - limitLineAt >= limitLineInterval)
        logLimit (now);
}

} // namespace copperlead::sidecar
