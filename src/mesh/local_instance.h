/** Tracks the identity and the reachability of a node's local instance. This is decision logic
    without I/O.

    The discovery source lists dead instances for a while, and an address may be reused by another
    instance. The identity is therefore taken from what the instance reports itself and from the
    newest entry of its address.
*/
#pragma once

#include <string>
#include <vector>

#include "base/time.h"
#include "mesh/instance_directory.h"

namespace copperlead::mesh
{

enum class IdentitySource : std::uint8_t
{
    entry,       /**< An entry of the discovery source. */
    selfReported /**< The instance itself. */
};

inline constexpr std::string_view identitySourceNames[] = { "entry", "spoken" };

/** Not thread-safe. */
class LocalInstance
{
public:
    explicit LocalInstance (std::string configuredService);

    void setConfiguredService (std::string service);

    /** Chooses the entry that names this instance among those of its address: that of the id that
        the instance has reported, unless another one was created since, and otherwise the newest.
        If that makes the instance unusable while another one doesn't, the other one is used until
        the instance has been asked: it rejects requests that are meant for another. Entries of
        services that the configuration doesn't name are passed over, except of the configured one,
        whose name the configuration may still lack.
        @param entries  newest first
        @returns nullptr if there is none
    */
    const ListedInstance* chooseEntry (const std::vector<const ListedInstance*>& entries);

    /** Updates the identity from the entry of the instance's address, nullptr if there is none.
        @returns true if the entry is of another incarnation: it has another id, or a later start
                 time under the same id
    */
    bool updateFromEntry (const ListedInstance* entry);

    /** Updates the identity from the id that the instance reports itself.
        @returns true if the id changed
    */
    bool recordReportedId (const std::string& id);

    /** Records that the instance stated that it leaves, which holds for this incarnation whatever
        its entry says.
    */
    void recordStatedLeaving() { hasStatedLeaving = true; }
    bool statedLeaving() const { return hasStatedLeaving; }

    /** Records a call that ended without an answer.
        @returns true if the instance now counts as lost
    */
    bool recordFailure (Timestamp now, bool refusedConnection);

    /** Records an answered call.
        @returns true if the instance counted as lost before
    */
    bool recordAnswer (Timestamp now);

    /** @returns true if the instance should be asked for its identity */
    bool wantsProbe (Timestamp now) const;
    void probed (Timestamp now) { probedAt = now; }

    const std::string& id() const { return currentId; }
    const std::string& service() const { return currentService; }
    IdentitySource identitySource() const { return source; }
    int slots() const { return slotCount; }
    bool known() const { return ! currentId.empty(); }
    bool leaving() const { return isLeaving || hasStatedLeaving; }
    bool lost() const { return isLost; }
    Duration lostFor (Timestamp now) const { return now - lostAt; }

private:
    bool isUsable (const ListedInstance& entry) const;

    static constexpr Milliseconds probeInterval{ 250 };
    static constexpr Milliseconds doubtProbeInterval{ 1000 };
    static constexpr int unansweredCallsUntilLost = 4;

    std::string configured, currentId, currentService;
    std::string reportedId;        /**< The id that the instance last reported itself. */
    SourcePosition reportedSince;  /**< Entries created later may name its successor. */
    SourcePosition latestCreation; /**< Of the entries at the address. */
    IdentitySource source = IdentitySource::entry;
    SourcePosition createdAt;
    std::uint64_t incarnationStart = 0; /**< Unix ms; 0 if unknown. */
    int slotCount = 1;

    /** Whether an entry is used although a newer one makes the instance unusable. */
    bool isDoubtful = false;
    bool isLeaving = false, hasStatedLeaving = false, isLost = false;
    int unansweredCalls = 0;
    Timestamp lostAt{}, probedAt{};
};

} // namespace copperlead::mesh
