// The callers' open connections: which of them wait for a request, and which have one in flight.
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <unordered_set>

#include "base/time.h"

namespace copperlead {

// Thread-safe.
class ConnectionRegistry {
 public:
  // One connection; registered while it lives, which must end before the descriptor is closed.
  class Entry {
   public:
    Entry(ConnectionRegistry& registry, int fd);
    ~Entry();
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;
    // A request has begun.
    // @return false when the connection was given up meanwhile.
    bool BeginRequest();
    // The connection waits for its next request.
    void EndRequest();

   private:
    friend class ConnectionRegistry;
    ConnectionRegistry& registry_;
    const int fd_;
    // Guarded by the registry's mutex.
    bool in_request_ = false;
    bool evicted_ = false;
    Timestamp waiting_since_;
  };

  std::size_t size() const;
  // Gives up the connection that has waited longest for a request (or for the rest of its head), if
  // that is at least `least_wait`. @return false when there is none.
  bool EvictWaiting(Duration least_wait);
  // Ends both directions of every connection. @return how many had a request in flight.
  std::size_t CutAll();

 private:
  mutable std::mutex mutex_;  // Guards what follows and the entries' state.
  std::unordered_set<Entry*> entries_;
};

}  // namespace copperlead
