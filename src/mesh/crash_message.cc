#include "mesh/crash_message.h"

#include <algorithm>

#include "mesh/datagram_archive.h"

namespace copperlead::mesh
{
namespace
{

constexpr std::uint32_t newsMark = 0x636f7063;
constexpr std::uint32_t oldestMs = 7 * 24 * 3'600'000; // Beyond it a message is no message.

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
        static_cast<std::uint32_t> (std::clamp<std::int64_t> (record.age.count(), 0, oldestMs));
    archive (record.request.head, record.request.body, age);
    record.age = Milliseconds (age);
    record.crashes.resize (archiveCount (archive, record.crashes.size(), CrashLedger::mostCrashes));

    for (auto& known : record.crashes)
        archive (known);
}

template <typename Archive>
void serialize (Archive& archive, SuspectNews& news)
{
    news.records.resize (archiveCount (archive, news.records.size(), SuspectNews::mostRecords));

    for (auto& record : news.records)
        archive (record);
}

std::string encode (const SuspectNews& news) { return encodeDatagram (newsMark, news); }

std::optional<SuspectNews> decodeSuspectNews (std::string_view bytes)
{
    auto news = decodeDatagram<SuspectNews> (newsMark, bytes);

    if (! news)
        return std::nullopt;

    for (const auto& record : news->records)
        if (record.crashes.empty() || record.age.count() > oldestMs)
            return std::nullopt;

    return news;
}

} // namespace copperlead::mesh
