#include "mesh/call_share.h"

#include <gtest/gtest.h>

#include <random>

namespace copperlead::mesh
{
namespace
{

/** A node beside an instance that is idle for the given share of the time. The instance is sampled
    four times a second, and each route gets two requests a second.
*/
class NodeBesideInstance
{
public:
    explicit NodeBesideInstance (double idle)
        : isIdle (idle)
        , arrives (0.5)
    {
    }

    void simulate (int samples)
    {
        for (int n = 0; n < samples; ++n)
        {
            share.sample (isIdle (random));

            if (arrives (random))
                share.observe ("clients", isIdle (random));

            if (arrives (random))
                share.observe ("calls", false);

            if (arrives (random))
                share.observe ("both", arrives (random) && isIdle (random));
        }
    }

    CallShare share;

private:
    std::mt19937 random{ 5 };
    std::bernoulli_distribution isIdle, arrives;
};

TEST (CallShare, AllRequestsCountAsCallsWhileLittleIsKnown)
{
    NodeBesideInstance node (0.6);
    EXPECT_EQ (node.share.shareOfCalls ("clients"), 1);
    node.simulate (5);
    EXPECT_EQ (node.share.shareOfCalls ("clients"), 1);
}

TEST (CallShare, ClientsAreDistinguishedFromCallsWithinSeconds)
{
    NodeBesideInstance node (0.6);
    node.simulate (60);
    EXPECT_LT (node.share.shareOfCalls ("clients"), 0.5);
    EXPECT_EQ (node.share.shareOfCalls ("calls"), 1);
}

TEST (CallShare, ARouteUsedByBothGetsTheShareOfItsCalls)
{
    NodeBesideInstance node (0.6);
    node.simulate (4000);
    EXPECT_LT (node.share.shareOfCalls ("clients"), 0.15);
    EXPECT_NEAR (node.share.shareOfCalls ("both"), 0.5, 0.15);
    EXPECT_EQ (node.share.shareOfCalls ("calls"), 1);
}

TEST (CallShare, AllRequestsCountAsCallsIfTheInstanceIsNeverIdle)
{
    NodeBesideInstance node (0);
    node.simulate (4000);
    EXPECT_EQ (node.share.shareOfCalls ("clients"), 1);
}

} // namespace
} // namespace copperlead::mesh
