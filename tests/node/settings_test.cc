#include "node/settings.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace copperlead {
namespace {

std::vector<std::string> ValidArguments() {
  return {"--id=node-1",
          "--zone=ank-a",
          "--listen=127.0.0.1:0",
          "--admin=127.0.0.1:0",
          "--peer-listen=127.0.0.1:0",
          "--fleet-key-file=keys"};
}

TEST(NodeSettingsTest, ReadsFlagsAndDefaults) {
  auto arguments = ValidArguments();
  arguments.insert(arguments.end(), {"--peer=127.0.0.1:7001", "--peer=127.0.0.1:7002",
                                     "--source=http://127.0.0.1:9000/"});
  const auto outcome = Resolve([&] { return ParseNodeSettings(arguments); });
  ASSERT_TRUE(outcome.ok()) << ToString(outcome.error());
  const auto& settings = outcome.value().settings;
  EXPECT_EQ(settings.peers.size(), 2U);
  EXPECT_EQ(settings.source, (SocketAddress{"127.0.0.1", 9000}));
  EXPECT_EQ(settings.source_interval, std::nullopt);
  EXPECT_EQ(settings.drain_limit, Milliseconds(30000));
}

// A setting that must be rejected. It replaces the valid argument for the key, or is added to the
// valid arguments.
struct BadCase {
  const char* key;
  const char* value;
};

TEST(NodeSettingsTest, ErrorsNameKeyValueAndAllowedValues) {
  const BadCase cases[] = {
      {"id", ""},
      {"id", "a b"},
      {"zone", ""},
      {"listen", "localhost:80"},
      {"listen", "127.0.0.1"},
      {"admin", "127.0.0.1:70000"},
      {"peer-listen", "0.0.0.0:7000"},
      {"peer", "127.0.0.1:x"},
      {"source", "127.0.0.1:9000"},
      {"source", "https://127.0.0.1:9000"},
      {"source-interval-ms", "49"},
      {"source-interval-ms", "1s"},
      {"fleet-key-file", ""},
      {"profile", "fast"},
      {"log-level", "loud"},
      {"log-format", "xml"},
      {"drain-limit-ms", "-1"},
      {"drain-limit-ms", "99999999999999999999"},
  };
  for (const auto& bad : cases) {
    std::vector<std::string> arguments;
    const std::string flag = "--" + std::string(bad.key) + "=";
    for (const auto& argument : ValidArguments()) {
      if (!argument.starts_with(flag)) arguments.push_back(argument);
    }
    if (*bad.value != '\0') arguments.push_back(flag + bad.value);
    const auto outcome = Resolve([&] { return ParseNodeSettings(arguments); });
    ASSERT_FALSE(outcome.ok()) << flag << bad.value;
    EXPECT_EQ(outcome.error().kind, ErrorKind::kBadSetting) << flag << bad.value;
    EXPECT_EQ(outcome.error().place, bad.key) << flag << bad.value;
    EXPECT_NE(outcome.error().cause.find(bad.value), std::string::npos) << flag << bad.value;
  }
}

TEST(NodeSettingsTest, RejectsUnknownKeysAndUnreadableFiles) {
  auto unknown = ValidArguments();
  unknown.push_back("--colour=red");
  EXPECT_EQ(Resolve([&] { return ParseNodeSettings(unknown); }).error().kind,
            ErrorKind::kBadSetting);
  auto unreadable = ValidArguments();
  unreadable.push_back("--settings=/nonexistent/file");
  EXPECT_EQ(Resolve([&] { return ParseNodeSettings(unreadable); }).error().kind,
            ErrorKind::kUnreadableFile);
}

}  // namespace
}  // namespace copperlead
