#include "standin/child_process.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <thread>

namespace copperlead::standin {
namespace {

constexpr auto kReapInterval = std::chrono::milliseconds(5);
constexpr int kExitNotStarted = 127;

using SteadyTime = std::chrono::steady_clock::time_point;

// Runs between fork and exec: only async-signal-safe calls.
[[noreturn]] void Become(char* const* arguments, int output, int log, pid_t parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(kExitNotStarted);
  signal(SIGPIPE, SIG_DFL);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  dup2(output, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execv(arguments[0], arguments);
  _exit(kExitNotStarted);
}

int OpenForAppending(const std::string& path) {
  return open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
}

int MillisecondsUntil(SteadyTime until) {
  const auto left = until - std::chrono::steady_clock::now();
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
  return static_cast<int>(count > 0 ? count : 0);
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command, const std::string& log,
                           const std::string& output) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const auto& argument : command) arguments.push_back(const_cast<char*>(argument.c_str()));
  arguments.push_back(nullptr);
  std::array<int, 2> pipe_ends = {-1, -1};
  if (output.empty() && pipe2(pipe_ends.data(), O_CLOEXEC) != 0) {
    throw std::runtime_error("no pipe");
  }
  const int output_end = output.empty() ? pipe_ends[1] : OpenForAppending(output);
  const int log_file = OpenForAppending(log);
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) Become(arguments.data(), output_end, log_file, parent);
  close(output_end);
  close(log_file);
  output_ = pipe_ends[0];
  if (pid_ < 0) throw std::runtime_error("cannot fork");
}

ChildProcess::~ChildProcess() {
  Signal(SIGKILL);
  Wait(std::chrono::hours(1));
  if (output_ >= 0) close(output_);
}

std::optional<std::string> ChildProcess::ReadLine(std::chrono::milliseconds limit) {
  if (output_ < 0) return std::nullopt;
  const auto until = std::chrono::steady_clock::now() + limit;
  while (true) {
    const auto end = unread_.find('\n');
    if (end != std::string::npos) {
      const auto line = unread_.substr(0, end);
      unread_.erase(0, end + 1);
      return line;
    }
    pollfd readable{output_, POLLIN, 0};
    if (poll(&readable, 1, MillisecondsUntil(until)) <= 0) return std::nullopt;
    std::array<char, 4096> piece{};
    const auto count = read(output_, piece.data(), piece.size());
    if (count <= 0) return std::nullopt;
    unread_.append(piece.data(), static_cast<std::size_t>(count));
  }
}

void ChildProcess::Signal(int signal) {
  if (pid_ > 0 && !exit_code_) kill(pid_, signal);
}

std::optional<int> ChildProcess::Wait(std::chrono::milliseconds limit) {
  const auto until = std::chrono::steady_clock::now() + limit;
  while (!exit_code_) {
    int status = 0;
    const auto ended = waitpid(pid_, &status, WNOHANG);
    if (ended == pid_) {
      exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      break;
    }
    if (std::chrono::steady_clock::now() >= until) return std::nullopt;
    std::this_thread::sleep_for(kReapInterval);
  }
  return exit_code_;
}

}  // namespace copperlead::standin
