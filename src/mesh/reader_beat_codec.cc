#include "mesh/reader_beat_codec.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <sstream>

namespace copperlead::mesh
{
namespace
{

constexpr std::uint32_t beatMark = 0x636f7063; // Tells beats of this form from stray datagrams.

} // namespace

template <typename Archive>
void serialize (Archive& archive, ReaderBeat& beat)
{
    archive (beat.node, beat.zone, beat.rank.strength, beat.rank.hash, beat.at, beat.version,
             beat.sound);
}

std::string encode (const ReaderBeat& beat)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive (stream);
    archive (beatMark, beat);
    return std::move (stream).str();
}

std::optional<ReaderBeat> decodeReaderBeat (std::string_view bytes)
{
    std::uint32_t mark = 0;
    ReaderBeat beat;

    try
    {
        std::istringstream stream{ std::string (bytes) };
        cereal::PortableBinaryInputArchive archive (stream);
        archive (mark);

        if (mark != beatMark)
            return std::nullopt;

        archive (beat);
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }

    return beat;
}

} // namespace copperlead::mesh
