/** Smooth weighted round robin. Over any sequence of requests each service's share stays within one
    request of what its weight calls for; a random or hashed choice only achieves that in the long
    run.
*/
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "mesh/mesh_configuration.h"

namespace copperlead::mesh
{

/** Not thread-safe. */
class WeightedSplit
{
public:
    /** @returns the index of the route's service that the next request of `route` goes to */
    std::size_t next (const Route& route);

private:
    struct Credits
    {
        std::vector<WeightedService> parts; /**< The services that the credits belong to. */
        std::vector<std::int64_t> values;
    };

    std::unordered_map<std::string, Credits> byRoute;
};

} // namespace copperlead::mesh
