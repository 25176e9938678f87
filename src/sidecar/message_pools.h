/** The pools of a sidecar for all messages that it reads, of the sizes that its memory plan names.

    Each pool waits only for those that take its messages: requests of clients for other nodes,
   requests of nodes for the instance, responses of the instance for other nodes, responses of nodes
   for clients. So messages in opposite directions never wait for each other.
*/
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>

#include "mesh/memory_plan.h"
#include "sidecar/buffer_pool.h"

namespace copperlead::sidecar
{

/** Names of the pools in logs and metrics. */
inline constexpr std::string_view messagePoolNames[] = {
    "client_bodies",       "client_streams",   "unsized_client_bodies",
    "node_bodies",         "node_streams",     "node_answers",
    "node_answer_streams", "instance_answers", "instance_answer_streams"
};

/** The state of a pool. */
struct PoolFigures
{
    std::uint64_t used = 0, limit = 0, waiting = 0, waited = 0, refused = 0;
};

struct MessagePools
{
    MessagePools() = default;
    MessagePools (const std::shared_ptr<Reactor>& reactor, const mesh::MemoryPlan& plan);

    /** Returns the state of each pool, in the order of messagePoolNames. */
    std::array<PoolFigures, std::size (messagePoolNames)> figures() const;

    BufferPools clientBodies, nodeBodies, nodeAnswers, instanceAnswers;
};

} // namespace copperlead::sidecar
