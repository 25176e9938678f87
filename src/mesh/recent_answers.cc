#include "mesh/recent_answers.h"

#include <utility>

namespace copperlead::mesh
{

void RecentAnswers::advance (Timestamp now)
{
    if (now - begunAt < generationTime)
        return;

    former = now - begunAt < 2 * generationTime ? std::move (current) : std::set<RequestDigest>();
    current.clear();
    begunAt = now;
}

void RecentAnswers::observe (Timestamp now, const RequestDigest& request)
{
    advance (now);

    if (current.size() < mostRemembered)
        current.insert (request);
}

bool RecentAnswers::contains (Timestamp now, const RequestDigest& request)
{
    advance (now);
    return current.contains (request) || former.contains (request);
}

} // namespace copperlead::mesh
