/** Estimates, by route, which share of the requests that start at a node are calls made by the
    instance beside it. Nothing in a request says so, but an instance makes calls only while it runs
    a request, whereas clients send requests regardless of that. So the more often requests of a
    route arrive while the instance is idle, relative to how much of the time it is idle, the fewer
    of them are calls.

    While too little is known, or when the instance is hardly ever idle, all requests count as
    calls. Makes decisions only and does no I/O.
*/
#pragma once

#include <string>
#include <unordered_map>

#include "mesh/recent_share.h"

namespace copperlead::mesh
{

/** Not thread-safe. */
class CallShare
{
public:
    /** Samples whether the instance is idle. Call at even intervals, several times a second. */
    void sample (bool instanceIsIdle);

    /** Records that a request started on this route. */
    void observe (const std::string& route, bool instanceIsIdle);

    /** The share of this route's requests that are calls of the instance, from 0 to 1. */
    double shareOfCalls (const std::string& route) const;

private:
    double idleTimeShare = 0; /**< Recent share of the time in which the instance was idle. */

    /** The number of requests that arrived while the instance was idle, relative to the number that
        would have if none of the route's requests were calls.
    */
    std::unordered_map<std::string, RecentShare> idleByRoute;
};

} // namespace copperlead::mesh
