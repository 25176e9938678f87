/** Encodes and decodes one message as a datagram: a tag that identifies the message type, followed
    by the message's fields.
*/
#pragma once

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cstdint>
#include <limits>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

#include "base/time.h"

namespace copperlead::mesh
{

/** Archives the number of items that follow, which is at most `maxCount`.
    @returns the number of items to read or write
*/
template <typename Archive>
std::size_t archiveCount (Archive& archive, std::size_t size, std::size_t maxCount)
{
    auto count = static_cast<std::uint8_t> (std::min (size, maxCount));
    archive (count);

    if (count > maxCount)
        throw cereal::Exception ("message has more items than its limit");

    return count;
}

/** Encodes a time in 32 bits, which is enough since waits are shorter than a month. */
template <typename Archive>
void archiveTime (Archive& archive, Milliseconds& value)
{
    constexpr std::int64_t most = std::numeric_limits<std::int32_t>::max();
    auto count = static_cast<std::int32_t> (std::clamp<std::int64_t> (value.count(), -most, most));
    archive (count);
    value = Milliseconds (count);
}

template <typename Message>
std::string encodeDatagram (std::uint32_t tag, const Message& message)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive (stream);
    archive (tag, message);
    return std::move (stream).str();
}

/** @returns nullopt when the datagram has another tag or is truncated */
template <typename Message>
std::optional<Message> decodeDatagram (std::uint32_t tag, std::string_view bytes)
{
    std::uint32_t foundTag = 0;
    Message message;

    try
    {
        std::istringstream stream{ std::string (bytes) };
        cereal::PortableBinaryInputArchive archive (stream);
        archive (foundTag);

        if (foundTag != tag)
            return std::nullopt;

        archive (message);
    }
    catch (const std::exception&)
    {
        // A malformed datagram is treated like a lost one, which the protocols recover from.
        return std::nullopt;
    }

    return message;
}

} // namespace copperlead::mesh
