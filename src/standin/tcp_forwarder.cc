#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <thread>

#include "standin/forwarder.h"
#include "standin/socket_address.h"

namespace copperlead::standin {
namespace {

constexpr int kBacklog = 1024;
constexpr int kPollMilliseconds = 10;
constexpr std::size_t kPieceBytes = 16384;
constexpr int kBindAttempts = 100;

int OpenBound(int type, const SocketAddress& address) {
  const auto system = ToSystem(address);
  const int socket_descriptor = socket(system.storage.ss_family, type | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (type == SOCK_STREAM) {
    setsockopt(socket_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  }
  if (bind(socket_descriptor, system.get(), system.length) == 0) return socket_descriptor;
  close(socket_descriptor);
  return -1;
}

// One forwarded connection; its sockets close when both directions have ended.
class Connection {
 public:
  // @param opened  the number of the fault board's view at that time
  Connection(int caller, int target, std::uint64_t opened)
      : caller_(caller), target_(target), opened_(opened) {}
  ~Connection() {
    close(caller_);
    close(target_);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  int From(FaultDirection way) const { return way == FaultDirection::kForward ? caller_ : target_; }
  int To(FaultDirection way) const { return way == FaultDirection::kForward ? target_ : caller_; }
  bool ended() const { return ended_; }
  std::uint64_t opened() const { return opened_; }

  // Ends both directions; by RST unless `gentle`.
  void End(bool gentle) {
    const linger at_once{1, 0};
    for (const int socket : {caller_, target_}) {
      if (gentle) {
        shutdown(socket, SHUT_RDWR);
      } else {
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
      }
    }
    ended_ = true;
  }

 private:
  const int caller_;
  const int target_;
  const std::uint64_t opened_;
  std::atomic<bool> ended_{false};
};

// Moves the bytes of one direction of one connection.
class Pump {
 public:
  Pump(std::shared_ptr<Connection> connection, FaultDirection way, FaultBoard& board)
      : connection_(std::move(connection)), way_(way), board_(board) {}

  void Run() {
    while (!connection_->ended() && Step()) {
    }
  }

 private:
  // @return false when the direction has ended.
  bool Step() {
    if (board_.Get().fault.CutsBoth()) return End(false);
    if (board_.Get().fault.Stops(way_) || board_.IsSilenced(connection_->opened())) {
      std::this_thread::sleep_for(std::chrono::milliseconds(kPollMilliseconds));
      return true;
    }
    pollfd readable{connection_->From(way_), POLLIN, 0};
    if (poll(&readable, 1, kPollMilliseconds) <= 0) return true;
    char piece[kPieceBytes];
    const auto count = recv(connection_->From(way_), piece, sizeof(piece), 0);
    if (count < 0) return End(false);
    if (count == 0) {
      shutdown(connection_->To(way_), SHUT_WR);
      return false;
    }
    return Pass(piece, static_cast<std::size_t>(count));
  }

  // Forwards a piece as the fault of the moment allows.
  bool Pass(const char* piece, std::size_t length) {
    auto view = board_.Get();
    while ((view.fault.Stops(way_) || board_.IsSilenced(connection_->opened())) &&
           !connection_->ended()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(kPollMilliseconds));
      view = board_.Get();
    }
    if (view.fault.CutsBoth()) return End(false);
    if (view.fault.kind == FaultKind::kDelay && view.fault.Covers(way_)) {
      std::this_thread::sleep_for(view.fault.wait);
    }
    if (view.number != counted_fault_) {
      counted_fault_ = view.number;
      counted_bytes_ = 0;
    }
    if (view.fault.kind == FaultKind::kReset && view.fault.Covers(way_) &&
        counted_bytes_ + length > view.fault.after && board_.TakeTime()) {
      Send(piece, static_cast<std::size_t>(view.fault.after - counted_bytes_));
      ++board_.resets;
      return End(view.fault.gentle);
    }
    counted_bytes_ += length;
    return Send(piece, length) || End(false);
  }

  bool Send(const char* piece, std::size_t length) {
    auto& counter = way_ == FaultDirection::kForward ? board_.forward_bytes : board_.backward_bytes;
    while (length > 0) {
      const auto sent = send(connection_->To(way_), piece, length, MSG_NOSIGNAL);
      if (sent <= 0) return false;
      counter += static_cast<std::uint64_t>(sent);
      piece += sent;
      length -= static_cast<std::size_t>(sent);
    }
    return true;
  }

  bool End(bool gentle) {
    connection_->End(gentle);
    return false;
  }

  const std::shared_ptr<Connection> connection_;
  const FaultDirection way_;
  FaultBoard& board_;
  std::uint64_t counted_fault_ = 0;
  std::uint64_t counted_bytes_ = 0;  // Passed since the fault of that number was set.
};

void ResetAndClose(int socket) {
  const linger at_once{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  close(socket);
}

void Serve(int caller, const SocketAddress& target_address, FaultBoard& board) {
  const auto opened = board.Get().number;
  const auto system = ToSystem(target_address);
  const int target = socket(system.storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(target, system.get(), system.length) != 0) {
    close(target);
    ResetAndClose(caller);
    return;
  }
  const int on = 1;
  setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(target, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const auto connection = std::make_shared<Connection>(caller, target, opened);
  std::thread([connection, &board] {
    Pump(connection, FaultDirection::kBackward, board).Run();
  }).detach();
  Pump(connection, FaultDirection::kForward, board).Run();
}

// Accepts while the fault allows it.
void AcceptLoop(int listener, const SocketAddress& target, FaultBoard& board) {
  bool listening = true;
  while (true) {
    const auto fault = board.Get().fault;
    const bool refuse = fault.kind == FaultKind::kRefuse;
    if (refuse && listening) shutdown(listener, SHUT_RD);
    if (!refuse && !listening) listen(listener, kBacklog);
    listening = !refuse;
    if (refuse || fault.kind == FaultKind::kStopAccepting) {
      std::this_thread::sleep_for(std::chrono::milliseconds(kPollMilliseconds));
      continue;
    }
    pollfd readable{listener, POLLIN, 0};
    if (poll(&readable, 1, kPollMilliseconds) <= 0) continue;
    const int caller = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (caller < 0) continue;
    ++board.connections;
    const bool dropped = fault.kind == FaultKind::kDrop && board.TakeDrop(fault.percent);
    if (dropped || board.Get().fault.CutsBoth()) {
      ResetAndClose(caller);
      continue;
    }
    std::thread([caller, target, &board] { Serve(caller, target, board); }).detach();
  }
}

}  // namespace

std::optional<ForwarderSockets> BindForwarder(const SocketAddress& listen_address, bool with_udp) {
  for (int attempt = 0; attempt < kBindAttempts; ++attempt) {
    ForwarderSockets sockets;
    sockets.address = listen_address;
    if (listen_address.port == 0) {
      // A port bound by number stays ours while kRefuse stops listening; one that the system chose
      // for the socket would not.
      const int probe = OpenBound(SOCK_STREAM, listen_address);
      sockets.address.port = BoundPort(probe);
      close(probe);
    }
    sockets.tcp = OpenBound(SOCK_STREAM, sockets.address);
    if (with_udp) sockets.udp = OpenBound(SOCK_DGRAM, sockets.address);
    const bool bound = sockets.tcp >= 0 && (!with_udp || sockets.udp >= 0);
    if (bound && listen(sockets.tcp, kBacklog) == 0) return sockets;
    close(sockets.tcp);
    close(sockets.udp);
    if (listen_address.port != 0) return std::nullopt;
  }
  return std::nullopt;
}

void StartTcpForwarder(const ForwarderSockets& sockets, const SocketAddress& target,
                       FaultBoard& board) {
  std::thread([tcp = sockets.tcp, target, &board] { AcceptLoop(tcp, target, board); }).detach();
}

}  // namespace copperlead::standin
