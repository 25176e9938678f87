#include "mesh/reader_role.h"

#include <algorithm>

namespace copperlead::mesh
{

ReaderRole::ReaderRole (std::string ownName, ReaderRank ownRank,
                        const ReaderRoleSettings& settingsToUse, std::uint64_t seed)
    : name (std::move (ownName))
    , rank (ownRank)
    , settings (settingsToUse)
    , random (static_cast<std::minstd_rand::result_type> (seed % std::minstd_rand::modulus))
{
    drawPatience();
}

void ReaderRole::drawPatience()
{
    std::uniform_int_distribution<std::int64_t> spread (0, settings.patienceSpread.count());
    currentPatience = settings.patience + Milliseconds (spread (random));
}

void ReaderRole::heard (Timestamp now, const ReaderBeat& beat)
{
    if (beat.node == name)
        return;

    if (! beat.sound)
    {
        // It says that it can't read on: no need to wait until it falls silent.
        if (readers.erase (beat.node) > 0 && readers.empty() && ! isReading)
            lastSatisfied = std::min (lastSatisfied, now - settings.patience);

        return;
    }

    readers[beat.node] = { beat, now };
    heardAt = std::max (heardAt, beat.at);
    heardVersion = std::max (heardVersion, beat.version);
    updateSatisfied (now);
}

void ReaderRole::reached (Timestamp now, std::uint64_t at, std::uint64_t version)
{
    ownAt = std::max (ownAt, at);
    ownVersion = std::max (ownVersion, version);

    if (ownVersion >= seenVersion)
        seenLaterSince = Timestamp::max();

    updateSatisfied (now);
}

void ReaderRole::sawVersion (Timestamp now, std::uint64_t version)
{
    seenVersion = std::max (seenVersion, version);

    if (seenVersion > ownVersion && seenLaterSince == Timestamp::max())
        seenLaterSince = now;
}

void ReaderRole::updateSatisfied (Timestamp now)
{
    const bool fresh = std::any_of (readers.begin(), readers.end(),
                                    [&] (const auto& item)
                                    {
                                        const auto& [beat, when] = item.second;
                                        return now - when <= settings.beatInterval * 2 &&
                                               beat.at <= ownAt && beat.version <= ownVersion;
                                    });

    if (fresh)
        lastSatisfied = now;
}

bool ReaderRole::relieved (Timestamp now) const
{
    return std::any_of (readers.begin(), readers.end(),
                        [&] (const auto& item)
                        {
                            const auto& [beat, when] = item.second;
                            return now - when <= settings.patience && beat.rank.betterThan (rank) &&
                                   beat.at <= ownAt && beat.version <= ownVersion;
                        });
}

bool ReaderRole::decide (Timestamp now)
{
    std::erase_if (readers,
                   [&] (const auto& item) { return now - item.second.when > settings.patience; });

    const bool seenLater =
        seenLaterSince != Timestamp::max() && now - seenLaterSince > settings.behindTime;

    if (isReading)
    {
        isReading = seenLater || ! relieved (now);

        if (! isReading)
        {
            drawPatience();
            lastSatisfied = now;
            weakerSince = Timestamp::max();
        }

        return isReading;
    }

    const bool onlyWeaker = std::all_of (
        readers.begin(), readers.end(),
        [&] (const auto& item) { return item.second.beat.rank.strength < rank.strength; });

    if (! onlyWeaker)
        weakerSince = Timestamp::max();
    else if (weakerSince == Timestamp::max())
        weakerSince = now;

    const bool takeOver =
        weakerSince != Timestamp::max() && now - weakerSince > settings.takeOverTime;
    isReading = seenLater || takeOver || now - lastSatisfied > currentPatience;
    return isReading;
}

} // namespace copperlead::mesh
