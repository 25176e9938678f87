// What a test with real processes leaves behind when it fails: a folder with the logs of every
// node and what the test itself saw. A test that passes leaves nothing.
#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace copperlead::standin {

// Milliseconds since 1970, as the `time` of the nodes' log lines.
std::int64_t ToUnixMilliseconds(std::chrono::steady_clock::time_point when);

// Thread-safe.
class EvidenceFolder {
 public:
  // Creates a new folder among the temporary ones.
  EvidenceFolder();
  // Removes the folder, unless the running test has failed since the start of this: then prints
  // its path. A process that is killed leaves it, too.
  ~EvidenceFolder();
  EvidenceFolder(const EvidenceFolder&) = delete;
  EvidenceFolder& operator=(const EvidenceFolder&) = delete;

  std::string PathOf(const std::string& file) const { return path_ + "/" + file; }
  // Whether the running test has failed since the start of this, or the environment's
  // COPPERLEAD_KEEP_EVIDENCE asks for it.
  bool wanted() const;
  // Appends a line to the file `name`.jsonl.
  void Record(const std::string& name, const nlohmann::json& line);

 private:
  const std::string path_;
  const int failures_before_;
  std::mutex mutex_;
  std::map<std::string, std::ofstream> files_;  // Guarded by mutex_; by name.
};

}  // namespace copperlead::standin
