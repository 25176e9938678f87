#include "tests/mesh_integration/log_tail.h"

#include <thread>

namespace copperlead::standin {
namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(5);

}  // namespace

std::optional<std::string> LogTail::ReadLine(std::chrono::milliseconds limit) {
  const auto until = std::chrono::steady_clock::now() + limit;
  while (true) {
    const auto end = unread_.find('\n');
    if (end != std::string::npos) {
      const std::string line = unread_.substr(0, end);
      unread_.erase(0, end + 1);
      return line;
    }
    if (!file_.is_open()) file_.open(path_);
    file_.clear();
    char piece[4096];
    file_.read(piece, sizeof(piece));
    if (file_.gcount() > 0) {
      unread_.append(piece, static_cast<std::size_t>(file_.gcount()));
      continue;
    }
    if (std::chrono::steady_clock::now() >= until) return std::nullopt;
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace copperlead::standin
