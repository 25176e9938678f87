/** When a client whose request was refused should come back. Deciding code without I/O. */
#pragma once

#include "base/time.h"
#include "mesh/hop_header.h"

namespace copperlead::mesh
{

/** Overload lasts, so those that it refuses are spread over the time that their clients have;
    what was refused for one instance's sake finds another soon.
    @param cause       why it was refused
    @param clientLeft  for how long its client still waits
    @param spread      drawn evenly from [0, 1)
*/
Milliseconds retryAfter (HopCause cause, Duration clientLeft, double spread);

} // namespace copperlead::mesh
