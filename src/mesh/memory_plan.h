/** How a sidecar divides the memory of its machine: a fixed part for the process itself, and pools
    for the messages that it reads and writes. The parts add up to the machine's memory, so the
    process stays below it whatever clients, nodes and instances send.
*/
#pragma once

#include <cstddef>
#include <cstdint>

namespace copperlead::mesh
{

/** Bodies up to this size are read completely before they are passed on. */
inline constexpr std::size_t wholeBodyBytes = 640 << 10;

/** Larger bodies are recognised by their first bytes, and by their length. */
inline constexpr std::size_t identifyingBodyBytes = 64 << 10;

/** Largest answer of the source, and of a node that passes its changes on. */
inline constexpr std::size_t maxSourceAnswerBytes = 4 << 20;

/** Largest size of the receive buffer of a connection. */
inline constexpr std::size_t socketBufferBytes = 64 << 10;

/** Bytes of one pool, and how many messages may wait for it. */
struct PoolPlan
{
    std::size_t bytes = 0;
    std::size_t maxWaiting = 0;
};

struct MemoryPlan
{
    /** Memory of the smallest machine that is accepted, and of one whose memory isn't known. */
    static constexpr std::size_t leastMachineBytes = 112'000'000;
    static constexpr std::size_t defaultMachineBytes = 160'000'000;

    /** The process without messages: code, configuration, directory, connections, logs. */
    std::size_t process = 0;

    /** Bytes that have been read, or have arrived, at connections which wait for memory. */
    std::size_t waiting = 0;

    PoolPlan clientBodies;        /**< Requests of clients, up to wholeBodyBytes. */
    PoolPlan clientStreams;       /**< Larger ones, which are passed on as they arrive. */
    PoolPlan unsizedClientBodies; /**< Larger ones of unknown length, which are held completely. */
    PoolPlan nodeBodies;          /**< Requests of other nodes. */
    PoolPlan nodeStreams;
    PoolPlan nodeAnswers; /**< Responses of other nodes. */
    PoolPlan nodeAnswerStreams;
    PoolPlan instanceAnswers; /**< Responses of the instance. */
    PoolPlan instanceAnswerStreams;

    /** @param machineBytes  at least leastMachineBytes */
    static MemoryPlan forMachine (std::size_t machineBytes);

    /** Returns the sum of all parts, which is at most the machine's memory. */
    std::size_t total() const;
};

} // namespace copperlead::mesh
