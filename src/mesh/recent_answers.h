/** Which requests instances have answered lately. One that was answered doesn't crash every
   instance that runs it, so the popular ones that ran in crashes by chance are told from the
   culprit at once. Deciding code without I/O.
*/
#pragma once

#include <set>

#include "base/time.h"
#include "mesh/request_digest.h"

namespace copperlead::mesh
{

/** Not thread-safe. */
class RecentAnswers
{
public:
    /** An answer is remembered for one to two of these. */
    static constexpr Milliseconds generationTime{ 10'000 };

    /** Of one generation; what comes beyond isn't remembered. 4,096 take some 250 KB. */
    static constexpr std::size_t mostRemembered = 4096;

    void observe (Timestamp now, const RequestDigest& request);
    bool contains (Timestamp now, const RequestDigest& request);

private:
    void advance (Timestamp now);

    std::set<RequestDigest> current, former;
    Timestamp begunAt{};
};

} // namespace copperlead::mesh
