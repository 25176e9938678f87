/** Which zones the operator has evacuated: their instances get nothing new until that is taken
   back. Deciding code without I/O.
*/
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace copperlead::mesh
{

/** An order to evacuate a zone, or that it was taken back. */
struct EvacuationChange
{
    std::string zone;
    std::uint64_t revision = 0; /**< Of the source. */
    bool over = false;

    bool operator== (const EvacuationChange&) const = default;
};

/** Orders that were taken back are remembered, so that those who missed it can be told. Not
    thread-safe.
*/
class ZoneEvacuations
{
public:
    /** @returns true if the zone's state changed; changes older than the known do nothing */
    bool take (const EvacuationChange& change);

    /** Takes back, as of `revision`, the orders that a complete listing doesn't hold.
        @returns those that it took back
    */
    std::vector<EvacuationChange> removeAllBut (const std::set<std::string>& listed,
                                                std::uint64_t revision);

    std::vector<EvacuationChange> changesSince (std::uint64_t revision) const;

    std::set<std::string> zones() const;

private:
    std::map<std::string, EvacuationChange> byZone;
};

} // namespace copperlead::mesh
