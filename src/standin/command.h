// The subcommands of `copperlead-standin`: small stand-ins for the platform, for tests and the
// demo. Never part of a deployment.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace copperlead::standin {

struct Command {
  std::string_view name;
  std::string_view summary;
  // @param arguments those after the command's name. @return the exit code; 2 for bad usage.
  int (*run)(const std::vector<std::string>& arguments);
};

const std::vector<Command>& AllCommands();

int RunSource(const std::vector<std::string>& arguments);
int RunBackend(const std::vector<std::string>& arguments);
int RunStore(const std::vector<std::string>& arguments);
int RunInstance(const std::vector<std::string>& arguments);
int RunFaultProxy(const std::vector<std::string>& arguments);
int RunDemo(const std::vector<std::string>& arguments);

}  // namespace copperlead::standin
