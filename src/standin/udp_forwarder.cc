#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <deque>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "standin/forwarder.h"
#include "standin/socket_address.h"

namespace copperlead::standin {
namespace {

constexpr int kPollMilliseconds = 5;
constexpr std::size_t kDatagramBytes = 65536;

// One sender's way through the proxy: a socket of its own towards the target.
struct Session {
  SystemAddress sender;
  std::string sender_ip;
  int to_target = -1;
};

// A datagram that waits for its time.
struct Waiting {
  std::chrono::steady_clock::time_point due;
  std::size_t session = 0;
  FaultDirection way = FaultDirection::kForward;
  std::string content;
};

// Runs on one thread.
class UdpForwarder {
 public:
  UdpForwarder(int socket, const SocketAddress& target, FaultBoard& board)
      : socket_(socket), target_(ToSystem(target)), board_(board) {}

  [[noreturn]] void Run() {
    while (true) {
      std::vector<pollfd> readable{{socket_, POLLIN, 0}};
      for (const auto& session : sessions_) readable.push_back({session.to_target, POLLIN, 0});
      poll(readable.data(), readable.size(), kPollMilliseconds);
      if ((readable[0].revents & POLLIN) != 0) ReceiveFromSender();
      for (std::size_t index = 1; index < readable.size(); ++index) {
        if (readable[index].revents != 0) ReceiveFromTarget(index - 1);
      }
      SendDue();
    }
  }

 private:
  void ReceiveFromSender() {
    SystemAddress sender;
    char content[kDatagramBytes];
    const auto length =
        recvfrom(socket_, content, sizeof(content), MSG_DONTWAIT, sender.get(), &sender.length);
    if (length < 0) return;
    Take(SessionOf(sender), FaultDirection::kForward, {content, static_cast<std::size_t>(length)});
  }

  void ReceiveFromTarget(std::size_t session) {
    char content[kDatagramBytes];
    const auto length = recv(sessions_[session].to_target, content, sizeof(content), MSG_DONTWAIT);
    if (length < 0) return;
    Take(session, FaultDirection::kBackward, {content, static_cast<std::size_t>(length)});
  }

  std::size_t SessionOf(const SystemAddress& sender) {
    const std::string key(reinterpret_cast<const char*>(&sender.storage), sender.length);
    const auto [found, is_new] = session_by_sender_.emplace(key, sessions_.size());
    if (is_new) {
      const int to_target = socket(target_.storage.ss_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
      (void)connect(to_target, target_.get(), target_.length);
      sessions_.push_back({sender, IpOf(sender), to_target});
    }
    return found->second;
  }

  void Take(std::size_t session, FaultDirection way, std::string content) {
    ++board_.datagrams;
    auto fault = board_.Get().fault;
    if (!fault.CoversSender(sessions_[session].sender_ip)) fault = Fault{};
    const bool dropped = fault.kind == FaultKind::kDrop && board_.TakeDrop(fault.percent);
    if (dropped || fault.CutsBoth() || fault.Stops(way)) {
      ++board_.lost_datagrams;
      return;
    }
    auto due = std::chrono::steady_clock::now();
    if (fault.kind == FaultKind::kDelay && fault.Covers(way)) due += fault.wait;
    waiting_.push_back({due, session, way, std::move(content)});
  }

  void SendDue() {
    const auto now = std::chrono::steady_clock::now();
    while (!waiting_.empty() && waiting_.front().due <= now) {
      const auto& datagram = waiting_.front();
      const auto& session = sessions_[datagram.session];
      if (datagram.way == FaultDirection::kForward) {
        board_.forward_bytes += datagram.content.size();
        send(session.to_target, datagram.content.data(), datagram.content.size(), MSG_NOSIGNAL);
      } else {
        board_.backward_bytes += datagram.content.size();
        sendto(socket_, datagram.content.data(), datagram.content.size(), MSG_NOSIGNAL,
               session.sender.get(), session.sender.length);
      }
      waiting_.pop_front();
    }
  }

  const int socket_;
  const SystemAddress target_;
  FaultBoard& board_;
  std::vector<Session> sessions_;
  std::map<std::string, std::size_t> session_by_sender_;
  std::deque<Waiting> waiting_;
};

}  // namespace

void StartUdpForwarder(const ForwarderSockets& sockets, const SocketAddress& target,
                       FaultBoard& board) {
  std::thread([udp = sockets.udp, target, &board] {
    UdpForwarder(udp, target, board).Run();
  }).detach();
}

}  // namespace copperlead::standin
