/** The body of a message. All owners share it; nobody copies or changes its bytes. Of a large body,
    only the first part may be there, and the rest is passed on as it arrives.
*/
#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "mesh/memory_plan.h"
#include "sidecar/buffer_pool.h"
#include "sidecar/http/body_stream.h"

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

    /** @param first   the part that is there
        @param length  of the whole body; nothing if it isn't known yet
    */
    Body (Body first, std::shared_ptr<BodyStream> restToCome, std::optional<std::size_t> length)
        : contents (std::move (first.contents))
        , rest (std::move (restToCome))
        , announced (length)
    {
    }

    /** Returns the part that is there: everything, unless there is a stream(). */
    const std::string& bytes() const
    {
        static const std::string none;
        return contents == nullptr ? none : contents->bytes;
    }

    /** Returns the part that is there as a body of its own. */
    Body withoutStream() const
    {
        Body part;
        part.contents = contents;
        return part;
    }

    /** Returns what follows bytes(); null if nothing does. */
    const std::shared_ptr<BodyStream>& stream() const { return rest; }

    /** Returns the length of the whole body; nothing if it isn't known yet. */
    std::optional<std::size_t> length() const
    {
        return rest == nullptr ? bytes().size() : announced;
    }

    /** Returns the length as far as it is known. */
    std::size_t size() const { return length().value_or (bytes().size()); }
    bool empty() const { return size() == 0 && rest == nullptr; }

    /** Returns the bytes by which a request is recognised, on each node that it passes. */
    std::string_view identifyingBytes() const
    {
        const std::string_view all = bytes();
        return size() > mesh::wholeBodyBytes ? all.substr (0, mesh::identifyingBodyBytes) : all;
    }

    friend bool operator== (const Body& left, std::string_view right)
    {
        return left.rest == nullptr && left.bytes() == right;
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
    std::shared_ptr<BodyStream> rest;
    std::optional<std::size_t> announced; /**< Only with a stream. */
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
    bool isChunked = false; /**< The body is sent in chunks, as the head announces. */
};

} // namespace copperlead::sidecar
