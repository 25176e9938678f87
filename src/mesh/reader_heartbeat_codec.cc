#include "mesh/reader_heartbeat_codec.h"

#include "mesh/datagram_archive.h"

namespace copperlead::mesh
{
namespace
{

constexpr std::uint32_t heartbeatTag = 0x636f7064; // Distinguishes heartbeats from stray datagrams.

} // namespace

template <typename Archive>
void serialize (Archive& archive, ReaderHeartbeat& heartbeat)
{
    archive (heartbeat.node, heartbeat.zone, heartbeat.rank.strength, heartbeat.rank.hash,
             heartbeat.position, heartbeat.version, heartbeat.healthy, heartbeat.reads);
}

std::string encode (const ReaderHeartbeat& heartbeat)
{
    return encodeDatagram (heartbeatTag, heartbeat);
}

std::optional<ReaderHeartbeat> decodeReaderHeartbeat (std::string_view bytes)
{
    return decodeDatagram<ReaderHeartbeat> (heartbeatTag, bytes);
}

} // namespace copperlead::mesh
