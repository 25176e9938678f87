#include "mesh/memory_plan.h"

#include <gtest/gtest.h>

#include "mesh/mesh_configuration.h"

namespace copperlead::mesh
{
namespace
{

// Guards against settings for which the buffers together are larger than the machine.
TEST (MemoryPlan, TheSumOfAllBuffersFitsIntoEachMachineThatIsAccepted)
{
    for (auto bytes = MemoryPlan::leastMachineBytes; bytes <= 4'000'000'000; bytes += 999'983)
    {
        const auto plan = MemoryPlan::forMachine (bytes);
        ASSERT_LE (plan.total(), bytes);
        ASSERT_GE (plan.total(), bytes / 100 * 99) << "memory is left unused";

        for (const auto* pool :
             { &plan.clientBodies, &plan.nodeBodies, &plan.nodeAnswers, &plan.instanceAnswers })
        {
            ASSERT_GE (pool->bytes, 2 * wholeBodyBytes) << "of " << bytes;
            ASSERT_GT (pool->maxWaiting, 0U);
        }

        for (const auto* pool : { &plan.clientStreams, &plan.nodeStreams, &plan.nodeAnswerStreams,
                                  &plan.instanceAnswerStreams })
            ASSERT_GE (pool->bytes, 1'000'000U) << "of " << bytes;
    }
}

// Guards against a chunked body of the usual limit that no machine of the usual size can hold.
TEST (MemoryPlan, AMachineOfTheDefaultSizeHoldsTheLargestBodyOfUnknownLength)
{
    const auto plan = MemoryPlan::forMachine (MemoryPlan::defaultMachineBytes);
    EXPECT_GE (plan.unsizedClientBodies.bytes, ClientLimits().bodyBytes);
}

} // namespace
} // namespace copperlead::mesh
