/** The body of a message. All owners share it; nobody copies or changes its bytes. */
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "sidecar/buffer_pool.h"

namespace copperlead::sidecar
{

class Body
{
public:
    Body() = default;

    /** @param memory  ends with the last owner */
    explicit Body (std::string bytes, Reservation memory = {})
        : contents (std::make_shared<const Contents> (std::move (bytes), std::move (memory)))
    {
    }

    const std::string& bytes() const
    {
        static const std::string none;
        return contents == nullptr ? none : contents->bytes;
    }

    std::size_t size() const { return bytes().size(); }
    bool empty() const { return bytes().empty(); }

    friend bool operator== (const Body& left, std::string_view right)
    {
        return left.bytes() == right;
    }

private:
    struct Contents
    {
        Contents (std::string bytesToHold, Reservation memoryToHold)
            : bytes (std::move (bytesToHold))
            , memory (std::move (memoryToHold))
        {
        }

        std::string bytes;
        Reservation memory;
    };

    std::shared_ptr<const Contents> contents;
};

/** A message that is ready to be sent. */
struct Message
{
    Message() = default;

    /** @param text  the head, or a complete message */
    explicit Message (std::string text, Body bodyToSend = {})
        : head (std::move (text))
        , body (std::move (bodyToSend))
    {
    }

    std::size_t size() const { return head.size() + body.size(); }
    bool empty() const { return head.empty(); }

    friend bool operator== (const Message& left, std::string_view right)
    {
        return left.head + left.body.bytes() == right;
    }

    std::string head;
    Body body;
};

} // namespace copperlead::sidecar
