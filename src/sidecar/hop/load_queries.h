/** Carries load queries and replies between nodes, by datagrams. Nothing is sent again: who asks
    decides without the answers that don't come. Of the reactor's thread.
*/
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "mesh/load_query.h"
#include "transport/datagram_channel.h"

namespace copperlead::sidecar
{

/** Counted since the start. */
struct LoadQueryCounters
{
    std::uint64_t asked = 0, answered = 0, replies = 0, lateReplies = 0, unreadable = 0;
};

class LoadQueries : public std::enable_shared_from_this<LoadQueries>
{
public:
    using Answer = std::function<mesh::LoadReply (const mesh::LoadQuery&)>;
    using Taker = std::function<void (const mesh::LoadReply&)>;

    /** @param address  of this node; all nodes use the same port
        @param answer   to the queries of others
        @param heard    gets every reply, also one that nobody waits for any longer
    */
    LoadQueries (std::shared_ptr<Reactor> reactorToUse, SocketAddress address, Answer answer,
                 Taker heard);
    ~LoadQueries();

    /** @returns kBadAddress or kAddressInUse naming the address */
    Result<Done> start();

    /** @returns the number of a new set of queries, whose replies go to `taker` until forget() */
    std::uint64_t begin (Taker taker);
    void forget (std::uint64_t number) { waiting.erase (number); }

    void ask (const std::string& ip, const mesh::LoadQuery& query);

    /** Sends a message of another kind to the node at an IP. */
    void sendOther (const std::string& ip, const std::string& bytes);

    /** Gets the datagrams that are neither query nor reply. @returns whether it knew one */
    std::function<bool (const std::string& ip, std::string_view datagram)> takeOther;

    const LoadQueryCounters& counters() const { return counts; }

private:
    void receive (const SocketAddress& from, std::string_view datagram);
    void takeReply (const mesh::LoadReply& reply);

    std::shared_ptr<Reactor> reactor;
    SocketAddress ownAddress;
    Answer answerQuery;
    Taker hearReply;
    TransportCounters datagramCounters;
    std::unique_ptr<DatagramChannel> channel;
    std::unordered_map<std::uint64_t, Taker> waiting;
    std::uint64_t lastNumber = 0;
    LoadQueryCounters counts;
};

} // namespace copperlead::sidecar
