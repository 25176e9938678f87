/** Puts the responses of one connection into the order of their requests. It holds the requests
    that were dispatched, and each response until all earlier ones have been taken out. Performs no
    I/O.
*/
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "sidecar/http/http_server.h"

namespace copperlead::sidecar
{

class AnswerQueue
{
public:
    /** Adds a request at the end of the queue. */
    void add (const ExchangePointer& exchange);

    /** Adds an error response that belongs to no dispatched request, such as one to a request that
        can't be parsed. The connection closes after it.
    */
    void addConnectionError (Timestamp now, Message message);

    /** Removes the request that was added last. */
    void removeLatest() { pending.pop_back(); }

    /** Stores the response to a request.
        @param close  the connection closes after this response
        @returns false if the request isn't in the queue or already has a response
    */
    bool answer (Timestamp now, const Exchange& exchange, Message message, bool close);

    /** A response that is next in order and can be written. */
    struct ReadyAnswer
    {
        Message message;
        bool close = false;
        bool outOfOrder = false; /**< True if it had to wait for earlier responses. */
        Duration timeQueued{};   /**< Time since the response was stored. */
    };

    /** Takes out the first response. @returns false if the first request has none yet */
    bool takeReady (Timestamp now, ReadyAnswer& ready);

    /** Empties the queue.
        @returns its requests: those without a response and those whose response won't be written
    */
    std::deque<ExchangePointer> removeAll();

    bool empty() const { return pending.empty(); }
    std::size_t size() const { return pending.size(); }
    bool isLatest (const Exchange& exchange) const;

    /** @returns the request that was added last, or null if there is none or an error response
                 follows it
    */
    const Exchange* latest() const;

    /** @returns true if the request is in the queue */
    bool contains (const Exchange& exchange) const;

    /** @returns true if takeReady() would return a response */
    bool hasReady() const { return ! pending.empty() && ! pending.front().message.empty(); }

    /** @returns the total size of the queued responses */
    std::size_t messageBytes() const;

private:
    struct PendingAnswer
    {
        ExchangePointer exchange; /**< Null for an error response of the connection. */
        Message message;          /**< The response; empty until there is one. */
        bool close = false, outOfOrder = false;
        Timestamp readyAt{};
    };

    std::deque<PendingAnswer> pending;
};

} // namespace copperlead::sidecar
