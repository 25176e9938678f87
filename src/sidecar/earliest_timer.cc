#include "sidecar/earliest_timer.h"

#include <utility>

namespace copperlead::sidecar
{
namespace
{

constexpr Milliseconds afterDue{ 1 }; // So that what is due then counts as past.

} // namespace

EarliestTimer::EarliestTimer (std::shared_ptr<Reactor> reactorToUse)
    : reactor (std::move (reactorToUse))
    , due (std::make_shared<Timestamp> (Timestamp::max()))
{
}

void EarliestTimer::arm (Timestamp when, std::function<void()> action)
{
    if (when >= *due)
        return;

    *due = when;
    reactor->RunAt (when + afterDue,
                    [armed = std::weak_ptr (due), when, run = std::move (action)]
                    {
                        const auto current = armed.lock();

                        if (current == nullptr || *current != when)
                            return;

                        *current = Timestamp::max();
                        run();
                    });
}

} // namespace copperlead::sidecar
