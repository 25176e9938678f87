/** The requests of one connection that were handed on, in their order, and their answers until it
    is their turn to be written. No I/O.
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
    /** Behind all that is there. */
    void add (const ExchangePointer& exchange);

    /** An answer that no request waits for: the connection's own refusal. It closes. */
    void addOwn (Timestamp now, std::string message);

    /** Takes the latest request out again. */
    void dropLatest() { open.pop_back(); }

    /** Counts the body that the latest request came with. */
    void setLatestBody (std::size_t bytes) { open.back().bodyBytes = bytes; }

    /** @param close  the connection ends with this answer
        @returns false when the request isn't there or is answered
    */
    bool answer (Timestamp now, const Exchange& exchange, const std::string& message, bool close);

    /** An answer whose turn it is. */
    struct Due
    {
        std::string message;
        bool close = false;
        bool waited = false; /**< It was ready while earlier ones were not. */
        Duration held{};     /**< Since it was ready. */
    };

    /** Takes the first answer out if it is there. @returns false when it isn't */
    bool takeDue (Timestamp now, Due& due);

    /** Takes out every request that is not answered, or whose answer won't be written. */
    std::deque<ExchangePointer> dropAll();

    bool empty() const { return open.empty(); }
    std::size_t size() const { return open.size(); }
    bool isLatest (const Exchange& exchange) const;
    std::size_t messageBytes() const;
    std::size_t bodyBytes() const;

private:
    struct OpenAnswer
    {
        ExchangePointer exchange; /**< Null for the connection's own. */
        std::string message;      /**< Empty until it is answered. */
        std::size_t bodyBytes = 0;
        bool close = false, waited = false;
        Timestamp readyAt{};
    };

    std::deque<OpenAnswer> open;
};

} // namespace copperlead::sidecar
