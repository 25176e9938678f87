// A decider with a fixed, plain policy and a record of what the shell told it.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "proxy/start_proxy_server.h"

namespace copperlead {

struct DeciderScript {
  std::vector<SocketAddress> backends;  // Attempt n goes to backends[n - 1], the last one again.
  std::uint32_t max_attempts = 1;
  Duration progress_timeout = std::chrono::seconds(10);
  bool allow_idle = true;
  std::string secret = {};
};

// What the shell reported, in order: "begin", "failed:2" (AttemptFailure), "answer:503",
// "finished:whole", "finished:cut", "released".
class DeciderRecord {
 public:
  void Add(std::string event);
  std::vector<std::string> events() const;
  bool Holds(const std::string& event) const;
  RequestFacts last_facts() const;
  void SetFacts(const RequestFacts& facts);

 private:
  mutable std::mutex mutex_;
  std::vector<std::string> events_;
  RequestFacts facts_;
};

// Retries what was surely not run, and lost GETs. Paths with ".." are refused, "//" is collapsed.
RequestDecider MakeScriptedDecider(DeciderScript script, std::shared_ptr<DeciderRecord> record);

}  // namespace copperlead
