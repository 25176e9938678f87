#include "toolbox/load_process_usage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace copperlead {
namespace {

constexpr std::uint64_t kKilobyte = 1024;
// Fields of /proc/PID/stat after the program's name, which ends with the last ')'.
constexpr int kFieldsBeforeUserTime = 11;

bool ReadCpuSeconds(const std::string& folder, double& seconds) {
  std::ifstream file(folder + "/stat");
  std::string line;
  if (!std::getline(file, line)) return false;
  std::istringstream fields(line.substr(line.rfind(')') + 1));
  std::string skipped;
  for (int field = 0; field < kFieldsBeforeUserTime; ++field) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  seconds = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  return true;
}

void ReadStatus(const std::string& folder, ProcessUsage& usage) {
  std::ifstream file(folder + "/status");
  for (std::string name; file >> name;) {
    std::uint64_t value = 0;
    if (name == "VmRSS:" && file >> value) usage.resident_bytes = value * kKilobyte;
    if (name == "VmHWM:" && file >> value) usage.peak_bytes = value * kKilobyte;
    if (name == "Threads:" && file >> value) usage.threads = value;
  }
}

}  // namespace

std::optional<ProcessUsage> ReadProcessUsage(int pid) {
  const std::string folder = "/proc/" + std::to_string(pid);
  ProcessUsage usage;
  if (!ReadCpuSeconds(folder, usage.cpu_seconds)) return std::nullopt;
  ReadStatus(folder, usage);
  return usage;
}

}  // namespace copperlead
