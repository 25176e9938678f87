// What a test leaves behind.
#include "tests/mesh_integration/evidence.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "tests/mesh_integration/log_tail.h"

namespace copperlead::standin {
namespace {

namespace fs = std::filesystem;

TEST(Evidence, APassingTestLeavesNothing) {
  if (std::getenv("COPPERLEAD_KEEP_EVIDENCE") != nullptr) GTEST_SKIP() << "it is asked for";
  std::string path;
  {
    EvidenceFolder folder;
    folder.Record("faults", {{"fault", "pause"}});
    path = folder.PathOf("faults.jsonl");
    EXPECT_TRUE(fs::exists(path));
  }
  EXPECT_FALSE(fs::exists(path));
}

TEST(Evidence, ItIsKeptWhenItIsWanted) {
  const bool was_set = std::getenv("COPPERLEAD_KEEP_EVIDENCE") != nullptr;
  setenv("COPPERLEAD_KEEP_EVIDENCE", "1", 0);
  std::string path;
  {
    EvidenceFolder folder;
    folder.Record("faults", {{"fault", "pause"}});
    folder.Record("faults", {{"fault", "heal"}});
    path = folder.PathOf("faults.jsonl");
  }
  LogTail tail(path);
  EXPECT_EQ(tail.ReadLine(std::chrono::milliseconds(0)), R"({"fault":"pause"})");
  EXPECT_EQ(tail.ReadLine(std::chrono::milliseconds(0)), R"({"fault":"heal"})");
  EXPECT_EQ(tail.ReadLine(std::chrono::milliseconds(0)), std::nullopt);
  if (!was_set) unsetenv("COPPERLEAD_KEEP_EVIDENCE");
  fs::remove_all(fs::path(path).parent_path());
}

TEST(Evidence, ALineThatIsStillBeingWrittenIsReadWhenItIsWhole) {
  EvidenceFolder folder;
  std::ofstream file(folder.PathOf("node.decisions"));
  LogTail tail(folder.PathOf("node.decisions"));
  file << "{\"event\":" << std::flush;
  EXPECT_EQ(tail.ReadLine(std::chrono::milliseconds(0)), std::nullopt);
  file << "\"started\"}\n" << std::flush;
  EXPECT_EQ(tail.ReadLine(std::chrono::milliseconds(0)), R"({"event":"started"})");
}

}  // namespace
}  // namespace copperlead::standin
