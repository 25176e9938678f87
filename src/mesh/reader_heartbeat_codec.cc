#include "mesh/reader_heartbeat_codec.h"

#include "mesh/datagram_archive.h"

namespace copperlead::mesh
{
namespace
{

constexpr std::uint32_t heartbeatTag = 0x636f7064; // Distinguishes heartbeats from stray datagrams.

/** A heartbeat of a release that doesn't report when the source last answered. */
struct EarlierHeartbeat
{
    ReaderHeartbeat heartbeat;
};

template <typename Archive>
void archiveCommonFields (Archive& archive, ReaderHeartbeat& heartbeat)
{
    archive (heartbeat.node, heartbeat.zone, heartbeat.rank.strength, heartbeat.rank.hash,
             heartbeat.position, heartbeat.version, heartbeat.healthy, heartbeat.reads);
}

template <typename Archive>
void serialize (Archive& archive, EarlierHeartbeat& earlier)
{
    archiveCommonFields (archive, earlier.heartbeat);
}

} // namespace

template <typename Archive>
void serialize (Archive& archive, ReaderHeartbeat& heartbeat)
{
    archiveCommonFields (archive, heartbeat);
    archiveTime (archive, heartbeat.confirmationAge);
    archiveTime (archive, heartbeat.absenceGrace);
}

std::string encode (const ReaderHeartbeat& heartbeat)
{
    return encodeDatagram (heartbeatTag, heartbeat);
}

std::optional<ReaderHeartbeat> decodeReaderHeartbeat (std::string_view bytes)
{
    if (auto heartbeat = decodeDatagram<ReaderHeartbeat> (heartbeatTag, bytes))
        return heartbeat;

    // A truncated heartbeat of this release is longer than one of an earlier release.
    const auto earlier = decodeDatagram<EarlierHeartbeat> (heartbeatTag, bytes);

    if (! earlier || encodeDatagram (heartbeatTag, *earlier).size() != bytes.size())
        return std::nullopt;

    return earlier->heartbeat;
}

} // namespace copperlead::mesh
