/** Exchanges load queries and replies between nodes as datagrams. Nothing is retransmitted: a
   search decides without the replies that are missing. To be used on the reactor's thread only.
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

/** Counters since the process started. */
struct LoadQueryCounters
{
    std::uint64_t asked = 0, answered = 0, replies = 0, lateReplies = 0, unreadable = 0;
};

class LoadQueries : public std::enable_shared_from_this<LoadQueries>
{
public:
    using QueryHandler = std::function<mesh::LoadReply (const mesh::LoadQuery&)>;
    using ReplyHandler = std::function<void (const mesh::LoadReply&)>;

    /** @param address       address of this node; all nodes use the same port
        @param queryHandler  makes the replies to the queries of other nodes
        @param replyHandler  receives every reply, including late ones
    */
    LoadQueries (std::shared_ptr<Reactor> reactorToUse, SocketAddress address,
                 QueryHandler queryHandler, ReplyHandler replyHandler);
    ~LoadQueries();

    /** @returns kBadAddress or kAddressInUse naming the address */
    Result<Done> start();

    /** @returns the number of a new set of queries, whose replies go to `handler` until forget() */
    std::uint64_t begin (ReplyHandler handler);
    void forget (std::uint64_t number) { waiting.erase (number); }

    void ask (const std::string& ip, const mesh::LoadQuery& query);

    /** Sends a message of another kind to the node at an IP. */
    void sendOther (const std::string& ip, const std::string& bytes);

    /** Receives datagrams that are neither queries nor replies. @returns true if it handled one */
    std::function<bool (const std::string& ip, std::string_view datagram)> onOtherDatagram;

    const LoadQueryCounters& counters() const { return counts; }

private:
    void receive (const SocketAddress& from, std::string_view datagram);
    void handleReply (const mesh::LoadReply& reply);

    std::shared_ptr<Reactor> reactor;
    SocketAddress ownAddress;
    QueryHandler answerQuery;
    ReplyHandler onReply;
    TransportCounters datagramCounters;
    std::unique_ptr<DatagramChannel> channel;
    std::unordered_map<std::uint64_t, ReplyHandler> waiting;
    std::uint64_t lastNumber = 0;
    LoadQueryCounters counts;
};

} // namespace copperlead::sidecar
