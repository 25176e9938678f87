#include "mesh/reader_heartbeat_codec.h"

#include "mesh/datagram_archive.h"

namespace copperlead::mesh
{
namespace
{

constexpr std::uint32_t heartbeatTag = 0x636f7064; // Distinguishes heartbeats from stray datagrams.

/** A heartbeat of a release that doesn't report since when the source has answered. */
struct HeartbeatWithoutPeriod
{
    ReaderHeartbeat heartbeat;
};

/** A heartbeat of an earlier release, which doesn't report when the source last answered either. */
struct HeartbeatWithoutAge
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
void archiveAges (Archive& archive, ReaderHeartbeat& heartbeat)
{
    archiveTime (archive, heartbeat.confirmationAge);
    archiveTime (archive, heartbeat.absenceGrace);
}

template <typename Archive>
void serialize (Archive& archive, HeartbeatWithoutPeriod& earlier)
{
    archiveCommonFields (archive, earlier.heartbeat);
    archiveAges (archive, earlier.heartbeat);
}

template <typename Archive>
void serialize (Archive& archive, HeartbeatWithoutAge& earlier)
{
    archiveCommonFields (archive, earlier.heartbeat);
}

/** @returns the heartbeat if the datagram is exactly one of the release that writes `Earlier` */
template <typename Earlier>
std::optional<ReaderHeartbeat> decodeEarlier (std::string_view bytes)
{
    const auto earlier = decodeDatagram<Earlier> (heartbeatTag, bytes);

    // A truncated heartbeat of a later release is longer.
    if (! earlier || encodeDatagram (heartbeatTag, *earlier).size() != bytes.size())
        return std::nullopt;

    return earlier->heartbeat;
}

} // namespace

template <typename Archive>
void serialize (Archive& archive, ReaderHeartbeat& heartbeat)
{
    archiveCommonFields (archive, heartbeat);
    archiveAges (archive, heartbeat);
    archiveTime (archive, heartbeat.answeringAge);
}

std::string encode (const ReaderHeartbeat& heartbeat)
{
    return encodeDatagram (heartbeatTag, heartbeat);
}

std::optional<ReaderHeartbeat> decodeReaderHeartbeat (std::string_view bytes)
{
    if (auto heartbeat = decodeDatagram<ReaderHeartbeat> (heartbeatTag, bytes))
        return heartbeat;

    if (auto heartbeat = decodeEarlier<HeartbeatWithoutPeriod> (bytes))
        return heartbeat;

    return decodeEarlier<HeartbeatWithoutAge> (bytes);
}

} // namespace copperlead::mesh
