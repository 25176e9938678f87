// A RequestDecider with a fixed, simple policy, and a record of what the proxy reported to it.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "proxy/start_proxy_server.h"

namespace copperlead {

struct DeciderScript {
  // Attempt n goes to backends[n - 1], further ones to the last.
  std::vector<SocketAddress> backends;
  std::uint32_t max_attempts = 1;
  Duration progress_timeout = std::chrono::seconds(10);
  bool allow_idle = true;
  std::string secret = {};
};

// The events that the proxy reported, in order: "begin", "failed:2" (AttemptFailure), "answer:503",
// "finished:whole", "finished:cut", "released".
class DeciderRecord {
 public:
  void Add(std::string event);
  std::vector<std::string> events() const;
  bool Contains(const std::string& event) const;
  RequestFacts last_facts() const;
  void SetFacts(const RequestFacts& facts);

 private:
  mutable std::mutex mutex_;
  std::vector<std::string> events_;
  RequestFacts facts_;
};

// Retries requests that have certainly not run, and GET requests whose connection was lost. Refuses
// paths with ".." and collapses "//".
RequestDecider MakeScriptedDecider(DeciderScript script, std::shared_ptr<DeciderRecord> record);

}  // namespace copperlead
