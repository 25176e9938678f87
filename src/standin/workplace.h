// Where a demo or a test runs its processes: a temporary folder, loopback addresses of its own, and
// the programs. Runs side by side do not meet: each has its own addresses in 127.0.0.0/8.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/address.h"
#include "standin/child_process.h"

namespace copperlead::standin {

// Longest wait for anything that should happen soon; generous, for busy machines.
inline constexpr std::chrono::seconds kPatience{30};

// Asks `condition` again and again. @return its last word, true as soon as it holds.
bool WaitFor(const std::function<bool()>& condition, std::chrono::milliseconds limit = kPatience);

// A stand-in that has printed its addresses.
struct StandinProcess {
  std::unique_ptr<ChildProcess> process;
  SocketAddress listen;
  SocketAddress control;
};

// What a node is started with.
struct NodePlan {
  std::string id;
  std::string zone;
  SocketAddress listen;
  SocketAddress admin;
  SocketAddress peer_listen;
  SocketAddress peer_advertise;  // Empty: peer_listen.
  std::vector<SocketAddress> peers;
  SocketAddress source;                // Empty: none.
  std::vector<std::string> arguments;  // Further flags.
};

class Workplace {
 public:
  // Makes this process ignore SIGPIPE. @param binaries folder of the programs.
  explicit Workplace(std::string binaries);
  // Removes the folder, unless the environment has COPPERLEAD_KEEP_LOGS.
  ~Workplace();
  Workplace(const Workplace&) = delete;
  Workplace& operator=(const Workplace&) = delete;

  const std::string& folder() const { return folder_; }
  std::string Program(const std::string& name) const { return binaries_ + "/" + name; }
  // The log of the process that was started under this name.
  std::string LogFile(const std::string& name) const { return folder_ + "/" + name + ".log"; }
  std::string ReadLog(const std::string& name) const;

  // @return the name of a new file in the folder.
  std::string WriteFile(const std::string& name, const std::string& content) const;
  // @return an unused address; those of one `network` (0 to 200) share an IP.
  SocketAddress NewAddress(int network = 0);
  // @return the name of a file with a fresh random fleet key.
  std::string NewFleetKeyFile() const;

  // Starts `copperlead-standin ARGUMENTS`, waits until it is ready. Throws when it does not start.
  StandinProcess StartStandin(const std::string& name, std::vector<std::string> arguments) const;
  // Starts a node; does not wait for it.
  std::unique_ptr<ChildProcess> StartNode(const NodePlan& plan, const std::string& key_file) const;

 private:
  const std::string binaries_;
  std::string folder_;
  std::string network_prefix_;  // "127.x.y."
  std::uint16_t next_port_;
};

// @return the address that a text of ours holds; throws when it is none.
SocketAddress AddressFrom(const std::string& text);

}  // namespace copperlead::standin
