/** How the last hop would take a request that came now, for those who ask before they send. */
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

constexpr double sizeLearningRate = 0.1;
constexpr std::uint64_t newestId = std::numeric_limits<std::uint64_t>::max(); // Behind its equals.

} // namespace

double LastHop::transferMs (const std::string& route, bool overLink) const
{
    const auto found = answerBytes.find (route);

    if (! overLink || ! answerMs || found == answerBytes.end() ||
        found->second < static_cast<double> (mesh::largeAnswerBytes))
        return 0;

    return answerMs (found->second);
}

void LastHop::learnSize (const std::string& route, std::size_t bytes)
{
    const auto size = static_cast<double> (bytes);

    // Of routes whose answers are small there is nothing to remember.
    if (bytes < mesh::largeAnswerBytes && ! answerBytes.contains (route))
        return;

    auto& usual = answerBytes.try_emplace (route, size).first->second;
    usual += sizeLearningRate * (size - usual);
}

mesh::LoadReply LastHop::forecast (const mesh::LoadQuery& query, bool overLink) const
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

    const auto transfer = transferMs (query.route, overLink);
    const auto sendBy = now - mesh::fromMilliseconds (transfer);
    const auto deadline = std::min<Timestamp> (sendBy + query.timeLeft, endsAt);
    const auto expected =
        queue.forecast (now, { newestId, query.route, query.priority, sendBy + query.targetLeft,
                               deadline, query.usualRunMs });
    reply.decision = expected.decision;
    reply.expectedMs = expected.expectedMs + transfer;

    if (reply.decision == mesh::AdmissionDecision::refuse)
        reply.cause = fullCause (now);

    return reply;
}

} // namespace copperlead::sidecar
