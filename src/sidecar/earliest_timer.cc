#include "sidecar/earliest_timer.h"

#include <utility>

namespace copperlead::sidecar
{
namespace
{

// Makes sure that the due time has passed when the action runs.
constexpr Milliseconds dueMargin{ 1 };

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
    reactor->RunAt (when + dueMargin,
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
