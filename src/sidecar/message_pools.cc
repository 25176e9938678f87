#include "sidecar/message_pools.h"

namespace copperlead::sidecar
{
namespace
{

/** Part of a pool that only small messages get. */
constexpr std::size_t shareForSmallOnes = 8;

BufferPools makePools (const std::shared_ptr<Reactor>& reactor, const mesh::PoolPlan& whole,
                       const mesh::PoolPlan& large)
{
    return { std::make_shared<BufferPool> (
                 reactor, mesh::BufferAccount (whole.bytes, whole.bytes / shareForSmallOnes,
                                               whole.maxWaiting)),
             std::make_shared<BufferPool> (
                 reactor, mesh::BufferAccount (large.bytes, 0, large.maxWaiting)) };
}

PoolFigures figuresOf (const BufferPool& pool)
{
    return { pool.used(), pool.limit(), pool.waiting(), pool.counters().waited,
             pool.counters().refused };
}

} // namespace

MessagePools::MessagePools (const std::shared_ptr<Reactor>& reactor, const mesh::MemoryPlan& plan)
    : clientBodies (makePools (reactor, plan.clientBodies, plan.largeClientBodies))
    , nodeBodies (makePools (reactor, plan.nodeBodies, plan.largeNodeBodies))
    , nodeAnswers (makePools (reactor, plan.nodeAnswers, plan.largeNodeAnswers))
    , instanceAnswers (makePools (reactor, plan.instanceAnswers, plan.largeInstanceAnswers))
{
}

std::array<PoolFigures, std::size (messagePoolNames)> MessagePools::figures() const
{
    return { figuresOf (*clientBodies.whole),    figuresOf (*clientBodies.large),
             figuresOf (*nodeBodies.whole),      figuresOf (*nodeBodies.large),
             figuresOf (*nodeAnswers.whole),     figuresOf (*nodeAnswers.large),
             figuresOf (*instanceAnswers.whole), figuresOf (*instanceAnswers.large) };
}

} // namespace copperlead::sidecar
