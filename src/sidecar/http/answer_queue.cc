#include "sidecar/http/answer_queue.h"

#include <algorithm>
#include <utility>

namespace copperlead::sidecar
{

void AnswerQueue::add (const ExchangePointer& exchange)
{
    auto& added = open.emplace_back();
    added.exchange = exchange;
}

void AnswerQueue::addOwn (Timestamp now, std::string message)
{
    auto& added = open.emplace_back();
    added.message = std::move (message);
    added.close = true;
    added.readyAt = now;
}

bool AnswerQueue::answer (Timestamp now, const Exchange& exchange, const std::string& message,
                          bool close)
{
    const auto found =
        std::find_if (open.begin(), open.end(),
                      [&] (const auto& entry) { return entry.exchange.get() == &exchange; });

    if (found == open.end() || ! found->message.empty())
        return false;

    found->message = message;
    found->close = close;
    found->waited = found != open.begin();
    found->readyAt = now;
    return true;
}

bool AnswerQueue::takeDue (Timestamp now, Due& due)
{
    if (open.empty() || open.front().message.empty())
        return false;

    auto& first = open.front();
    due = { std::move (first.message), first.close, first.waited, now - first.readyAt };
    open.pop_front();
    return true;
}

std::deque<ExchangePointer> AnswerQueue::dropAll()
{
    std::deque<ExchangePointer> left;

    for (auto& entry : std::exchange (open, {}))
        if (entry.exchange != nullptr)
            left.push_back (std::move (entry.exchange));

    return left;
}

bool AnswerQueue::isLatest (const Exchange& exchange) const
{
    return ! open.empty() && open.back().exchange.get() == &exchange;
}

std::size_t AnswerQueue::messageBytes() const
{
    std::size_t bytes = 0;

    for (const auto& entry : open)
        bytes += entry.message.size();

    return bytes;
}

std::size_t AnswerQueue::bodyBytes() const
{
    std::size_t bytes = 0;

    for (const auto& entry : open)
        bytes += entry.bodyBytes;

    return bytes;
}

} // namespace copperlead::sidecar
