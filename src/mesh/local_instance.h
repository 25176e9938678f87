/** What a node knows of the instance beside it: which one it is, and whether it can be reached.
    Deciding code without I/O.

    The discovery source lists dead instances for a while, and an address may come to belong to
    another instance. The instance's own word (`heard`) and the newest entry of its address decide.
*/
#pragma once

#include <string>

#include "base/time.h"
#include "mesh/instance_directory.h"

namespace copperlead::mesh
{

enum class IdentitySource : std::uint8_t
{
    entry, /**< Of the discovery source. */
    spoken /**< By the instance. */
};

inline constexpr std::string_view identitySourceNames[] = { "entry", "spoken" };

/** Not thread-safe. */
class LocalInstance
{
public:
    explicit LocalInstance (std::string configuredService);

    void setConfiguredService (std::string service);

    /** Takes the newest entry of the instance's address, nullptr if there is none.
        @returns true when it is another incarnation: by its id, or by a later start under its id
    */
    bool takeEntry (const ListedInstance* entry);

    /** The instance named itself. @returns true when the id changed */
    bool heard (const std::string& spokenId);

    /** A call ended without an answer. @returns true when the instance now counts as lost */
    bool failed (Timestamp now, bool refusedConnection);

    /** A call was answered. @returns true when the instance counted as lost before */
    bool answered (Timestamp now);

    /** True when the instance should be asked who it is. */
    bool wantsProbe (Timestamp now) const;
    void probed (Timestamp now) { probedAt = now; }

    const std::string& id() const { return currentId; }
    const std::string& service() const { return currentService; }
    IdentitySource identitySource() const { return source; }
    int slots() const { return slotCount; }
    bool known() const { return ! currentId.empty(); }
    bool leaving() const { return isLeaving; }
    bool lost() const { return isLost; }
    Duration lostFor (Timestamp now) const { return now - lostAt; }

private:
    static constexpr Milliseconds probeInterval{ 250 };
    static constexpr int silentCallsUntilLost = 4;

    std::string configured, currentId, currentService, spoken;
    IdentitySource source = IdentitySource::entry;
    SourcePosition createdAt;
    std::uint64_t born = 0; /**< Unix ms; 0: it isn't known. */
    int slotCount = 1;
    bool isLeaving = false, isLost = false;
    int silentCalls = 0;
    Timestamp lostAt{}, probedAt{};
};

} // namespace copperlead::mesh
