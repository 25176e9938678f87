#include "standin/workplace.h"

#include <signal.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace copperlead::standin {
namespace {

constexpr auto kAskInterval = std::chrono::milliseconds(20);
constexpr std::uint16_t kFirstPort = 20000;
constexpr std::size_t kKeyBytes = 32;

std::string Base64(const std::vector<unsigned char>& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t index = 0; index < bytes.size(); index += 3) {
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - index);
    std::uint32_t group = 0;
    for (std::size_t place = 0; place < 3; ++place) {
      group = (group << 8) | (place < count ? bytes[index + place] : 0);
    }
    for (std::size_t place = 0; place < 4; ++place) {
      text += place <= count ? kDigits[(group >> (18 - 6 * place)) & 63] : '=';
    }
  }
  return text;
}

int RandomNumber(int least, int most) {
  static std::random_device device;
  return std::uniform_int_distribution<int>(least, most)(device);
}

}  // namespace

bool WaitFor(const std::function<bool()>& condition, std::chrono::milliseconds limit) {
  const auto until = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= until) return false;
    std::this_thread::sleep_for(kAskInterval);
  }
  return true;
}

SocketAddress AddressFrom(const std::string& text) {
  const auto parsed = Resolve([&] { return ParseSocketAddress(text); });
  if (!parsed.ok()) throw std::runtime_error(ToString(parsed.error()));
  return parsed.value();
}

Workplace::Workplace(std::string binaries)
    : binaries_(std::move(binaries)),
      network_prefix_("127." + std::to_string(RandomNumber(1, 254)) + "." +
                      std::to_string(RandomNumber(0, 254)) + "."),
      next_port_(kFirstPort) {
  signal(SIGPIPE, SIG_IGN);  // A broken connection is an answer here, not an end.
  auto pattern = (std::filesystem::temp_directory_path() / "copperlead-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
  folder_ = pattern;
}

Workplace::~Workplace() {
  if (std::getenv("COPPERLEAD_KEEP_LOGS") != nullptr) return;
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string Workplace::ReadLog(const std::string& name) const {
  std::ifstream file(LogFile(name));
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

std::string Workplace::WriteFile(const std::string& name, const std::string& content) const {
  std::string path = folder_ + "/" + name;
  std::ofstream(path, std::ios::binary) << content;
  return path;
}

SocketAddress Workplace::NewAddress(int network) {
  return {network_prefix_ + std::to_string(network + 1), next_port_++};
}

std::string Workplace::NewFleetKeyFile() const {
  std::vector<unsigned char> key(kKeyBytes);
  for (auto& byte : key) byte = static_cast<unsigned char>(RandomNumber(0, 255));
  return WriteFile("fleet.key", Base64(key) + "\n");
}

StandinProcess Workplace::StartStandin(const std::string& name,
                                       std::vector<std::string> arguments) const {
  arguments.insert(arguments.begin(), Program("copperlead-standin"));
  StandinProcess standin;
  standin.process = std::make_unique<ChildProcess>(arguments, LogFile(name));
  const auto line = standin.process->ReadLine(kPatience);
  if (!line) throw std::runtime_error(name + " did not start: " + ReadLog(name));
  const auto ready = nlohmann::json::parse(*line);
  standin.listen = AddressFrom(ready.at("listen"));
  standin.control = AddressFrom(ready.at("control"));
  return standin;
}

std::unique_ptr<ChildProcess> Workplace::StartNode(const NodePlan& plan,
                                                   const std::string& key_file) const {
  std::vector<std::string> command = {Program("copperlead-node"),
                                      "--id",
                                      plan.id,
                                      "--zone",
                                      plan.zone,
                                      "--listen",
                                      ToString(plan.listen),
                                      "--admin",
                                      ToString(plan.admin),
                                      "--peer-listen",
                                      ToString(plan.peer_listen),
                                      "--fleet-key-file",
                                      key_file};
  for (const auto& peer : plan.peers) {
    command.insert(command.end(), {"--peer", ToString(peer)});
  }
  if (!plan.peer_advertise.empty()) {
    command.insert(command.end(), {"--peer-advertise", ToString(plan.peer_advertise)});
  }
  if (!plan.source.empty()) {
    command.insert(command.end(), {"--source", "http://" + ToString(plan.source)});
  }
  command.insert(command.end(), plan.arguments.begin(), plan.arguments.end());
  return std::make_unique<ChildProcess>(command, LogFile(plan.id));
}

}  // namespace copperlead::standin
