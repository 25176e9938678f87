/** The part of the last hop that answers load queries: it predicts what would happen to a request
    that arrived now.
*/
#include <algorithm>
#include <limits>

#include "mesh/link_schedule.h"
#include "mesh/milliseconds.h"
#include "sidecar/instance/last_hop.h"

namespace copperlead::sidecar
{
namespace
{

using mesh::HopCause;

constexpr double sizeAveragingWeight = 0.1;
// Sorts behind all other requests of the same rank.
constexpr std::uint64_t maxRequestId = std::numeric_limits<std::uint64_t>::max();

} // namespace

double LastHop::transferMs (const std::string& route, bool overLink) const
{
    const auto found = answerBytes.find (route);

    if (! overLink || ! answerMs || found == answerBytes.end() ||
        found->second < static_cast<double> (mesh::largeAnswerBytes))
        return 0;

    return answerMs (found->second);
}

void LastHop::updateAnswerSize (const std::string& route, std::size_t bytes)
{
    const auto size = static_cast<double> (bytes);

    // Routes whose answers have always been small need no entry.
    if (bytes < mesh::largeAnswerBytes && ! answerBytes.contains (route))
        return;

    auto& average = answerBytes.try_emplace (route, size).first->second;
    average += sizeAveragingWeight * (size - average);
}

mesh::LoadReply LastHop::forecast (const mesh::LoadQuery& query, bool overLink) const
{
    const auto now = SteadyClock().Now();
    mesh::LoadReply reply;
    reply.number = query.number;
    reply.instanceId = query.instanceId;
    reply.load = static_cast<double> (queue.running() + queue.waiting());
    reply.runMs = queue.usualRunMs();
    reply.bodyTransferMs = bodyTransferMs ? bodyTransferMs() : 0;
    reply.failureShare = failures.at (now);
    reply.cause = refusalOf (query.service, query.usualRunMs);

    if (reply.cause == HopCause::none && query.instanceId != instance.id())
        reply.cause = HopCause::otherInstance;

    if (reply.cause != HopCause::none)
        return reply;

    const auto transfer = transferMs (query.route, overLink);
    const auto sendBy = now - mesh::fromMilliseconds (transfer);
    const auto deadline = std::min<Timestamp> (sendBy + query.timeLeft, runDeadline);
    const auto expected =
        queue.forecast (now, { maxRequestId, query.route, query.priority, sendBy + query.targetLeft,
                               deadline, query.usualRunMs });
    reply.decision = expected.decision;
    reply.expectedMs = expected.expectedMs + transfer;

    if (reply.decision == mesh::AdmissionDecision::refuse)
        reply.cause = queueRefusalCause (now);

    if (reply.cause == HopCause::instanceLimited)
        reply.expectedMs = mesh::toMilliseconds (queue.rateLimitDelay (now));

    return reply;
}

} // namespace copperlead::sidecar
