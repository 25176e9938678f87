// Reads a log file while a process writes it.
#pragma once

#include <chrono>
#include <fstream>
#include <optional>
#include <string>

namespace copperlead::standin {

class LogTail {
 public:
  // The file need not be there yet.
  explicit LogTail(std::string path) : path_(std::move(path)) {}

  // @return the next whole line; nothing when none comes within `limit`.
  std::optional<std::string> ReadLine(std::chrono::milliseconds limit);

 private:
  std::string path_;
  std::ifstream file_;
  std::string unread_;
};

}  // namespace copperlead::standin
