#include "sidecar/message_pools.h"

namespace copperlead::sidecar
{
namespace
{

/** Part of a pool that only small messages get. */
constexpr std::size_t shareForSmallOnes = 8;

std::shared_ptr<BufferPool> wholePool (const std::shared_ptr<Reactor>& reactor,
                                       const mesh::PoolPlan& plan)
{
    return std::make_shared<BufferPool> (
        reactor, mesh::BufferAccount (plan.bytes, plan.bytes / shareForSmallOnes, plan.maxWaiting));
}

std::shared_ptr<BufferPool> largePool (const std::shared_ptr<Reactor>& reactor,
                                       const mesh::PoolPlan& plan)
{
    return std::make_shared<BufferPool> (reactor,
                                         mesh::BufferAccount (plan.bytes, 0, plan.maxWaiting));
}

PoolFigures figuresOf (const BufferPool& pool)
{
    return { pool.used(), pool.limit(), pool.waiting(), pool.counters().waited,
             pool.counters().refused };
}

} // namespace

MessagePools::MessagePools (const std::shared_ptr<Reactor>& reactor, const mesh::MemoryPlan& plan)
    : clientBodies{ wholePool (reactor, plan.clientBodies), largePool (reactor, plan.clientStreams),
                    largePool (reactor, plan.unsizedClientBodies) }
    , nodeBodies{ wholePool (reactor, plan.nodeBodies), largePool (reactor, plan.nodeStreams),
                  largePool (reactor, {}) } // Nodes announce the length of each body.
    , nodeAnswers{ wholePool (reactor, plan.nodeAnswers),
                   largePool (reactor, plan.nodeAnswerStreams),
                   {} }
    , instanceAnswers{ wholePool (reactor, plan.instanceAnswers),
                       largePool (reactor, plan.instanceAnswerStreams),
                       {} }
{
}

std::array<PoolFigures, std::size (messagePoolNames)> MessagePools::figures() const
{
    return { figuresOf (*clientBodies.whole),     figuresOf (*clientBodies.streams),
             figuresOf (*clientBodies.unsized),   figuresOf (*nodeBodies.whole),
             figuresOf (*nodeBodies.streams),     figuresOf (*nodeAnswers.whole),
             figuresOf (*nodeAnswers.streams),    figuresOf (*instanceAnswers.whole),
             figuresOf (*instanceAnswers.streams) };
}

} // namespace copperlead::sidecar
