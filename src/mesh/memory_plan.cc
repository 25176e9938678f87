#include "mesh/memory_plan.h"

namespace copperlead::mesh
{
namespace
{

constexpr std::size_t processBytes = 40'000'000;

// What a connection reads together with a head, before its body has memory.
constexpr std::size_t inputBytes = 16 << 10;

constexpr std::size_t maxWaitingBodies = 24, maxWaitingUnsized = 8, maxWaitingAnswers = 40;

// Shares of the memory for messages.
constexpr double bodyShare = 0.06, answerShare = 0.035, streamShare = 0.035;

} // namespace

MemoryPlan MemoryPlan::forMachine (std::size_t machineBytes)
{
    // Other nodes send a large body only once there is memory for it.
    constexpr auto waitingConnections =
        2 * maxWaitingBodies + maxWaitingUnsized + 4 * maxWaitingAnswers;
    constexpr auto waitingNodes = 2 * maxWaitingBodies;
    MemoryPlan plan;
    plan.process = processBytes;
    plan.waiting =
        waitingConnections * (inputBytes + socketBufferBytes) + waitingNodes * 2 * inputBytes;

    const auto forMessages = static_cast<double> (machineBytes - plan.process - plan.waiting);
    const auto shareOf = [&] (double share)
    { return static_cast<std::size_t> (forMessages * share); };
    plan.clientBodies = plan.nodeBodies = { shareOf (bodyShare), maxWaitingBodies };
    plan.clientStreams = plan.nodeStreams = { shareOf (streamShare), maxWaitingBodies };
    plan.nodeAnswers = plan.instanceAnswers = { shareOf (answerShare), maxWaitingAnswers };
    plan.nodeAnswerStreams =
        plan.instanceAnswerStreams = { shareOf (streamShare), maxWaitingAnswers };
    plan.unsizedClientBodies = { machineBytes - plan.total(), maxWaitingUnsized };
    return plan;
}

std::size_t MemoryPlan::total() const
{
    return process + waiting + clientBodies.bytes + clientStreams.bytes +
           unsizedClientBodies.bytes + nodeBodies.bytes + nodeStreams.bytes + nodeAnswers.bytes +
           nodeAnswerStreams.bytes + instanceAnswers.bytes + instanceAnswerStreams.bytes;
}

} // namespace copperlead::mesh
