// copperlead-node: the one daemon, the same on every machine.

#include <pthread.h>
#include <signal.h>

#include <iostream>
#include <string>
#include <vector>

#include "base/logging.h"
#include "node/node.h"
#include "node/settings.h"

namespace {

using copperlead::LogLevel;

// Blocks the stop signals in this thread and all it starts; WaitForStop() takes them.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

void WaitForStop(const sigset_t& signals) {
  int signal_number = 0;
  sigwait(&signals, &signal_number);
}

int Fail(const copperlead::Error& error) {
  std::cerr << "copperlead-node: " << copperlead::ToString(error) << "\n";
  return copperlead::AnswerFor(error.kind).exit_code;
}

// One line on standard output that names the bound addresses, for scripts that asked for port 0.
void PrintAddresses(const copperlead::Node& node) {
  std::cout << R"({"listen":")" << ToString(node.proxy_address()) << R"(","admin":")"
            << ToString(node.admin_address()) << R"(","peer_listen":")"
            << ToString(node.peer_address()) << "\"}" << std::endl;
}

}  // namespace

int main(int argument_count, char** argument_values) {
  const std::vector<std::string> arguments(argument_values + 1, argument_values + argument_count);
  const auto parsed = copperlead::Resolve([&] { return copperlead::ParseNodeSettings(arguments); });
  if (!parsed) return Fail(parsed.error());
  if (parsed.value().help) {
    std::cout << parsed.value().help_text;
    return 0;
  }
  const auto& settings = parsed.value().settings;
  copperlead::ConfigureLogging(settings.log_level, settings.log_format);
  const sigset_t signals = BlockStopSignals();
  const auto node = copperlead::Resolve([&] { return copperlead::StartNode(settings); });
  if (!node) return Fail(node.error());
  PrintAddresses(*node.value());
  copperlead::Log(LogLevel::kInfo, "node started", {{"id", settings.id}, {"zone", settings.zone}});

  WaitForStop(signals);
  copperlead::Log(LogLevel::kInfo, "draining", {{"id", settings.id}});
  const bool whole = node.value()->DrainAndStop();
  copperlead::Log(whole ? LogLevel::kInfo : LogLevel::kWarning,
                  whole ? "stopped; nothing in flight was cut"
                        : "stopped at the drain limit; requests in flight were cut",
                  {{"id", settings.id}});
  return 0;
}
