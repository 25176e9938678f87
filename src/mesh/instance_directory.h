/** What a node believes about the instances of each service, from the entries of the discovery
    source. Deciding code: events and time in, no I/O.

    An entry that vanishes means that the instance leaves, but only while the source is sound: when
    it is down, entries lapse although their instances live. Such an instance stays usable for a
    while, behind those that are listed; the node beside it refuses what it can't run.
*/
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/time.h"
#include "mesh/cold_start.h"
#include "mesh/locality.h"

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
    std::uint64_t createdAt = 0; /**< The source's revision when the entry was created. */
    std::uint64_t born = 0;      /**< Unix ms of this incarnation's start; 0: it doesn't tell. */
    Milliseconds coldFor{};      /**< As of the entry; unreadableColdTime when it can't be read. */
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
    std::uint64_t revision = 0;                  /**< Of the entry's last change. */
    Timestamp changedAt{};                       /**< When this node learned of it. */
    Proximity proximity = Proximity::sameRegion; /**< To this node; set in snapshots. */
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

    /** Takes an entry that was written at `revision`; older ones than the known are ignored.
        @returns false when it tells of an earlier start than the entry before: it names no
                 instance to use
    */
    bool put (Timestamp now, Instance instance, std::uint64_t revision);

    /** @param trusted  false while the source is unsound, so that absence says little */
    void remove (Timestamp now, const std::string& id, std::uint64_t revision, bool trusted);

    /** Removes every instance that a complete listing doesn't hold. */
    void removeAllBut (Timestamp now, const std::vector<std::string>& ids, std::uint64_t revision,
                       bool trusted);

    /** What was removed up to this revision isn't known here, or not all of it: whoever has reached
        less gets everything from changesSince(), so that he sees what he lacks.
    */
    void forgetRemovals (std::uint64_t revision) { forgotten = std::max (forgotten, revision); }

    /** Instances of these zones, and of no others, get nothing new. */
    void setEvacuatedZones (std::set<std::string> zones);

    /** Ends lapses that have lasted too long and forgets what is long gone. */
    void advance (Timestamp now);

    DirectoryPointer snapshot();

    /** The entries that have changed after a revision, those that are gone among them.
        @returns false when some of those were forgotten: then `changes` holds all that are known
    */
    bool changesSince (std::uint64_t revision, std::vector<ListedInstance>& changes) const;

private:
    std::map<std::string, ListedInstance> byId;
    std::set<std::string> evacuatedZones;
    Locality locality;
    std::uint64_t forgotten = 0; /**< Removals up to this revision may be unknown here. */
    DirectoryPointer current;    /**< Null after a change. */
};

} // namespace copperlead::mesh
