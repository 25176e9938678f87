/** Encodes and decodes one message as a datagram: a mark that tells its kind, then its fields. */
#pragma once

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cstdint>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace copperlead::mesh
{

/** A count of at most `most` items, before them. @returns the count to read or write */
template <typename Archive>
std::size_t archiveCount (Archive& archive, std::size_t size, std::size_t most)
{
    auto count = static_cast<std::uint8_t> (std::min (size, most));
    archive (count);

    if (count > most)
        throw cereal::Exception ("more items than a message holds");

    return count;
}

template <typename Message>
std::string encodeDatagram (std::uint32_t mark, const Message& message)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive (stream);
    archive (mark, message);
    return std::move (stream).str();
}

/** @returns nothing when the datagram has another mark or isn't whole */
template <typename Message>
std::optional<Message> decodeDatagram (std::uint32_t mark, std::string_view bytes)
{
    std::uint32_t found = 0;
    Message message;

    try
    {
        std::istringstream stream{ std::string (bytes) };
        cereal::PortableBinaryInputArchive archive (stream);
        archive (found);

        if (found != mark)
            return std::nullopt;

        archive (message);
    }
    catch (const std::exception&)
    {
        // Whatever a stray datagram holds; a lost one is repaired in the same way.
        return std::nullopt;
    }

    return message;
}

} // namespace copperlead::mesh
