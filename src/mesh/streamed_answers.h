/** Remembers on which routes answers are too large to be held, so that they are passed on while
    they arrive. Such an answer may break off after its head has been sent. This is decision logic
    without I/O.
*/
#pragma once

#include <string>
#include <unordered_map>

#include "base/time.h"

namespace copperlead::mesh
{

/** Not thread-safe. */
class StreamedAnswers
{
public:
    /** Records an answer that is passed on while it arrives. */
    void record (Timestamp now, const std::string& route);

    /** @returns true if the route has lately had such an answer */
    bool areLikely (Timestamp now, const std::string& route) const;

private:
    std::unordered_map<std::string, Timestamp> latest; /**< By the name of the route. */
};

} // namespace copperlead::mesh
