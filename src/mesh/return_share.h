/** Whether clients come back after a refusal, by route. A request whose client does has another
    chance, so that where only some can be sent again it goes behind those that have none: calls of
    instances, and clients that are at their last attempt. Deciding code without I/O.
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
    /** A first attempt on this route was refused. */
    void refused (const std::string& route);

    /** A later attempt of a client came on this route. */
    void returned (const std::string& route);

    /** True as well while too little is known. */
    bool comesBack (const std::string& route) const;

private:
    std::unordered_map<std::string, RecentShare> returnsByRoute; /**< To the refusals. */
};

} // namespace copperlead::mesh
