#include "mesh/streamed_answers.h"

namespace copperlead::mesh
{
namespace
{

// Spans pauses in the traffic of a route.
constexpr Milliseconds memoryTime{ 600'000 };

} // namespace

void StreamedAnswers::record (Timestamp now, const std::string& route)
{
    latest[route] = now;
    std::erase_if (latest, [&] (const auto& item) { return now - item.second >= memoryTime; });
}

bool StreamedAnswers::areLikely (Timestamp now, const std::string& route) const
{
    const auto found = latest.find (route);
    return found != latest.end() && now - found->second < memoryTime;
}

} // namespace copperlead::mesh
