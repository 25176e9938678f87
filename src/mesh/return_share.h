/** Learns, by route, whether clients retry after a refusal. Where only some requests can be retried
    within the mesh, those whose clients retry by themselves rank behind those that have no other
    chance: calls of instances, and clients at their last attempt. Makes decisions only and does no
    I/O.
*/
#pragma once

#include <string>
#include <unordered_map>

#include "mesh/recent_share.h"

namespace copperlead::mesh
{

/** Not thread-safe. */
class ReturnShare
{
public:
    /** Records that a first attempt on this route was refused. */
    void recordRefusal (const std::string& route);

    /** Records that a client's retry arrived on this route. */
    void recordRetry (const std::string& route);

    /** Whether a client of this route is expected to retry. Also true while too little is known. */
    bool expectsClientRetry (const std::string& route) const;

private:
    std::unordered_map<std::string, RecentShare>
        returnsByRoute; /**< Retries relative to refusals. */
};

} // namespace copperlead::mesh
