#include "mesh/reader_beat_codec.h"

#include "mesh/datagram_archive.h"

namespace copperlead::mesh
{
namespace
{

constexpr std::uint32_t heartbeatTag = 0x636f7064; // Distinguishes heartbeats from stray datagrams.

} // namespace

template <typename Archive>
void serialize (Archive& archive, ReaderBeat& heartbeat)
{
    archive (heartbeat.node, heartbeat.zone, heartbeat.rank.strength, heartbeat.rank.hash,
             heartbeat.at, heartbeat.version, heartbeat.sound, heartbeat.reads);
}

std::string encode (const ReaderBeat& heartbeat)
{
    return encodeDatagram (heartbeatTag, heartbeat);
}

std::optional<ReaderBeat> decodeReaderBeat (std::string_view bytes)
{
    return decodeDatagram<ReaderBeat> (heartbeatTag, bytes);
}

} // namespace copperlead::mesh
