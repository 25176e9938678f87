// What a back end did with each request, counted by request id, so that a test can tell how often
// one was run.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace copperlead::standin {

// Counts for one request id.
struct JournalEntry {
  std::uint64_t received = 0;    // Request heads seen.
  std::uint64_t runs = 0;        // Times the work was begun.
  std::uint64_t refused = 0;     // Answered not-run, without running.
  std::uint64_t incomplete = 0;  // The body ended early; not run.
  std::uint64_t cancelled = 0;   // The caller left, or its deadline passed, during the work.
  std::uint64_t body_bytes = 0;  // Of the last whole body.
  std::string body_hash;         // Of the last whole body.
  std::string method;            // Of the last request head.
};

// Thread-safe.
class Journal {
 public:
  void Received(const std::string& request_id, const std::string& method);
  // @return how often the request has been run, this run included.
  std::uint64_t Run(const std::string& request_id, std::uint64_t body_bytes,
                    const std::string& body_hash);
  void Refused(const std::string& request_id);
  void Incomplete(const std::string& request_id);
  void Cancelled(const std::string& request_id);
  void Clear();

  // @return {"received": N, "runs": N, "entries": {ID: {...}}} as JSON.
  std::string Text() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, JournalEntry> entries_;  // Guarded by mutex_.
};

}  // namespace copperlead::standin
