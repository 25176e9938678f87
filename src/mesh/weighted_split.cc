#include "mesh/weighted_split.h"

#include <algorithm>

namespace copperlead::mesh
{
std::size_t WeightedSplit::next (const Route& route)
{
    if (route.services.size() == 1)
        return 0;

    auto& credits = byRoute[route.name];

    if (credits.parts != route.services)
        credits = { route.services, std::vector<std::int64_t> (route.services.size(), 0) };

    std::int64_t sum = 0;

    for (std::size_t i = 0; i < credits.values.size(); ++i)
    {
        credits.values[i] += route.services[i].weight;
        sum += route.services[i].weight;
    }

    const auto largest = std::max_element (credits.values.begin(), credits.values.end());
    *largest -= sum;
    return static_cast<std::size_t> (largest - credits.values.begin());
}

} // namespace copperlead::mesh
