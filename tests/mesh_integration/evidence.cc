#include "tests/mesh_integration/evidence.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>

namespace copperlead::standin {
namespace {

std::string NewFolder() {
  static std::atomic<int> count{0};
  const auto path = std::filesystem::temp_directory_path() /
                    ("copperlead-mesh-" + std::to_string(getpid()) + "-" + std::to_string(++count));
  std::filesystem::create_directories(path);
  return path.string();
}

int CountFailures() {
  const auto* test = ::testing::UnitTest::GetInstance()->current_test_info();
  if (test == nullptr) return 0;
  int failures = 0;
  for (int part = 0; part < test->result()->total_part_count(); ++part) {
    if (test->result()->GetTestPartResult(part).failed()) ++failures;
  }
  return failures;
}

}  // namespace

std::int64_t ToUnixMilliseconds(std::chrono::steady_clock::time_point when) {
  using std::chrono::duration_cast, std::chrono::milliseconds;
  const auto ago = std::chrono::steady_clock::now() - when;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return duration_cast<milliseconds>(now - ago).count();
}

EvidenceFolder::EvidenceFolder() : path_(NewFolder()), failures_before_(CountFailures()) {}

EvidenceFolder::~EvidenceFolder() {
  files_.clear();
  if (wanted()) {
    std::cout << "evidence kept in " << path_ << std::endl;
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

bool EvidenceFolder::wanted() const {
  return CountFailures() != failures_before_ || std::getenv("COPPERLEAD_KEEP_EVIDENCE") != nullptr;
}

void EvidenceFolder::Record(const std::string& name, const nlohmann::json& line) {
  // An id may hold bytes that are no UTF-8.
  const std::string text =
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  const std::lock_guard lock(mutex_);
  auto& file = files_[name];
  if (!file.is_open()) file.open(PathOf(name + ".jsonl"), std::ios::app);
  file << text << std::flush;
}

}  // namespace copperlead::standin
