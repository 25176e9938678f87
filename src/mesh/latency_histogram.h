/** Counts latencies in fixed buckets, as exported in metrics. */
#pragma once

#include <array>
#include <cstdint>

namespace copperlead::mesh
{

/** Not thread-safe. */
class LatencyHistogram
{
public:
    /** Upper bounds of the buckets, in milliseconds; one more bucket holds longer ones. */
    static constexpr std::array<double, 12> bounds{ 1,   2,   5,   10,   20,   50,
                                                    100, 200, 500, 1000, 2000, 5000 };

    void observe (double milliseconds)
    {
        std::size_t bucket = 0;

        while (bucket < bounds.size() && milliseconds > bounds[bucket])
            ++bucket;

        ++counts[bucket];
        ++total;
        sumMs += milliseconds;
    }

    const std::array<std::uint64_t, bounds.size() + 1>& buckets() const { return counts; }
    std::uint64_t count() const { return total; }
    double sum() const { return sumMs; }

private:
    std::array<std::uint64_t, bounds.size() + 1> counts{};
    std::uint64_t total = 0;
    double sumMs = 0;
};

} // namespace copperlead::mesh
