#include "mesh/crash_message.h"

#include <algorithm>

#include "mesh/datagram_archive.h"

namespace copperlead::mesh
{
namespace
{

constexpr std::uint32_t messageMark = 0x636f7063;

// Seven days. Ages are limited to it when encoded; a message with a greater age is rejected.
constexpr std::uint32_t maxAgeMs = 7 * 24 * 3'600'000;

} // namespace

template <typename Archive>
void serialize (Archive& archive, KnownCrash& known)
{
    archive (known.crash, known.cleared);
}

template <typename Archive>
void serialize (Archive& archive, SuspectRecord& record)
{
    auto age =
        static_cast<std::uint32_t> (std::clamp<std::int64_t> (record.age.count(), 0, maxAgeMs));
    archive (record.request.head, record.request.body, age);
    record.age = Milliseconds (age);
    record.crashes.resize (
        archiveCount (archive, record.crashes.size(), CrashLedger::maxCrashesPerSuspect));

    for (auto& known : record.crashes)
        archive (known);
}

template <typename Archive>
void serialize (Archive& archive, SuspectUpdate& update)
{
    update.records.resize (
        archiveCount (archive, update.records.size(), SuspectUpdate::maxRecords));

    for (auto& record : update.records)
        archive (record);
}

std::string encode (const SuspectUpdate& update) { return encodeDatagram (messageMark, update); }

std::optional<SuspectUpdate> decodeSuspectUpdate (std::string_view bytes)
{
    auto update = decodeDatagram<SuspectUpdate> (messageMark, bytes);

    if (! update)
        return std::nullopt;

    for (const auto& record : update->records)
        if (record.crashes.empty() || record.age.count() > maxAgeMs)
            return std::nullopt;

    return update;
}

} // namespace copperlead::mesh
