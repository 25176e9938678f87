/** What a node believes about the instances of each service, from the entries of the discovery
    source. Deciding code: events and time in, no I/O.

    An entry that vanishes means that the instance leaves, but only while the source is sound: when
    it is down, entries lapse although their instances live. Such an instance stays usable for a
    while, behind those that are listed; the node beside it refuses what it can't run.

    A source that was restored from a backup lists older entries. Newer state that is known here
    takes precedence until they are written again: an instance that is leaving isn't used, and one
    that the source has lost counts as lapsed.
*/
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/time.h"
#include "mesh/cold_start.h"
#include "mesh/locality.h"
#include "mesh/source_position.h"

namespace copperlead::mesh
{

/** One listed instance. */
struct Instance
{
    std::string id;
    std::string service;
    std::string zone;
    SocketAddress address;
    int slots = 1;
    bool draining = false;
    SourcePosition createdAt; /**< The source's position when the entry was created. */
    std::uint64_t born = 0;   /**< Unix ms of this incarnation's start; 0: it doesn't tell. */
    Milliseconds coldFor{};   /**< As of the entry; unreadableColdTime when it can't be read. */
};

/** How an instance may be used. */
enum class InstanceState : std::uint8_t
{
    ready,
    lapsed,  /**< Its entry vanished while the source was unsound. */
    leaving, /**< It drains or its entry is gone: nothing new. */
};

struct ListedInstance
{
    Instance instance;
    InstanceState state = InstanceState::ready;
    SourcePosition position;                     /**< Of the entry's last change. */
    Timestamp changedAt{};                       /**< When this node learned of it. */
    Proximity proximity = Proximity::sameRegion; /**< To this node; set in snapshots. */
    std::uint64_t writtenRevision = 0;           /**< The revision that wrote `instance`. */

    /** When it was last retained as leaving although a restored source lists it as ready. */
    std::optional<Timestamp> retainedAt{};
};

/** Everything known at one moment; immutable. */
struct DirectorySnapshot
{
    /** Ready and lapsed ones outside evacuated zones, the nearest first. */
    std::map<std::string, std::vector<ListedInstance>> byService;
    std::set<std::string> evacuatedZones;            /**< Whose instances get nothing new. */
    std::map<std::string, ListedInstance> byAddress; /**< The newest at each address, any state. */
    std::size_t nodes = 0;                           /**< Distinct addresses in use. */
};

/** Where the instances of one proximity stand in a list of DirectorySnapshot::byService. */
struct ProximityRange
{
    std::size_t begin = 0, end = 0;

    std::size_t size() const { return end - begin; }
};

ProximityRange rangeOf (const std::vector<ListedInstance>& instances, Proximity proximity);

using DirectoryPointer = std::shared_ptr<const DirectorySnapshot>;

/** Not thread-safe. */
class InstanceDirectory
{
public:
    /** How long an instance whose entry lapsed stays usable. One that lives and reaches the source
        is listed again about 2 s after the source's return; one that isn't by then is gone.
    */
    static constexpr Milliseconds lapseTime{ 2500 };
    /** How long an instance that left is remembered, so that its address isn't mistaken. */
    static constexpr Milliseconds memoryTime{ 30'000 };

    /** Says how far zones are; without it all count as of this node's region. */
    void setLocality (Locality newLocality);

    /** Takes an entry that was written at `position`, unless a newer one is known.
        @returns false when it tells of an earlier start than the entry before: it names no
                 instance to use
    */
    bool put (Timestamp now, Instance instance, SourcePosition position);

    /** Takes from another node that an instance is leaving, which a restored source has lost. */
    void retain (Timestamp now, Instance instance, SourcePosition position);

    /** @param trusted  false while the source is unsound, so that absence says little */
    void remove (Timestamp now, const std::string& id, SourcePosition position, bool trusted);

    /** Removes every instance that a complete listing doesn't hold. */
    void removeAllBut (Timestamp now, const std::vector<std::string>& ids, SourcePosition position,
                       bool trusted);

    /** Removals up to this position are unknown here, at least in part: whoever has reached
        less gets everything from changesSince(), so that he sees what he lacks.
    */
    void forgetRemovals (SourcePosition position) { forgotten = std::max (forgotten, position); }

    /** Instances of these zones, and of no others, get nothing new. */
    void setEvacuatedZones (std::set<std::string> zones);

    /** Ends expired lapses and retentions, and forgets entries that are long gone. */
    void advance (Timestamp now);

    DirectoryPointer snapshot();

    /** The entries that changed after a position, including those that are gone.
        @returns false when some of those were forgotten: then `changes` holds all that are known
    */
    bool changesSince (SourcePosition position, std::vector<ListedInstance>& changes) const;

private:
    void keepAcrossRestore (Timestamp now, ListedInstance& entry, const Instance& listed,
                            SourcePosition position);

    std::map<std::string, ListedInstance> byId;
    std::set<std::string> evacuatedZones;
    Locality locality;
    SourcePosition forgotten; /**< Removals up to this position may be unknown here. */
    DirectoryPointer current; /**< Null after a change. */
};

} // namespace copperlead::mesh
