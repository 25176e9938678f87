/** Smooth weighted round robin: over any run of requests each part's share stays within one request
    of its weight's, which a random or hashed choice only reaches over long times.
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
    /** @returns the index of the part that the next request of `route` goes to */
    std::size_t next (const Route& route);

private:
    struct Credits
    {
        std::vector<WeightedService> parts; /**< That the credits belong to. */
        std::vector<std::int64_t> values;
    };

    std::unordered_map<std::string, Credits> byRoute;
};

} // namespace copperlead::mesh
