/** The part of a body that arrives after its message has been passed on. The connection that reads
    the body puts bytes in, the one that writes the message takes them out. Reading pauses while the
    stream is full, so that a slow receiver slows its sender down instead of taking memory.

    The stream belongs to those that may write the body; when the last of them lets go of it, the
    reader is told that nobody wants the rest. All callbacks run after the call that caused them has
    returned. To be used on the reactor's thread only.
*/
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "sidecar/buffer_pool.h"
#include "transport/reactor.h"

namespace copperlead::sidecar
{

/** How the rest of a body ended. */
enum class BodyEnd : std::uint8_t
{
    complete,
    brokenOff, /**< The reader couldn't read all of it. */
    unwanted   /**< Nobody wanted more of it. */
};

class BodyStream : public std::enable_shared_from_this<BodyStream>
{
public:
    /** Bytes that a stream holds at most. */
    static constexpr std::size_t capacity = 64 << 10;

    /** Memory for a stream: its bytes, as many that its writer has taken out and not yet written,
        and as many that have arrived at the reader's socket.
    */
    static constexpr std::size_t reservedBytes = 3 * capacity;

    /** @param memoryToHold  reserved for the stream */
    BodyStream (std::shared_ptr<Reactor> reactorToUse, Reservation memoryToHold);
    ~BodyStream();

    /** Called when there is room again. Set by the reader. */
    std::function<void()> onRoom;

    /** Called when nobody wants the rest any more. Set by the reader. */
    std::function<void()> onAbandoned;

    /** Called when there are bytes, or the end. Set by the writer. */
    std::function<void()> onBytes;

    /** Called once nothing more will be read. */
    std::function<void (BodyEnd)> onEnded;

    /** Returns the number of bytes that may be put in. */
    std::size_t room() const { return isOpen() ? capacity - bytes.size() : 0; }

    /** The reader appends up to room() bytes here, and then calls bytesAdded(). */
    std::string& buffer() { return bytes; }
    void bytesAdded();

    /** Tells that the body is complete. */
    void finish();

    /** Tells that the rest of the body won't arrive. */
    void fail();

    /** Returns the bytes that are there, which may be none. */
    std::string take();

    /** Returns true once bytes have been taken, so that the body can't be sent from its start. */
    bool wasTouched() const { return touched; }

    /** Returns true if the body is complete and everything has been taken. */
    bool isAtEnd() const { return state == State::finished && bytes.empty(); }
    bool hasFailed() const { return state == State::failed; }

private:
    enum class State : std::uint8_t
    {
        open,
        finished,
        failed
    };

    bool isOpen() const { return state == State::open; }
    void end (State newState);
    void notify (std::function<void()> BodyStream::*callback);
    void reportEnd (BodyEnd bodyEnd);

    std::shared_ptr<Reactor> reactor;
    Reservation memory;
    State state = State::open;
    std::string bytes;
    bool touched = false;
};

} // namespace copperlead::sidecar
