#include "sidecar/hop/load_queries.h"

#include <utility>

#include "sidecar/http/sockets.h"

namespace copperlead::sidecar
{

LoadQueries::LoadQueries (std::shared_ptr<Reactor> reactorToUse, SocketAddress address,
                          QueryHandler queryHandler, ReplyHandler replyHandler)
    : reactor (std::move (reactorToUse))
    , ownAddress (std::move (address))
    , answerQuery (std::move (queryHandler))
    , onReply (std::move (replyHandler))
{
}

LoadQueries::~LoadQueries()
{
    if (channel != nullptr)
        channel->Close();
}

Result<Done> LoadQueries::start()
{
    BOOST_LEAF_AUTO (socket, bindDatagram (ownAddress));
    channel = std::make_unique<DatagramChannel> (
        *reactor, std::move (socket), datagramCounters,
        [weak = weak_from_this()] (const SocketAddress& from, std::string_view datagram)
        {
            if (const auto self = weak.lock())
                self->receive (from, datagram);
        });
    channel->Open();
    return Done{};
}

std::uint64_t LoadQueries::begin (ReplyHandler handler)
{
    waiting[++lastNumber] = std::move (handler);
    return lastNumber;
}

void LoadQueries::ask (const std::string& ip, const mesh::LoadQuery& query)
{
    ++counts.asked;
    channel->Send ({ ip, ownAddress.port }, mesh::encode (query));
}

void LoadQueries::sendOther (const std::string& ip, const std::string& bytes)
{
    channel->Send ({ ip, ownAddress.port }, bytes);
}

void LoadQueries::receive (const SocketAddress& from, std::string_view datagram)
{
    if (const auto query = mesh::decodeLoadQuery (datagram))
    {
        ++counts.answered;
        channel->Send (from, mesh::encode (answerQuery (*query)));
    }
    else if (const auto reply = mesh::decodeLoadReply (datagram))
    {
        handleReply (*reply);
    }
    else if (! onOtherDatagram || ! onOtherDatagram (from.ip, datagram))
    {
        ++counts.unreadable;
    }
}

void LoadQueries::handleReply (const mesh::LoadReply& reply)
{
    ++counts.replies;
    onReply (reply);

    if (! waiting.contains (reply.number))
    {
        ++counts.lateReplies;
        return;
    }

    reactor->callbacks()->Add (
        [weak = weak_from_this(), reply]
        {
            const auto self = weak.lock();

            if (self == nullptr)
                return;

            // The search may have ended since.
            if (const auto found = self->waiting.find (reply.number); found != self->waiting.end())
                ReplyHandler (found->second) (reply);
        });
}

} // namespace copperlead::sidecar
