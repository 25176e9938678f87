/** Which of the requests that begin at a node are calls of the instance beside it, by route.
   Nothing in a request says so; but an instance calls only while it runs something, and clients
   come whether it does or not. So the more often a route's requests come while the instance is
   idle, compared with how much of the time it is, the fewer of them are calls.

    Where little is known, or the instance is hardly ever idle, all count as calls. Deciding code
    without I/O.
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
    /** To be called at even intervals, some times a second. */
    void sample (bool instanceIsIdle);

    /** A request began on this route. */
    void observe (const std::string& route, bool instanceIsIdle);

    /** The share of this route's requests that are calls, 0 to 1. */
    double of (const std::string& route) const;

private:
    double idleShare = 0; /**< Of the time, lately. */

    /** Of the requests that would have come while the instance was idle, were none of them a call:
        those that did.
    */
    std::unordered_map<std::string, RecentShare> idleByRoute;
};

} // namespace copperlead::mesh
