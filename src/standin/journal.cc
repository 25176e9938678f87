#include "standin/journal.h"

#include <nlohmann/json.hpp>

namespace copperlead::standin {

void Journal::Received(const std::string& request_id, const std::string& method) {
  const std::lock_guard lock(mutex_);
  auto& entry = entries_[request_id];
  ++entry.received;
  entry.method = method;
}

std::uint64_t Journal::Run(const std::string& request_id, std::uint64_t body_bytes,
                           const std::string& body_hash) {
  const std::lock_guard lock(mutex_);
  auto& entry = entries_[request_id];
  entry.body_bytes = body_bytes;
  entry.body_hash = body_hash;
  return ++entry.runs;
}

void Journal::Refused(const std::string& request_id) {
  const std::lock_guard lock(mutex_);
  ++entries_[request_id].refused;
}

void Journal::Incomplete(const std::string& request_id) {
  const std::lock_guard lock(mutex_);
  ++entries_[request_id].incomplete;
}

void Journal::Cancelled(const std::string& request_id) {
  const std::lock_guard lock(mutex_);
  ++entries_[request_id].cancelled;
}

void Journal::Clear() {
  const std::lock_guard lock(mutex_);
  entries_.clear();
}

std::string Journal::Text() const {
  const std::lock_guard lock(mutex_);
  nlohmann::json entries = nlohmann::json::object();
  std::uint64_t received = 0;
  std::uint64_t runs = 0;
  for (const auto& [id, entry] : entries_) {
    received += entry.received;
    runs += entry.runs;
    entries[id] = {{"received", entry.received},   {"runs", entry.runs},
                   {"refused", entry.refused},     {"incomplete", entry.incomplete},
                   {"cancelled", entry.cancelled}, {"body_bytes", entry.body_bytes},
                   {"body_hash", entry.body_hash}, {"method", entry.method}};
  }
  const nlohmann::json text = {{"received", received}, {"runs", runs}, {"entries", entries}};
  return text.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace copperlead::standin
