#include "mesh/load_query.h"

#include <cmath>
#include <iterator>

#include "mesh/datagram_archive.h"

namespace copperlead::mesh
{
namespace
{

constexpr std::uint32_t queryMark = 0x636f7073, replyMark = 0x636f7072;
constexpr double longestMs = 3'600'000, mostLoad = 1'000'000; // Beyond them a reply is no reply.

bool inRange (double value, double most)
{
    return std::isfinite (value) && value >= 0 && value <= most;
}

template <typename Archive, typename Enum>
void archiveEnum (Archive& archive, Enum& value)
{
    auto number = static_cast<std::uint8_t> (value);
    archive (number);
    value = static_cast<Enum> (number);
}

template <typename Archive>
void archiveTime (Archive& archive, Milliseconds& value)
{
    auto count = static_cast<std::int64_t> (value.count());
    archive (count);
    value = Milliseconds (count);
}

} // namespace

template <typename Archive>
void serialize (Archive& archive, LoadQuery& query)
{
    archive (query.number, query.service, query.instanceId, query.route, query.priority);
    archiveTime (archive, query.timeLeft);
    archiveTime (archive, query.targetLeft);
    archive (query.usualRunMs);
}

template <typename Archive>
void serialize (Archive& archive, LoadReply& reply)
{
    archive (reply.number, reply.instanceId);
    archiveEnum (archive, reply.decision);
    archiveEnum (archive, reply.cause);
    archive (reply.expectedMs, reply.load, reply.runMs, reply.bodyMs, reply.failureShare);
}

std::string encode (const LoadQuery& query) { return encodeDatagram (queryMark, query); }
std::string encode (const LoadReply& reply) { return encodeDatagram (replyMark, reply); }

std::optional<LoadQuery> decodeLoadQuery (std::string_view bytes)
{
    auto query = decodeDatagram<LoadQuery> (queryMark, bytes);
    const Milliseconds longest (static_cast<std::int64_t> (longestMs));
    const auto sane = [&] (Milliseconds time) { return time >= -longest && time <= longest; };

    if (! query || ! inRange (query->usualRunMs, longestMs) || ! sane (query->timeLeft) ||
        ! sane (query->targetLeft))
        return std::nullopt;

    return query;
}

std::optional<LoadReply> decodeLoadReply (std::string_view bytes)
{
    auto reply = decodeDatagram<LoadReply> (replyMark, bytes);

    if (! reply || reply->decision > AdmissionDecision::refuse ||
        static_cast<std::size_t> (reply->cause) >= std::size (hopCauseNames) ||
        ! inRange (reply->expectedMs, longestMs) || ! inRange (reply->load, mostLoad) ||
        ! inRange (reply->runMs, longestMs) || ! inRange (reply->bodyMs, longestMs) ||
        ! inRange (reply->failureShare, 1))
        return std::nullopt;

    return reply;
}

} // namespace copperlead::mesh
