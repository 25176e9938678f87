/** Decides whether a node reads the source itself or receives changes from a reader of its zone.
    Contains no I/O.

    Readers are elected without a lock, since the nodes share no writable storage. Every reader
    sends heartbeats to its zone with the position that it has reached. Of several readers the
    best-ranked one continues and the others stop. A node starts to read if it has not been up to
    date with a healthy reader for a while: because it receives no heartbeats, the readers can't
    reach the source, it can't fetch from them what they have, or another node's answers show a
    later configuration. Two concurrent readers only cost additional calls. A time without a reader
    is bounded by `readerTimeout`, since in a large zone some node's random delay is always short.

    After its start a node waits for a heartbeat before it reads: briefly if it is listed, so that a
    reader can know it, and longer if it isn't. A node that isn't listed first lists the source to
    find peers, and subscribes through them to the heartbeats of the zone's reader (see
    Subscription). While the source fails, the nodes of a zone share the calls that detect its
    recovery: the more nodes retry, the longer the interval of each.
*/
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "base/time.h"
#include "mesh/source_follower.h"
#include "mesh/source_position.h"

namespace copperlead::mesh
{

/** Rank of a reader: the stronger machine first, then by a hash on which all nodes agree. */
struct ReaderRank
{
    int strength = 0;
    std::uint64_t hash = 0;

    bool betterThan (const ReaderRank& other) const
    {
        return strength != other.strength ? strength > other.strength : hash < other.hash;
    }
};

/** Strength of a machine whose processor and network link are both adequate. */
inline constexpr int maxMachineStrength = 2;

/** Heartbeat that a reader sends to its zone several times per second and after each change. Each
    time it also goes to one node of another zone, in case that zone's readers can't reach the
    source.
*/
struct ReaderHeartbeat
{
    std::string node;
    std::string zone;
    ReaderRank rank;
    SourcePosition position;   /**< Position of the source up to which the node has read. */
    std::uint64_t version = 0; /**< Version of the node's configuration. */
    bool healthy = false;      /**< True if the node reaches the source and continues to read. */

    /** False if the node only offers its state and doesn't report itself as a reader. */
    bool reads = true;

    Milliseconds confirmationAge{}; /**< Time since the source last answered the node. */
    Milliseconds absenceGrace{};    /**< Remaining time in which it doesn't trust absent entries. */

    /** Time for which the source is known to have answered without a silence in which entries can
        expire; see AnswerPeriod.
    */
    Milliseconds answeringAge{};
};

struct ReaderRoleSettings
{
    Milliseconds heartbeatInterval{ 250 };

    /** Time without being up to date with a healthy reader after which a node may start to read.
        Readers that are silent for this long are considered gone.
    */
    Milliseconds readerTimeout{ 700 };

    /** Range of the random delay that keeps the nodes from starting to read all at once. */
    Milliseconds readerTimeoutSpread{ 300 };

    /** Delays of a node that has just started. A heartbeat arrives within 250 ms if a reader knows
        the node; the entries of nodes that start together appear within about 2 s.
    */
    Milliseconds listedStartDelay{ 300 }, unlistedStartDelay{ 1500 };
    Milliseconds listedStartSpread{ 300 }, unlistedStartSpread{ 1000 };

    /** Delay of a node that isn't listed while it lists the source to find peers. */
    Milliseconds peerListingDelay{ 500 }, peerListingSpread{ 300 };

    /** Delay after a node's first subscription. It lasts until the peers have forwarded the
        subscription, or until one of the nodes that were listed first starts to read.
    */
    Milliseconds subscribedDelay{ 1000 }, subscribedSpread{ 500 };
    bool canListPeers = false; /**< True if the node can list the source without reading it. */

    /** Additional start delay for each step below the highest machine strength. */
    Milliseconds weakerMachineDelay{ 300 };

    /** Approximate interval at which the nodes of a zone together retry a failing source. */
    Milliseconds zoneRetryInterval{ 100 };
    Milliseconds maxRetryInterval{ 4000 };
    Milliseconds failureRetention{ 6000 }; /**< Validity of a failing reader's heartbeat. */
    Milliseconds laterVersionGrace{ 400 }; /**< Time for which others may run a later version. */

    /** Time after which a stronger node replaces a weaker reader. After the same time, a node that
        hears no reader at all, not even a failing one, stops waiting for other nodes of its zone.
    */
    Milliseconds takeoverTimeout{ 2000 };
};

/** Not thread-safe. */
class ReaderRole
{
public:
    ReaderRole (std::string ownName, ReaderRank ownRank, const ReaderRoleSettings& settingsToUse,
                std::uint64_t seed);

    void heartbeatReceived (Timestamp now, const ReaderHeartbeat& heartbeat);

    /** Records the position and the version that this node has reached. */
    void positionReached (Timestamp now, SourcePosition position, std::uint64_t version);

    /** Records the configuration version that another node's answer showed. */
    void recordVersion (Timestamp now, std::uint64_t version);

    /** @returns for how long another node has been known to run a later version; zero if none does
     */
    Duration laterVersionSeenFor (Timestamp now) const
    {
        return laterVersionSince == Timestamp::max() ? Duration (0) : now - laterVersionSince;
    }

    /** Sets the number of other known nodes in this zone. */
    void setZonePeers (std::size_t count) { zonePeers = count; }

    /** Records that this node is listed. Readers then know it, so its start delay is shorter. */
    void listed (Timestamp now);

    /** Records that this node isn't listed, or is no longer listed. */
    void unlisted() { isListed = false; }

    /** Records that this node has subscribed to the heartbeats of its zone's reader. */
    void subscribed (Timestamp now);

    /** Returns true once for each request to list the source again, to find peers through which to
        subscribe.
    */
    bool takePeerListingRequest() { return std::exchange (peerListingRequested, false); }

    /** Evaluates the heartbeats received.
        @param ownHealthy  true if this node reaches the source itself
        @returns true if this node is to read the source itself
    */
    bool decide (Timestamp now, bool ownHealthy = true);

    /** Minimum interval of this node's calls to a failing source, and of its heartbeats meanwhile.
     */
    Milliseconds minRetryInterval (Timestamp now) const;

    bool reading() const { return isReading; }

    /** True if the position or the version of a healthy reader is later than this node's. */
    bool behind() const { return readerPosition > ownPosition || readerVersion > ownVersion; }

    /** Time at which this node was last up to date with a healthy reader. */
    Timestamp lastUpToDate() const { return lastUpToDateAt; }

    /** True if this node was recently up to date with a healthy reader. */
    bool hearsReader (Timestamp now) const
    {
        return lastUpToDateAt != Timestamp{} && now - lastUpToDateAt <= settings.readerTimeout;
    }

    /** What healthy readers with which this node was up to date have reported. */
    const ZoneConfirmation& confirmation() const { return zoneConfirmation; }

private:
    struct ReceivedHeartbeat
    {
        ReaderHeartbeat heartbeat;
        Timestamp receivedAt;
    };

    /** Draws the random part of the delay before this node reads.
        @param spread  range of the random part; empty: depends on the number of peers in the zone
    */
    void drawReadDelay (Milliseconds minimum, std::optional<Milliseconds> spread);

    /** Draws this node's delay among the nodes of the zone that may replace a reader. */
    void drawTakeoverDelay();
    Duration readDelay() const;
    void restartReadDelay (Timestamp now, Milliseconds minimum, Milliseconds spread);
    bool requestPeerListing (Timestamp now);
    Milliseconds takeoverSpread() const;
    Milliseconds weaknessDelay() const;
    void updateLastUpToDate (Timestamp now);
    bool canStopReading (Timestamp now, bool ownHealthy) const;
    bool shouldReplaceWeaker (Timestamp now);
    bool isAlone (Timestamp now) const;

    std::string name;
    ReaderRank rank;
    ReaderRoleSettings settings;
    std::minstd_rand random;
    std::map<std::string, ReceivedHeartbeat> readers;
    std::map<std::string, Timestamp> failingReaders; /**< Time of each one's last failure report. */
    std::size_t zonePeers = 0;
    SourcePosition ownPosition, readerPosition;
    std::uint64_t ownVersion = 0, readerVersion = 0;
    std::uint64_t observedVersion = 0;
    Timestamp laterVersionSince = Timestamp::max();
    Timestamp lastUpToDateAt{}, weakerSince = Timestamp::max();
    ZoneConfirmation zoneConfirmation;
    Timestamp readDelaySince{}; /**< Start of the current read delay. */
    Milliseconds minReadDelay{};
    std::optional<Milliseconds> readDelaySpread; /**< Empty: depends on the current peer count. */
    double spreadFraction = 0;                   /**< Random fraction of the spread. */
    bool hasStarted = false;                     /**< True after the first call of decide(). */
    bool isListed = false, hasBeenListed = false;
    bool hasListedPeers = false, hasSubscribed = false;
    bool peerListingRequested = false;
    bool isReading = false;
};

} // namespace copperlead::mesh
