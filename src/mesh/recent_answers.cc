#include "mesh/recent_answers.h"

#include <utility>

namespace copperlead::mesh
{

void RecentAnswers::advance (Timestamp now)
{
    if (now - generationStart < generationTime)
        return;

    previous = now - generationStart < 2 * generationTime ? std::move (current)
                                                          : std::set<RequestDigest>();
    current.clear();
    generationStart = now;
}

void RecentAnswers::observe (Timestamp now, const RequestDigest& request)
{
    advance (now);

    if (current.size() < maxPerGeneration)
        current.insert (request);
}

bool RecentAnswers::contains (Timestamp now, const RequestDigest& request)
{
    advance (now);
    return current.contains (request) || previous.contains (request);
}

} // namespace copperlead::mesh
