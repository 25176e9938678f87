#include "mesh/attempt_age.h"

#include <algorithm>

namespace copperlead::mesh
{
namespace
{

constexpr Milliseconds periodLength{ 10'000 };
constexpr Milliseconds tolerance{ 20 };       // Between announcements of one patience.
constexpr Milliseconds reviewInterval{ 250 }; // Of the patience: a heap moves slowly.
constexpr double leastShare = 0.2;            // Of the attempts that announce the longest wait.

} // namespace

void AttemptAges::Period::add (Milliseconds announced)
{
    ++total;
    band.add (announced);

    if (announced > longest + tolerance)
    {
        longest = announced;
        nearLongest = 0;
    }

    if (announced + tolerance >= longest)
        ++nearLongest;
}

Milliseconds AttemptAges::ageInBand (Timestamp now, History& history, Milliseconds announced)
{
    if (history.reviewedAt == Timestamp{} || now - history.reviewedAt >= reviewInterval)
    {
        history.reviewedAt = now;
        PatienceBand all;

        for (const auto& period : history.periods)
            all.add (period.band);

        history.patience = all.find();
    }

    const auto& patience = history.patience;
    return patience && announced < patience->least ? patience->usual - announced : Milliseconds (0);
}

Milliseconds AttemptAges::observe (Timestamp now, const std::string& route, Milliseconds announced)
{
    auto& history = byRoute[route];
    auto& periods = history.periods;
    const std::int64_t index = now.time_since_epoch() / periodLength;
    auto& current = periods[static_cast<std::size_t> (index) % periodCount];

    if (current.index != index)
        current = { index, {}, 0, 0, {} };

    current.add (announced);
    Milliseconds longest{ 0 };

    for (const auto& period : periods)
        if (period.index > index - static_cast<std::int64_t> (periodCount))
            longest = std::max (longest, period.longest);

    std::uint32_t total = 0, near = 0;

    for (const auto& period : periods)
    {
        if (period.index <= index - static_cast<std::int64_t> (periodCount))
            continue;

        total += period.total;
        near += period.longest + tolerance >= longest ? period.nearLongest : 0;
    }

    if (near < leastShare * total)
        return ageInBand (now, history, announced);

    const auto age = longest - announced;
    return age > tolerance ? age : Milliseconds (0);
}

} // namespace copperlead::mesh
