#include "mesh/reader_role.h"

#include <algorithm>
#include <utility>

namespace copperlead::mesh
{

ReaderRole::ReaderRole (std::string ownName, ReaderRank ownRank,
                        const ReaderRoleSettings& settingsToUse, std::uint64_t seed)
    : name (std::move (ownName))
    , rank (ownRank)
    , settings (settingsToUse)
    , random (static_cast<std::minstd_rand::result_type> (seed % std::minstd_rand::modulus))
{
    // A look costs the source little, so a weak machine needn't leave it to others.
    const auto weakness = settings.mayLook ? Milliseconds (0) : weaknessPatience();
    drawPatience (settings.unlistedPatience + weakness, settings.unlistedSpread);
}

void ReaderRole::drawPatience (Milliseconds least, std::optional<Milliseconds> spread)
{
    leastPatience = least;
    startSpread = spread;
    drawnShare = std::uniform_real_distribution<double> (0, 1) (random);
}

Duration ReaderRole::patience() const
{
    const auto spread = startSpread.value_or (takeOverSpread());
    return leastPatience + std::chrono::duration_cast<Duration> (drawnShare * spread);
}

void ReaderRole::drawTurn() { drawPatience (settings.patience, std::nullopt); }

Milliseconds ReaderRole::takeOverSpread() const
{
    return std::max (settings.patienceSpread,
                     settings.zoneTryInterval * static_cast<std::int64_t> (zonePeers));
}

Milliseconds ReaderRole::weaknessPatience() const
{
    return settings.weakerPatience * std::max (0, topStrength - rank.strength);
}

void ReaderRole::restartPatience (Timestamp now, Milliseconds least, Milliseconds spread)
{
    patientSince = now;
    drawPatience (least + weaknessPatience(), spread);
}

void ReaderRole::listed (Timestamp now)
{
    isListed = true;

    if (lastSatisfied != Timestamp{} || isReading || std::exchange (hasBeenListed, true))
        return;

    restartPatience (now, settings.listedPatience, settings.listedSpread);
}

void ReaderRole::subscribed (Timestamp now)
{
    if (lastSatisfied != Timestamp{} || isReading || std::exchange (hasSubscribed, true))
        return;

    restartPatience (now, settings.subscribedPatience, settings.subscribedSpread);
}

bool ReaderRole::looksFirst (Timestamp now)
{
    if (! settings.mayLook || isListed || lastSatisfied != Timestamp{} ||
        std::exchange (hasLooked, true))
        return false;

    wantsLook = true;
    restartPatience (now, settings.lookPatience, settings.lookSpread);
    return true;
}

Milliseconds ReaderRole::tryInterval (Timestamp now) const
{
    const auto failing = std::count_if (failingReaders.begin(), failingReaders.end(),
                                        [&] (const auto& item)
                                        { return now - item.second <= settings.unsoundMemory; });
    return std::min (settings.zoneTryInterval * failing, settings.longestTryInterval);
}

void ReaderRole::heard (Timestamp now, const ReaderBeat& beat)
{
    if (beat.node == name)
        return;

    if (! beat.sound)
    {
        failingReaders[beat.node] = now;

        // It says that it can't read on: no need to wait until it falls silent.
        if (readers.erase (beat.node) > 0 && readers.empty() && ! isReading)
            patientSince = std::min (patientSince, now - settings.patience);

        return;
    }

    failingReaders.erase (beat.node);
    readers[beat.node] = { beat, now };
    heardAt = std::max (heardAt, beat.at);
    heardVersion = std::max (heardVersion, beat.version);
    updateSatisfied (now);
}

void ReaderRole::reached (Timestamp now, SourcePosition at, std::uint64_t version)
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

    if (! fresh)
        return;

    // The patience of the start ends with the first word of a reader.
    if (lastSatisfied == Timestamp{} && ! isReading)
        drawTurn();

    lastSatisfied = patientSince = now;
}

bool ReaderRole::relieved (Timestamp now, bool ownSound) const
{
    return std::any_of (readers.begin(), readers.end(),
                        [&] (const auto& item)
                        {
                            const auto& [beat, when] = item.second;
                            return now - when <= settings.patience &&
                                   (! ownSound || beat.rank.betterThan (rank)) &&
                                   beat.at <= ownAt && beat.version <= ownVersion;
                        });
}

bool ReaderRole::relievesWeaker (Timestamp now)
{
    const bool onlyWeaker =
        ! readers.empty() && std::all_of (readers.begin(), readers.end(),
                                          [&] (const auto& item) {
                                              return item.second.beat.rank.strength < rank.strength;
                                          });

    if (! onlyWeaker)
        weakerSince = Timestamp::max();
    else if (weakerSince == Timestamp::max())
        weakerSince = now;

    return weakerSince != Timestamp::max() && now - weakerSince > settings.takeOverTime;
}

bool ReaderRole::isAlone (Timestamp now) const
{
    return lastSatisfied != Timestamp{} && readers.empty() && failingReaders.empty() &&
           now - patientSince > settings.takeOverTime;
}

bool ReaderRole::decide (Timestamp now, bool ownSound)
{
    if (! std::exchange (begun, true))
        patientSince = std::max (patientSince, now);

    std::erase_if (failingReaders,
                   [&] (const auto& item) { return now - item.second > settings.unsoundMemory; });
    std::erase_if (readers,
                   [&] (const auto& item) { return now - item.second.when > settings.patience; });

    const bool seenLater =
        seenLaterSince != Timestamp::max() && now - seenLaterSince > settings.behindTime;

    if (isReading)
    {
        isReading = seenLater || ! relieved (now, ownSound);

        if (! isReading)
        {
            drawTurn();
            lastSatisfied = patientSince = now;
            weakerSince = Timestamp::max();
        }

        return isReading;
    }

    const bool takeOver = relievesWeaker (now) || isAlone (now);
    const bool outOfPatience = now - patientSince > patience() && ! looksFirst (now);
    isReading = seenLater || takeOver || outOfPatience;
    return isReading;
}

} // namespace copperlead::mesh
