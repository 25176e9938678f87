#include "mesh/call_share.h"

#include <gtest/gtest.h>

#include <random>

namespace copperlead::mesh
{
namespace
{

/** An instance that is idle for that share of the time, sampled four times a second, beside
    clients and its own calls, two a second each.
*/
class BesideAnInstance
{
public:
    explicit BesideAnInstance (double idle)
        : isIdle (idle)
        , comes (0.5)
    {
    }

    void play (int samples)
    {
        for (int n = 0; n < samples; ++n)
        {
            share.sample (isIdle (random));

            if (comes (random))
                share.observe ("clients", isIdle (random));

            if (comes (random))
                share.observe ("calls", false);

            if (comes (random))
                share.observe ("both", comes (random) && isIdle (random));
        }
    }

    CallShare share;

private:
    std::mt19937 random{ 5 };
    std::bernoulli_distribution isIdle, comes;
};

TEST (CallShare, AllAreCallsWhileLittleIsKnown)
{
    BesideAnInstance beside (0.6);
    EXPECT_EQ (beside.share.of ("clients"), 1);
    beside.play (5);
    EXPECT_EQ (beside.share.of ("clients"), 1);
}

TEST (CallShare, ClientsAreToldFromCallsWithinSeconds)
{
    BesideAnInstance beside (0.6);
    beside.play (60);
    EXPECT_LT (beside.share.of ("clients"), 0.5);
    EXPECT_EQ (beside.share.of ("calls"), 1);
}

TEST (CallShare, ARouteThatBothUseIsCountedByItsShare)
{
    BesideAnInstance beside (0.6);
    beside.play (4000);
    EXPECT_LT (beside.share.of ("clients"), 0.15);
    EXPECT_NEAR (beside.share.of ("both"), 0.5, 0.15);
    EXPECT_EQ (beside.share.of ("calls"), 1);
}

TEST (CallShare, BesideAnInstanceThatIsNeverIdleAllAreCalls)
{
    BesideAnInstance beside (0);
    beside.play (4000);
    EXPECT_EQ (beside.share.of ("clients"), 1);
}

} // namespace
} // namespace copperlead::mesh
