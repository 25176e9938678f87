#include "sidecar/http/answer_queue.h"

#include <algorithm>
#include <utility>

namespace copperlead::sidecar
{

void AnswerQueue::add (const ExchangePointer& exchange)
{
    auto& added = pending.emplace_back();
    added.exchange = exchange;
}

void AnswerQueue::addConnectionError (Timestamp now, Message message)
{
    auto& added = pending.emplace_back();
    added.message = std::move (message);
    added.close = true;
    added.readyAt = now;
}

bool AnswerQueue::answer (Timestamp now, const Exchange& exchange, Message message, bool close)
{
    const auto found =
        std::find_if (pending.begin(), pending.end(),
                      [&] (const auto& entry) { return entry.exchange.get() == &exchange; });

    if (found == pending.end() || ! found->message.empty())
        return false;

    found->message = std::move (message);
    found->close = close;
    found->outOfOrder = found != pending.begin();
    found->readyAt = now;
    return true;
}

bool AnswerQueue::takeReady (Timestamp now, ReadyAnswer& ready)
{
    if (! hasReady())
        return false;

    auto& first = pending.front();
    ready = { std::move (first.message), first.close, first.outOfOrder, now - first.readyAt };
    pending.pop_front();
    return true;
}

std::deque<ExchangePointer> AnswerQueue::removeAll()
{
    std::deque<ExchangePointer> removed;

    for (auto& entry : std::exchange (pending, {}))
        if (entry.exchange != nullptr)
            removed.push_back (std::move (entry.exchange));

    return removed;
}

bool AnswerQueue::contains (const Exchange& exchange) const
{
    return std::any_of (pending.begin(), pending.end(),
                        [&] (const auto& entry) { return entry.exchange.get() == &exchange; });
}

bool AnswerQueue::isLatest (const Exchange& exchange) const { return latest() == &exchange; }

const Exchange* AnswerQueue::latest() const
{
    return pending.empty() ? nullptr : pending.back().exchange.get();
}

std::size_t AnswerQueue::messageBytes() const
{
    std::size_t bytes = 0;

    for (const auto& entry : pending)
        bytes += entry.message.size();

    return bytes;
}

} // namespace copperlead::sidecar
