// Sends and receives messages between nodes, over UDP when the frame fits into one datagram and
// over TCP otherwise. The transport owns its threads and sockets and contains no protocol logic.
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

// Counters for metrics, which may be read on any thread.
struct TransportCounters {
  std::atomic<std::uint64_t> bytes_sent{0};  // Size of frames, without IP and UDP/TCP headers.
  std::atomic<std::uint64_t> bytes_received{0};
  std::atomic<std::uint64_t> messages_sent{0};
  // Bytes of the frames passed to Send(), by message type in the order of kMessageBodyNames.
  std::array<std::atomic<std::uint64_t>, kMessageBodyNames.size()> submitted_bytes_by_body{};
  std::atomic<std::uint64_t> messages_received{0};
  std::atomic<std::uint64_t> bad_frames{0};  // Frames rejected with kBadFrame or kFrameTooLarge.
  // Frames rejected with kUnsealFailed because they were sealed with another key or altered.
  std::atomic<std::uint64_t> unseal_failures{0};
  std::atomic<std::uint64_t> send_failures{0};
  // Incoming connections that were closed because they were slow or idle or exceeded a limit.
  std::atomic<std::uint64_t> rejected_streams{0};
};

class Reactor;

class Transport {
 public:
  // Called on the transport's own threads, one call at a time per thread. `from` is the address to
  // reply to; for a message received over TCP this is the address in the sender's record. May call
  // Send() and Stop(), but must not destroy the transport.
  using Receiver = std::function<void(const SocketAddress& from, std::shared_ptr<const Message>)>;

  virtual ~Transport() = default;

  // Queues the message without blocking on the network. When a peer's queue is full, its oldest
  // unsent frame is dropped; the protocol recovers from losses. May be called on any thread.
  virtual void Send(const SocketAddress& to, const Message& message) = 0;
  // @return the bound address, with the actual port when port 0 was requested.
  virtual SocketAddress local_address() const = 0;
  virtual const TransportCounters& counters() const = 0;
  // Waits up to one second until queued messages are sent, then closes the sockets and stops
  // threads that the transport owns. Does not wait when called from the receiver. Idempotent.
  virtual void Stop() = 0;
};

// Binds UDP and TCP to the same port and starts receiving. One thread serves all sockets.
// @return the transport, or kBadAddress or kAddressInUse naming the address that cannot be bound.
Result<std::unique_ptr<Transport>> StartTransport(const SocketAddress& listen,
                                                  const FleetKeys& keys,
                                                  Transport::Receiver receiver);

// Like the overload above, but runs on the thread of a reactor that several transports may share.
// All their receivers are called on that thread.
Result<std::unique_ptr<Transport>> StartTransport(const SocketAddress& listen,
                                                  const FleetKeys& keys,
                                                  Transport::Receiver receiver,
                                                  std::shared_ptr<Reactor> reactor);

}  // namespace copperlead
