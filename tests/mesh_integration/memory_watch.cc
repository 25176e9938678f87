#include "tests/mesh_integration/memory_watch.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

namespace copperlead::standin {
namespace {

constexpr auto kLookInterval = std::chrono::milliseconds(2);
constexpr int kLooksBetweenCounts = 10;

std::size_t ResidentBytes(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  std::size_t virtual_pages = 0;
  std::size_t resident_pages = 0;
  file >> virtual_pages >> resident_pages;
  return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

// Whether a child has begun its own program. Until then it has its parent's memory.
bool RunsOwnProgram(pid_t pid) {
  std::error_code ignored;
  const auto program =
      std::filesystem::read_symlink("/proc/" + std::to_string(pid) + "/exe", ignored);
  return !program.empty() && program != std::filesystem::read_symlink("/proc/self/exe", ignored);
}

// The inodes of a process's sockets.
std::set<std::string> SocketInodes(pid_t pid) {
  std::set<std::string> inodes;
  std::error_code ignored;
  const std::string kPrefix = "socket:[";
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd", ignored)) {
    const auto target = std::filesystem::read_symlink(entry.path(), ignored).string();
    if (target.starts_with(kPrefix)) {
      inodes.insert(target.substr(kPrefix.size(), target.size() - kPrefix.size() - 1));
    }
  }
  return inodes;
}

// Bytes that have arrived on connections and were not read, by the connection's inode.
std::map<std::string, std::size_t> UnreadBytes() {
  std::map<std::string, std::size_t> unread;
  std::ifstream file("/proc/net/tcp");
  std::string line;
  std::getline(file, line);
  while (std::getline(file, line)) {
    std::istringstream words(line);
    std::vector<std::string> columns;
    for (std::string word; words >> word;) columns.push_back(word);
    // A listener, whose state is 0A, has connections in its queue, not bytes.
    if (columns.size() < 10 || columns[3] == "0A") continue;
    const auto bytes = std::stoul(columns[4].substr(columns[4].find(':') + 1), nullptr, 16);
    if (bytes > 0) unread[columns[9]] = bytes;
  }
  return unread;
}

}  // namespace

MemoryWatch::MemoryWatch(std::function<std::vector<WatchedProcess>()> processes)
    : processes_(std::move(processes)), thread_([this] { Run(); }) {}

MemoryWatch::~MemoryWatch() {
  stopping_ = true;
  thread_.join();
}

void MemoryWatch::Run() {
  while (!stopping_) {
    Look();
    std::this_thread::sleep_for(kLookInterval);
  }
}

void MemoryWatch::CountUnread(const std::vector<WatchedProcess>& processes) {
  unread_.clear();
  const auto by_inode = UnreadBytes();
  if (by_inode.empty()) return;
  for (const WatchedProcess& process : processes) {
    for (const auto& inode : SocketInodes(process.pid)) {
      const auto found = by_inode.find(inode);
      if (found != by_inode.end()) unread_[process.pid] += found->second;
    }
  }
}

void MemoryWatch::Look() {
  const auto processes = processes_();
  if (looks_++ % kLooksBetweenCounts == 0) CountUnread(processes);
  for (const WatchedProcess& process : processes) {
    if (!RunsOwnProgram(process.pid)) continue;
    const auto counted = unread_.find(process.pid);
    const std::size_t used =
        ResidentBytes(process.pid) + (counted == unread_.end() ? 0 : counted->second);
    {
      const std::lock_guard lock(mutex_);
      auto& peak = peaks_[process.ip];
      peak = std::max(peak, used);
    }
    if (used <= process.limit_bytes) continue;
    ++kills_;
    kill(process.pid, SIGKILL);
  }
}

std::size_t MemoryWatch::PeakOf(const std::string& ip) const {
  const std::lock_guard lock(mutex_);
  const auto found = peaks_.find(ip);
  return found == peaks_.end() ? 0 : found->second;
}

std::size_t MemoryWatch::Peak() const {
  const std::lock_guard lock(mutex_);
  std::size_t most = 0;
  for (const auto& [ip, peak] : peaks_) most = std::max(most, peak);
  return most;
}

}  // namespace copperlead::standin
