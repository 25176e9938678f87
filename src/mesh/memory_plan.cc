#include "mesh/memory_plan.h"

namespace copperlead::mesh
{
namespace
{

constexpr std::size_t processBytes = 40'000'000;

// A response that isn't larger can be held completely.
constexpr std::size_t largestAnswerBytes = 17'000'000;

constexpr std::size_t fewWaiting = 16, manyWaiting = 32;

std::size_t percentOf (std::size_t bytes, std::size_t percent) { return bytes / 100 * percent; }

} // namespace

MemoryPlan MemoryPlan::forMachine (std::size_t machineBytes)
{
    MemoryPlan plan;
    plan.process = processBytes;
    plan.clientBodies.maxWaiting = manyWaiting;
    plan.largeClientBodies.maxWaiting = fewWaiting;
    plan.nodeBodies.maxWaiting = manyWaiting;
    plan.largeNodeBodies.maxWaiting = fewWaiting;
    plan.nodeAnswers.maxWaiting = manyWaiting;
    plan.largeNodeAnswers.maxWaiting = manyWaiting;
    plan.instanceAnswers.maxWaiting = manyWaiting;
    plan.largeInstanceAnswers.maxWaiting = manyWaiting;
    plan.unread = (3 * fewWaiting + 6 * manyWaiting) * socketBufferBytes;

    const auto forMessages = machineBytes - plan.process - plan.unread;
    plan.clientBodies.bytes = plan.nodeBodies.bytes = percentOf (forMessages, 10);
    plan.nodeAnswers.bytes = plan.instanceAnswers.bytes = percentOf (forMessages, 6);
    plan.largeNodeAnswers.bytes = plan.largeInstanceAnswers.bytes = largestAnswerBytes;
    plan.largeClientBodies.bytes = plan.largeNodeBodies.bytes = (machineBytes - plan.total()) / 2;
    return plan;
}

std::size_t MemoryPlan::total() const
{
    return process + unread + clientBodies.bytes + largeClientBodies.bytes + nodeBodies.bytes +
           largeNodeBodies.bytes + nodeAnswers.bytes + largeNodeAnswers.bytes +
           instanceAnswers.bytes + largeInstanceAnswers.bytes;
}

} // namespace copperlead::mesh
