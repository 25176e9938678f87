#include "sidecar/http/body_stream.h"

#include <utility>

namespace copperlead::sidecar
{

BodyStream::BodyStream (std::shared_ptr<Reactor> reactorToUse, Reservation memoryToHold)
    : reactor (std::move (reactorToUse))
    , memory (std::move (memoryToHold))
{
    bytes.reserve (capacity);
}

BodyStream::~BodyStream()
{
    if (! isOpen())
        return;

    if (onAbandoned)
        reactor->callbacks()->Add (std::move (onAbandoned));

    reportEnd (BodyEnd::unwanted);
}

void BodyStream::reportEnd (BodyEnd bodyEnd)
{
    if (onEnded)
        reactor->callbacks()->Add ([report = std::exchange (onEnded, nullptr), bodyEnd]
                                   { report (bodyEnd); });
}

void BodyStream::notify (std::function<void()> BodyStream::*callback)
{
    if (this->*callback)
        reactor->callbacks()->Add (
            [weak = weak_from_this(), callback]
            {
                const auto self = weak.lock();

                if (self != nullptr && (*self).*callback)
                    ((*self).*callback)();
            });
}

void BodyStream::bytesAdded()
{
    if (! bytes.empty())
        notify (&BodyStream::onBytes);
}

void BodyStream::end (State newState)
{
    if (! isOpen())
        return;

    state = newState;
    notify (&BodyStream::onBytes);

    reportEnd (state == State::finished ? BodyEnd::complete : BodyEnd::brokenOff);
}

void BodyStream::finish() { end (State::finished); }

void BodyStream::fail() { end (State::failed); }

std::string BodyStream::take()
{
    if (bytes.empty())
        return {};

    touched = true;
    std::string taken;
    taken.reserve (capacity);
    taken.swap (bytes);
    notify (&BodyStream::onRoom);
    return taken;
}

} // namespace copperlead::sidecar
