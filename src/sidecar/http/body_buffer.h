/** The bytes of a body that is being read, and the memory that is reserved for them. To be used on
    the reactor's thread only.
*/
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "sidecar/buffer_pool.h"
#include "sidecar/http/body.h"

namespace copperlead::sidecar
{

class BodyBuffer
{
public:
    /** Asks for memory, which is granted now or after a wait.
        @param pool       null sets no limit
        @param onGranted  called after a wait, unless the buffer is cleared before
        @returns false if the pool refuses; nothing has changed then
    */
    bool request (std::size_t size, const std::shared_ptr<BufferPool>& pool,
                  std::function<void()> onGranted);

    /** Returns true from a request until its memory is used, also if that has been granted. */
    bool isWaiting() const { return requested.has_value(); }

    /** Returns true if the requested memory may be used. */
    bool isGranted() const { return isWaiting() && requested->isGranted(); }

    /** Uses the requested memory for the body, in place of what it had. */
    void grow();

    /** Returns the requested memory, for another use. */
    Reservation takeRequested();

    /** Limits the body's bytes to a part of the memory, until the buffer is cleared. */
    void setMaxBytes (std::size_t newLimit) { maxBytes = newLimit; }

    /** Returns the bytes that the body may have in the memory there is. */
    std::size_t capacity() const;

    /** Returns how many bytes may be appended. */
    std::size_t room() const { return capacity() - contents.size(); }
    bool isFull() const { return room() == 0; }

    std::string& bytes() { return contents; }
    std::size_t size() const { return contents.size(); }

    /** Returns the memory in use. The bytes stay, so it has to live as long as they do. */
    Reservation takeMemory();

    /** Returns what has been read together with its memory, which is reduced to the bytes if they
        take less than half of it.
    */
    Body takeBody();
    void clear();

private:
    std::string contents;
    Reservation memory; /**< For `contents`. */
    std::optional<Reservation> requested;
    std::size_t maxBytes = SIZE_MAX;
};

} // namespace copperlead::sidecar
