#include "mesh/load_query.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

#include "mesh/datagram_archive.h"

namespace copperlead::mesh
{
namespace
{

constexpr std::uint32_t queryMark = 0x636f7073, replyMark = 0x636f7072;
constexpr std::size_t longestName = 255;
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

// Under load nearly every search asks in other zones, too, where each byte is dear: what follows
// saves a third of a query and its reply (193 to 139 bytes with names of ten letters).

/** Waits are shorter than a month. */
template <typename Archive>
void archiveTime (Archive& archive, Milliseconds& value)
{
    constexpr std::int64_t most = std::numeric_limits<std::int32_t>::max();
    auto count = static_cast<std::int32_t> (std::clamp<std::int64_t> (value.count(), -most, most));
    archive (count);
    value = Milliseconds (count);
}

/** An estimate, for which seven digits are plenty. */
template <typename Archive>
void archiveEstimate (Archive& archive, double& value)
{
    auto estimate = static_cast<float> (value);
    archive (estimate);
    value = static_cast<double> (estimate);
}

/** A name; what is longer than names are doesn't come back whole. */
template <typename Archive>
void archiveName (Archive& archive, std::string& name)
{
    auto length = static_cast<std::uint8_t> (std::min (name.size(), longestName));
    archive (length);
    name.resize (length);
    archive (cereal::binary_data (name.data(), length));
}

} // namespace

template <typename Archive>
void serialize (Archive& archive, LoadQuery& query)
{
    archive (query.number);
    archiveName (archive, query.service);
    archiveName (archive, query.instanceId);
    archiveName (archive, query.route);
    archive (query.priority);
    archiveTime (archive, query.timeLeft);
    archiveTime (archive, query.targetLeft);
    archiveEstimate (archive, query.usualRunMs);
}

template <typename Archive>
void serialize (Archive& archive, LoadReply& reply)
{
    archive (reply.number);
    archiveName (archive, reply.instanceId);
    archiveEnum (archive, reply.decision);
    archiveEnum (archive, reply.cause);
    archiveEstimate (archive, reply.expectedMs);
    archiveEstimate (archive, reply.load);
    archiveEstimate (archive, reply.runMs);
    archiveEstimate (archive, reply.bodyMs);
    archiveEstimate (archive, reply.failureShare);
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
