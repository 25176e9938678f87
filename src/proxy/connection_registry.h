// The callers' open connections. Records which of them wait for a request and which have one in
// flight.
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
  // Registers one connection for the lifetime of the entry. Must be destroyed before the descriptor
  // is closed.
  class Entry {
   public:
    Entry(ConnectionRegistry& registry, int fd);
    ~Entry();
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;
    // Marks the start of a request.
    // @return false when the connection was evicted in the meantime.
    bool BeginRequest();
    // Marks the end of a request: the connection waits for the next one.
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
  // Shuts down the connection that has waited longest for a request (or for the rest of its head),
  // provided that it has waited for at least `min_wait`. @return false when there is none.
  bool EvictLongestWaiting(Duration min_wait);
  // Shuts down both directions of every connection. @return how many had a request in flight.
  std::size_t ShutDownAll();

 private:
  mutable std::mutex mutex_;  // Guards the members below and the state of the entries.
  std::unordered_set<Entry*> entries_;
};

}  // namespace copperlead
