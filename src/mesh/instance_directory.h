/** A node's view of the instances of each service, built from the entries of the discovery source.
    This is decision logic without I/O: events and the time are passed in.

    A removed entry means that the instance is leaving. Only after an outage of the source may the
    entry have expired although its instance is still running. Such an instance stays usable for a
    limited time, with lower preference than listed ones; its node rejects requests that it can't
    run.

    A source that was restored from a backup lists older entries. Newer state that is known here
    takes precedence until the entries are written again: an instance that is leaving isn't used,
    and one that the source has lost counts as lapsed.
*/
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/address.h"
#include "base/time.h"
#include "mesh/cold_start.h"
#include "mesh/locality.h"
#include "mesh/source_follower.h"
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
    SourcePosition createdAt;      /**< The source's position when the entry was created. */
    std::uint64_t startTimeMs = 0; /**< When this incarnation started, in Unix ms; 0 if unknown. */

    /** Remaining cold time as of the entry; unreadableColdTime if it couldn't be read. */
    Milliseconds coldRemaining{};
};

/** How an instance may be used. */
enum class InstanceState : std::uint8_t
{
    ready,
    lapsed,  /**< Its entry may have expired in an outage of the source. */
    leaving, /**< It is draining or its entry is gone; it gets no new requests. */
};

inline constexpr std::string_view instanceStateNames[] = { "ready", "lapsed", "leaving" };

struct ListedInstance
{
    Instance instance;
    InstanceState state = InstanceState::ready;
    SourcePosition position;                     /**< Source position of the entry's last change. */
    Timestamp changedAt{};                       /**< When this node learned of that change. */
    Timestamp lapseEnd{};                        /**< For a lapsed instance: when it is gone. */
    Proximity proximity = Proximity::sameRegion; /**< To this node; set in snapshots. */
    std::uint64_t writtenRevision = 0;           /**< The revision that wrote `instance`. */

    /** Whether the configuration names the instance's service; set in snapshots. Any other entry
        may come from another writer and names no instance to use.
    */
    bool isNamed = true;

    /** When it was last retained as leaving although a restored source lists it as ready. */
    std::optional<Timestamp> retainedAt{};
};

/** An immutable copy of the directory's state at one moment. */
struct DirectorySnapshot
{
    /** Ready and lapsed instances outside evacuated zones by service, nearest first. */
    std::map<std::string, std::vector<ListedInstance>> byService;
    std::set<std::string> evacuatedZones; /**< Instances there get no new requests. */

    /** The newest instance at each address, of a named service if possible, in any state. */
    std::map<std::string, ListedInstance> byAddress;

    /** The other instances at each address, those of named services first, then the newest. */
    std::map<std::string, std::vector<ListedInstance>> othersByAddress;
    std::size_t nodes = 0; /**< Number of distinct IP addresses with a ready or lapsed instance. */
};

/** The index range of the instances of one proximity in a list of DirectorySnapshot::byService. */
struct ProximityRange
{
    std::size_t begin = 0, end = 0;

    std::size_t size() const { return end - begin; }
};

ProximityRange rangeOf (const std::vector<ListedInstance>& instances, Proximity proximity);

/** The reason for which an instance became lapsed or leaving without its entry saying so. */
enum class UnlistedCause : std::uint8_t
{
    removed,  /**< Its entry was removed. */
    notBack,  /**< It wasn't listed again before its lapse ended. */
    noOutage, /**< The source has answered other nodes while the entry was presumed to expire. */
};

inline constexpr std::string_view unlistedCauseNames[] = { "removed", "not_back", "no_outage" };

/** Reports that an instance lost its entry. */
struct UnlistedInstance
{
    std::string id;
    InstanceState state = InstanceState::leaving;
    UnlistedCause cause = UnlistedCause::removed;
    SourcePosition position;
    Duration lapse{}; /**< Time for which it stays usable. */
};

using DirectoryPointer = std::shared_ptr<const DirectorySnapshot>;

/** Not thread-safe. */
class InstanceDirectory
{
public:
    /** Time after the source's return in which lapsed instances stay usable. An instance that is
        running and reaches the source is listed again about 2 s after the source recovers; one that
        isn't listed by then is gone.
    */
    static constexpr Milliseconds lapsedGracePeriod = entryRenewalTime;
    /** How long an instance that left is kept, so that its address isn't attributed to another. */
    static constexpr Milliseconds departedRetention{ 30'000 };

    /** Sets how distances to zones are determined. Until then all zones count as being in this
        node's region.
    */
    void setLocality (Locality newLocality);

    /** Stores an entry that was written at `position`, unless a newer one is known.
        @returns false if the entry states an earlier start time than the previous one; it then
                 makes no instance usable
    */
    bool put (Timestamp now, Instance instance, SourcePosition position);

    /** Stores from another node that an instance is leaving, which a restored source has lost. */
    void retain (Timestamp now, Instance instance, SourcePosition position);

    /** @param grace  time for which the instance stays usable since its entry may have expired in
       an outage; 0 if it is leaving
    */
    void remove (Timestamp now, const std::string& id, SourcePosition position, Milliseconds grace);

    /** Removes every instance that isn't in a complete listing. */
    void removeUnlisted (Timestamp now, const std::vector<std::string>& ids,
                         SourcePosition position, Milliseconds grace);

    /** @returns the number of instances with a ready or lapsed state */
    std::size_t countUsable() const;

    /** Notes that removals up to this position are at least partly unknown here. A reader at an
        earlier position then gets all entries from changesSince(), so that it can detect removals.
    */
    void forgetRemovals (SourcePosition position) { forgotten = std::max (forgotten, position); }

    /** Replaces the set of zones whose instances get no new requests. */
    void setEvacuatedZones (std::set<std::string> zones);

    /** Sets the services that the configuration names. Until then all count as named.
        @returns true if the set has changed
    */
    bool setServices (std::set<std::string> services);

    /** @returns the ids of entries whose service isn't named, each once */
    std::vector<std::string> takeUnnamed();

    /** Ends expired grace periods and retentions, and drops entries whose retention has ended.
        @param sourceAnswers  false in an outage, in which lapsed instances can't be listed again
    */
    void advance (Timestamp now, bool sourceAnswers = true);

    /** Ends the lapses that presume an outage whose end `isExcluded` rules out. */
    void endLapses (Timestamp now, const std::function<bool (Timestamp outageEnd)>& isExcluded);

    /** @returns when the next lapse ends; Timestamp::max() if no instance has lapsed */
    Timestamp nextLapseEnd() const;

    DirectoryPointer snapshot();

    /** @returns the instances that lost their entry since the last call */
    std::vector<UnlistedInstance> takeUnlisted() { return std::exchange (unlisted, {}); }

    /** Appends the entries that changed after a position, including removed ones.
        @returns false if some removals may have been forgotten; `changes` then gets all known
                 entries
    */
    bool changesSince (SourcePosition position, std::vector<ListedInstance>& changes) const;

private:
    void keepAcrossRestore (Timestamp now, ListedInstance& entry, const Instance& listed,
                            SourcePosition position);

    bool isNamed (const std::string& service) const;
    void endLapse (Timestamp now, ListedInstance& entry, UnlistedCause cause);
    void reportUnlisted (Timestamp now, const ListedInstance& entry, UnlistedCause cause);

    std::map<std::string, ListedInstance> byId;
    std::vector<UnlistedInstance> unlisted;
    std::set<std::string> evacuatedZones;
    std::optional<std::set<std::string>> namedServices;
    std::set<std::string> reportedUnnamed; /**< Ids that takeUnnamed() has returned. */
    Locality locality;
    SourcePosition forgotten; /**< Removals up to this position may be unknown here. */
    DirectoryPointer current; /**< Null after a change. */
};

} // namespace copperlead::mesh
