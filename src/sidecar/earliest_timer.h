/** A timer that is armed for several times and runs at the earliest of them. Of the reactor's
 * thread.
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

    /** Runs the action just after `when`, unless the timer is armed for an earlier time already. It
        is disarmed before the action, which may arm it again; it never runs once this is destroyed.
    */
    void arm (Timestamp when, std::function<void()> action);

private:
    std::shared_ptr<Reactor> reactor;
    std::shared_ptr<Timestamp> due; /**< The largest time while it isn't armed. */
};

} // namespace copperlead::sidecar
