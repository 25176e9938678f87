// The commands of `copperlead`. Each stands in a file of its own and is listed in AllCommands().
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace copperlead {

// Exit codes, the same for all commands; see docs/INTERFACES.md.
inline constexpr int kExitGood = 0;
inline constexpr int kExitNotSo = 1;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitUnreachable = 3;

struct Command {
  std::string_view name;
  std::string_view summary;                               // One line for `copperlead --help`.
  int (*run)(const std::vector<std::string>& arguments);  // Arguments after the command's name.
};

const std::vector<Command>& AllCommands();

int RunCheck(const std::vector<std::string>& arguments);
int RunDiff(const std::vector<std::string>& arguments);
int RunPlan(const std::vector<std::string>& arguments);
int RunExplain(const std::vector<std::string>& arguments);
int RunStepback(const std::vector<std::string>& arguments);
int RunStatus(const std::vector<std::string>& arguments);
int RunSimulate(const std::vector<std::string>& arguments);
int RunLoad(const std::vector<std::string>& arguments);
int RunReplay(const std::vector<std::string>& arguments);

}  // namespace copperlead
