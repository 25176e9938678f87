// Carries messages between nodes: UDP for frames of one datagram, TCP for larger ones.
// A thin shell: owns its threads and sockets, decides nothing.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

#include "base/result.h"
#include "membership/message.h"
#include "transport/frame.h"

namespace copperlead {

// Counters for metrics; read from any thread.
struct TransportCounters {
  std::atomic<std::uint64_t> bytes_sent{0};  // Frames, without IP and UDP/TCP headers.
  std::atomic<std::uint64_t> bytes_received{0};
  std::atomic<std::uint64_t> messages_sent{0};
  // Frames handed over for sending, by body in the order of kMessageBodyNames.
  std::array<std::atomic<std::uint64_t>, kMessageBodyNames.size()> handed_bytes_by_body{};
  std::atomic<std::uint64_t> messages_received{0};
  std::atomic<std::uint64_t> bad_frames{0};       // kBadFrame and kFrameTooLarge.
  std::atomic<std::uint64_t> unsealed_frames{0};  // kUnsealFailed: wrong key or altered.
  std::atomic<std::uint64_t> send_failures{0};
  // Incoming connections closed because they were slow, silent or too many.
  std::atomic<std::uint64_t> refused_streams{0};
};

class Reactor;

class Transport {
 public:
  // Called from the transport's own threads, one call at a time per thread. `from` is where to
  // answer: for a message that came over TCP, the address that its sender states. May call Send()
  // and Stop(), but must not destroy the transport.
  using Receiver = std::function<void(const SocketAddress& from, std::shared_ptr<const Message>)>;

  virtual ~Transport() = default;

  // Queues the message; never blocks on the network. When the queue of a peer is full the oldest
  // is dropped: the protocol repairs losses. Any thread.
  virtual void Send(const SocketAddress& to, const Message& message) = 0;
  // The bound address (with the real port when port 0 was asked for).
  virtual SocketAddress local_address() const = 0;
  virtual const TransportCounters& counters() const = 0;
  // Stops threads and closes sockets; queued messages get up to a second to leave. Idempotent.
  virtual void Stop() = 0;
};

// Binds UDP and TCP on the same port and starts receiving, with one thread for everything.
// @return kBadAddress or kAddressInUse naming the address when it cannot be bound.
Result<std::unique_ptr<Transport>> StartTransport(const SocketAddress& listen,
                                                  const FleetKeys& keys,
                                                  Transport::Receiver receiver);

// The same on a thread that many transports share; all their receivers are called from it.
Result<std::unique_ptr<Transport>> StartTransport(const SocketAddress& listen,
                                                  const FleetKeys& keys,
                                                  Transport::Receiver receiver,
                                                  std::shared_ptr<Reactor> reactor);

}  // namespace copperlead
