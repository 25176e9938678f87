#include "mesh/reader_beat_codec.h"

#include "mesh/datagram_archive.h"

namespace copperlead::mesh
{
namespace
{

constexpr std::uint32_t heartbeatTag = 0x636f7064; // Distinguishes heartbeats from stray datagrams.

} // namespace

template <typename Archive>
void serialize (Archive& archive, ReaderBeat& beat)
{
    archive (beat.node, beat.zone, beat.rank.strength, beat.rank.hash, beat.at, beat.version,
             beat.sound, beat.reads);
}

std::string encode (const ReaderBeat& beat) { return encodeDatagram (heartbeatTag, beat); }

std::optional<ReaderBeat> decodeReaderBeat (std::string_view bytes)
{
    return decodeDatagram<ReaderBeat> (heartbeatTag, bytes);
}

} // namespace copperlead::mesh
