// Starts and ends the processes of a demo or a test. A child never outlives its parent.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace copperlead::standin {

class ChildProcess {
 public:
  // Starts `command` (its program's path first). Its standard error is appended to the file `log`,
  // its standard output to the file `output`; when that is empty, ReadLine reads it. Call from the
  // thread that outlives the child.
  ChildProcess(const std::vector<std::string>& command, const std::string& log,
               const std::string& output = "");
  // Kills and reaps.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return pid_; }
  // @return the next line of standard output; nothing at its end, after `limit`, or when it goes to
  // a file.
  std::optional<std::string> ReadLine(std::chrono::milliseconds limit);
  // Sends a signal to the child, unless it has ended.
  void Signal(int signal);
  // @return the exit code (128 + N for signal N) once the child has ended, at most after `limit`.
  std::optional<int> Wait(std::chrono::milliseconds limit);
  bool running() { return !Wait(std::chrono::milliseconds(0)); }

 private:
  pid_t pid_ = -1;
  int output_ = -1;  // -1: standard output goes to a file.
  std::string unread_;
  std::optional<int> exit_code_;
};

}  // namespace copperlead::standin
