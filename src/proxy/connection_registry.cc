#include "proxy/connection_registry.h"

#include <sys/socket.h>

namespace copperlead {
namespace {

Timestamp Now() { return SteadyClock().Now(); }

}  // namespace

ConnectionRegistry::Entry::Entry(ConnectionRegistry& registry, int fd)
    : registry_(registry), fd_(fd), waiting_since_(Now()) {
  const std::lock_guard lock(registry_.mutex_);
  registry_.entries_.insert(this);
}

ConnectionRegistry::Entry::~Entry() {
  const std::lock_guard lock(registry_.mutex_);
  registry_.entries_.erase(this);
}

bool ConnectionRegistry::Entry::BeginRequest() {
  const std::lock_guard lock(registry_.mutex_);
  in_request_ = !evicted_;
  return in_request_;
}

void ConnectionRegistry::Entry::EndRequest() {
  const Timestamp now = Now();
  const std::lock_guard lock(registry_.mutex_);
  in_request_ = false;
  waiting_since_ = now;
}

std::size_t ConnectionRegistry::size() const {
  const std::lock_guard lock(mutex_);
  return entries_.size();
}

bool ConnectionRegistry::EvictLongestWaiting(Duration min_wait) {
  const Timestamp latest = Now() - min_wait;
  const std::lock_guard lock(mutex_);
  Entry* longest = nullptr;
  for (Entry* const entry : entries_) {
    if (entry->in_request_ || entry->evicted_ || entry->waiting_since_ > latest) continue;
    if (longest == nullptr || entry->waiting_since_ < longest->waiting_since_) longest = entry;
  }
  if (longest == nullptr) return false;
  longest->evicted_ = true;
  shutdown(longest->fd_, SHUT_RDWR);
  return true;
}

std::size_t ConnectionRegistry::ShutDownAll() {
  const std::lock_guard lock(mutex_);
  std::size_t in_flight = 0;
  for (Entry* const entry : entries_) {
    if (entry->in_request_) ++in_flight;
    shutdown(entry->fd_, SHUT_RDWR);
  }
  return in_flight;
}

}  // namespace copperlead
