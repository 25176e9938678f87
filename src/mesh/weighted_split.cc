#include "mesh/weighted_split.h"

#include <algorithm>

namespace copperlead::mesh
{
namespace
{

bool sameParts (const std::vector<WeightedService>& a, const std::vector<WeightedService>& b)
{
    return std::equal (a.begin(), a.end(), b.begin(), b.end(),
                       [] (const auto& x, const auto& y)
                       { return x.service == y.service && x.weight == y.weight; });
}

} // namespace

std::size_t WeightedSplit::next (const Route& route)
{
    if (route.services.size() == 1)
        return 0;

    auto& credits = byRoute[route.name];

    if (! sameParts (credits.parts, route.services))
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
