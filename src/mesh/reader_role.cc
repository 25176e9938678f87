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
    // Listing the source for peers is cheap, so a weak machine need not wait longer than others.
    const auto weakness = settings.canListPeers ? Milliseconds (0) : weaknessDelay();
    drawReadDelay (settings.unlistedStartDelay + weakness, settings.unlistedStartSpread);
}

void ReaderRole::drawReadDelay (Milliseconds minimum, std::optional<Milliseconds> spread)
{
    minReadDelay = minimum;
    readDelaySpread = spread;
    spreadFraction = std::uniform_real_distribution<double> (0, 1) (random);
}

Duration ReaderRole::readDelay() const
{
    const auto spread = readDelaySpread.value_or (takeoverSpread());
    return minReadDelay + std::chrono::duration_cast<Duration> (spreadFraction * spread);
}

void ReaderRole::drawTakeoverDelay() { drawReadDelay (settings.readerTimeout, std::nullopt); }

Milliseconds ReaderRole::takeoverSpread() const
{
    return std::max (settings.readerTimeoutSpread,
                     settings.zoneRetryInterval * static_cast<std::int64_t> (zonePeers));
}

Milliseconds ReaderRole::weaknessDelay() const
{
    return settings.weakerMachineDelay * std::max (0, maxMachineStrength - rank.strength);
}

void ReaderRole::restartReadDelay (Timestamp now, Milliseconds minimum, Milliseconds spread)
{
    readDelaySince = now;
    drawReadDelay (minimum + weaknessDelay(), spread);
}

void ReaderRole::listed (Timestamp now)
{
    isListed = true;

    if (lastUpToDateAt != Timestamp{} || isReading || std::exchange (hasBeenListed, true))
        return;

    restartReadDelay (now, settings.listedStartDelay, settings.listedStartSpread);
}

void ReaderRole::subscribed (Timestamp now)
{
    if (lastUpToDateAt != Timestamp{} || isReading || std::exchange (hasSubscribed, true))
        return;

    restartReadDelay (now, settings.subscribedDelay, settings.subscribedSpread);
}

bool ReaderRole::requestPeerListing (Timestamp now)
{
    if (! settings.canListPeers || isListed || lastUpToDateAt != Timestamp{} ||
        std::exchange (hasListedPeers, true))
        return false;

    peerListingRequested = true;
    restartReadDelay (now, settings.peerListingDelay, settings.peerListingSpread);
    return true;
}

Milliseconds ReaderRole::minRetryInterval (Timestamp now) const
{
    const auto failing = std::count_if (failingReaders.begin(), failingReaders.end(),
                                        [&] (const auto& item)
                                        { return now - item.second <= settings.failureRetention; });
    return std::min (settings.zoneRetryInterval * failing, settings.maxRetryInterval);
}

void ReaderRole::heartbeatReceived (Timestamp now, const ReaderHeartbeat& heartbeat)
{
    if (heartbeat.node == name)
        return;

    if (! heartbeat.healthy)
    {
        failingReaders[heartbeat.node] = now;

        // The reader reports that it can't reach the source, so its timeout need not be awaited.
        if (readers.erase (heartbeat.node) > 0 && readers.empty() && ! isReading)
            readDelaySince = std::min (readDelaySince, now - settings.readerTimeout);

        return;
    }

    failingReaders.erase (heartbeat.node);
    readers[heartbeat.node] = { heartbeat, now };
    readerPosition = std::max (readerPosition, heartbeat.position);
    readerVersion = std::max (readerVersion, heartbeat.version);
    updateLastUpToDate (now);
}

void ReaderRole::positionReached (Timestamp now, SourcePosition position, std::uint64_t version)
{
    ownPosition = std::max (ownPosition, position);
    ownVersion = std::max (ownVersion, version);

    if (ownVersion >= observedVersion)
        laterVersionSince = Timestamp::max();

    updateLastUpToDate (now);
}

void ReaderRole::recordVersion (Timestamp now, std::uint64_t version)
{
    observedVersion = std::max (observedVersion, version);

    if (observedVersion > ownVersion && laterVersionSince == Timestamp::max())
        laterVersionSince = now;
}

void ReaderRole::updateLastUpToDate (Timestamp now)
{
    bool fresh = false;

    for (const auto& [node, received] : readers)
    {
        const auto& [heartbeat, receivedAt] = received;

        if (now - receivedAt > settings.heartbeatInterval * 2 || heartbeat.position > ownPosition ||
            heartbeat.version > ownVersion)
            continue;

        fresh = true;
        auto& [confirmedAt, distrustedUntil] = zoneConfirmation;
        confirmedAt = std::max<Timestamp> (confirmedAt, receivedAt - heartbeat.confirmationAge);
        distrustedUntil =
            std::max<Timestamp> (distrustedUntil, receivedAt + heartbeat.absenceGrace);
    }

    if (! fresh)
        return;

    // The start delay ends with the first heartbeat of a healthy reader.
    if (lastUpToDateAt == Timestamp{} && ! isReading)
        drawTakeoverDelay();

    lastUpToDateAt = readDelaySince = now;
}

bool ReaderRole::canStopReading (Timestamp now, bool ownHealthy) const
{
    return std::any_of (readers.begin(), readers.end(),
                        [&] (const auto& item)
                        {
                            const auto& [heartbeat, receivedAt] = item.second;
                            return now - receivedAt <= settings.readerTimeout &&
                                   (! ownHealthy || heartbeat.rank.betterThan (rank)) &&
                                   heartbeat.position <= ownPosition &&
                                   heartbeat.version <= ownVersion;
                        });
}

bool ReaderRole::shouldReplaceWeaker (Timestamp now)
{
    const bool onlyWeaker =
        ! readers.empty() &&
        std::all_of (readers.begin(), readers.end(),
                     [&] (const auto& item)
                     { return item.second.heartbeat.rank.strength < rank.strength; });

    if (! onlyWeaker)
        weakerSince = Timestamp::max();
    else if (weakerSince == Timestamp::max())
        weakerSince = now;

    return weakerSince != Timestamp::max() && now - weakerSince > settings.takeoverTimeout;
}

bool ReaderRole::isAlone (Timestamp now) const
{
    return lastUpToDateAt != Timestamp{} && readers.empty() && failingReaders.empty() &&
           now - readDelaySince > settings.takeoverTimeout;
}

bool ReaderRole::decide (Timestamp now, bool ownHealthy)
{
    if (! std::exchange (hasStarted, true))
        readDelaySince = std::max (readDelaySince, now);

    std::erase_if (failingReaders, [&] (const auto& item)
                   { return now - item.second > settings.failureRetention; });
    std::erase_if (readers, [&] (const auto& item)
                   { return now - item.second.receivedAt > settings.readerTimeout; });

    const bool laterVersionObserved = laterVersionSince != Timestamp::max() &&
                                      now - laterVersionSince > settings.laterVersionGrace;

    if (isReading)
    {
        isReading = laterVersionObserved || ! canStopReading (now, ownHealthy);

        if (! isReading)
        {
            drawTakeoverDelay();
            lastUpToDateAt = readDelaySince = now;
            weakerSince = Timestamp::max();
        }

        return isReading;
    }

    const bool takeOver = shouldReplaceWeaker (now) || isAlone (now);
    const bool delayElapsed = now - readDelaySince > readDelay() && ! requestPeerListing (now);
    isReading = laterVersionObserved || takeOver || delayElapsed;
    return isReading;
}

} // namespace copperlead::mesh
