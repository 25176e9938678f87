/** Decides whether a node reads the source itself or lives on what a reader of its zone passes on.
    Deciding code without I/O.

    There is no lock: nothing shared can be written. Every reader tells its zone that it reads and
   up to which revision; of several, the best-ranked goes on and the others stop. A node reads
   itself as soon as it hasn't been up to date with a sound reader for a while: because it hears
   none, the readers are unsound, it can't get from them what they have, or another node's answers
   show a later configuration. Two readers at once cost calls; none at all lasts no longer than
   `patience`, since of a large zone somebody's is always short.

   At its start a node waits for a beat before it reads: shortly if it is listed, so that a reader
   can know it, longer if it isn't. One that isn't looks for peers before it reads, and subscribes
   to the beats of the zone's reader through them (see Subscription). While the source fails, the
   nodes of a zone share the calls that find out when it is back: the more of them try, the rarer
   each does.
*/
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "base/time.h"
#include "mesh/source_position.h"

namespace copperlead::mesh
{

/** How readers are ranked: the stronger machine first, then by a hash that all nodes agree on. */
struct ReaderRank
{
    int strength = 0;
    std::uint64_t hash = 0;

    bool betterThan (const ReaderRank& other) const
    {
        return strength != other.strength ? strength > other.strength : hash < other.hash;
    }
};

/** The rank's strength of a machine that lacks nothing. */
inline constexpr int topStrength = 2;

/** What a reader tells its zone, some times a second and at each change; and each time one node
    elsewhere, for a zone whose own readers don't reach the source.
*/
struct ReaderBeat
{
    std::string node;
    std::string zone;
    ReaderRank rank;
    SourcePosition at;         /**< The source's position that it has read up to. */
    std::uint64_t version = 0; /**< Of the configuration that it runs. */
    bool sound = false;        /**< It reaches the source and goes on reading. */

    /** False: it only offers what it has, and says nothing of who reads. */
    bool reads = true;
};

struct ReaderRoleSettings
{
    Milliseconds beatInterval{ 250 };
    Milliseconds patience{ 700 };       /**< Without being up to date with a sound reader. */
    Milliseconds patienceSpread{ 300 }; /**< So that not all begin to read at once. */

    /** Of a node that has just started: a beat comes within 250 ms if a reader knows it; entries
        of a fleet that starts together appear within about 2 s.
    */
    Milliseconds listedPatience{ 300 }, unlistedPatience{ 1500 };
    Milliseconds listedSpread{ 300 }, unlistedSpread{ 1000 };

    /** Of a node that isn't listed: until a look at the source has shown peers. */
    Milliseconds lookPatience{ 500 }, lookSpread{ 300 };

    /** After its first subscription: until the peers have passed it on, or one of those that were
        listed first begins to read.
    */
    Milliseconds subscribedPatience{ 1000 }, subscribedSpread{ 500 };
    bool mayLook = false; /**< Whether this node can list the source without reading it. */

    Milliseconds weakerPatience{ 300 }; /**< More at the start for each step under the strongest. */

    /** The nodes of a zone together try a failing source about that often. */
    Milliseconds zoneTryInterval{ 100 };
    Milliseconds longestTryInterval{ 4000 };
    Milliseconds unsoundMemory{ 6000 }; /**< For which a beat of a failing reader counts. */
    Milliseconds behindTime{ 400 };     /**< For which another node may show a later version. */

    /** After which a stronger node relieves a weaker reader, and a node that hears no reader at
       all, not even one that fails, waits for no other of its zone.
    */
    Milliseconds takeOverTime{ 2000 };
};

/** Not thread-safe. */
class ReaderRole
{
public:
    ReaderRole (std::string ownName, ReaderRank ownRank, const ReaderRoleSettings& settingsToUse,
                std::uint64_t seed);

    void heard (Timestamp now, const ReaderBeat& beat);

    /** This node's state has changed. */
    void reached (Timestamp now, SourcePosition at, std::uint64_t version);

    /** Another node's answer showed the version that it runs. */
    void sawVersion (Timestamp now, std::uint64_t version);

    /** For how long another node has been known to run a later version; zero: none does. */
    Duration seenLaterFor (Timestamp now) const
    {
        return seenLaterSince == Timestamp::max() ? Duration (0) : now - seenLaterSince;
    }

    /** The other nodes of this zone that are known. */
    void setZonePeers (std::size_t count) { zonePeers = count; }

    /** This node is listed, so that readers know it: at its start it needs less patience. */
    void listed (Timestamp now);

    /** This node isn't listed, or no longer. */
    void unlisted() { isListed = false; }

    /** This node has subscribed to the beats of its zone's reader. */
    void subscribed (Timestamp now);

    /** Whether to list the source once more, for peers to subscribe through; says so once. */
    bool takeLook() { return std::exchange (wantsLook, false); }

    /** Looks at what has been heard.
        @param ownSound  this node reaches the source itself
        @returns whether to read the source itself
    */
    bool decide (Timestamp now, bool ownSound = true);

    /** How far apart this node's calls to a failing source, and its beats about it, are at least.
     */
    Milliseconds tryInterval (Timestamp now) const;

    bool reading() const { return isReading; }

    /** The position or version of a sound reader is later than this node's. */
    bool behind() const { return heardAt > ownAt || heardVersion > ownVersion; }

    /** When this node was last up to date with a sound reader. */
    Timestamp satisfiedAt() const { return lastSatisfied; }

private:
    struct Heard
    {
        ReaderBeat beat;
        Timestamp when;
    };

    /** @param spread  beyond the least; empty: by the zone's peers */
    void drawPatience (Milliseconds least, std::optional<Milliseconds> spread);

    /** Draws when, among the nodes of the zone, it is this node's turn to read. */
    void drawTurn();
    Duration patience() const;
    void restartPatience (Timestamp now, Milliseconds least, Milliseconds spread);
    bool looksFirst (Timestamp now);
    Milliseconds takeOverSpread() const;
    Milliseconds weaknessPatience() const;
    void updateSatisfied (Timestamp now);
    bool relieved (Timestamp now, bool ownSound) const;
    bool relievesWeaker (Timestamp now);
    bool isAlone (Timestamp now) const;

    std::string name;
    ReaderRank rank;
    ReaderRoleSettings settings;
    std::minstd_rand random;
    std::map<std::string, Heard> readers;
    std::map<std::string, Timestamp> failingReaders; /**< When each last said so. */
    std::size_t zonePeers = 0;
    SourcePosition ownAt, heardAt;
    std::uint64_t ownVersion = 0, heardVersion = 0;
    std::uint64_t seenVersion = 0;
    Timestamp seenLaterSince = Timestamp::max();
    Timestamp lastSatisfied{}, weakerSince = Timestamp::max();
    Timestamp patientSince{}; /**< When the patience began that now runs. */
    Milliseconds leastPatience{};
    std::optional<Milliseconds> startSpread; /**< Empty: by the zone's peers, as known now. */
    double drawnShare = 0;                   /**< Of the spread. */
    bool begun = false;                      /**< decide() was called. */
    bool isListed = false, hasBeenListed = false;
    bool hasLooked = false, hasSubscribed = false;
    bool wantsLook = false;
    bool isReading = false;
};

} // namespace copperlead::mesh
