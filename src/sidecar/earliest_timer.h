/** A timer that can be armed for several times and fires at the earliest. To be used on the
    reactor's thread only.
*/
#pragma once

#include <functional>
#include <memory>

#include "base/time.h"
#include "transport/reactor.h"

namespace copperlead::sidecar
{

class EarliestTimer
{
public:
    explicit EarliestTimer (std::shared_ptr<Reactor> reactorToUse);

    /** Runs the action just after `when`, unless the timer is already armed for that time or an
        earlier one. The timer is disarmed before the action runs, so the action may arm it again.
        The action does not run once the timer is destroyed.
    */
    void arm (Timestamp when, std::function<void()> action);

private:
    std::shared_ptr<Reactor> reactor;
    std::shared_ptr<Timestamp> due; /**< Timestamp::max() while it isn't armed. */
};

} // namespace copperlead::sidecar
