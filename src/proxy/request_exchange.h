// One request of a caller, from its head to the last byte of its answer.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "proxy/caller_request.h"
#include "proxy/forwarded_headers.h"
#include "proxy/proxy_server.h"
#include "proxy/upstream_attempt.h"
#include "proxy/upstream_pool.h"

namespace copperlead {

// What all connections share. Thread-safe.
struct ProxyContext {
  ProxyContext(const ProxySettings& proxy_settings, RequestDecider request_decider);

  const ProxySettings settings;
  const RequestDecider decider;
  UpstreamPool pool;
  std::atomic<std::uint64_t> answered = 0;
  std::atomic<std::uint64_t> buffered_bytes = 0;  // Of all bodies held whole now.
  std::atomic<bool> draining = false;

  // A request id for a caller that named none; unique over nodes by its random half.
  std::string NewRequestId();

 private:
  const std::uint64_t id_prefix_;
  std::atomic<std::uint64_t> next_id_ = 0;
};

// What becomes of the caller's connection after a request.
enum class ConnectionEnd : std::uint8_t {
  kKeep,    // The next request may follow.
  kClose,   // Everything was said; close in order.
  kBroken,  // The answer was cut, or the caller left: close at once.
};

// Runs in the connection's thread.
class RequestExchange {
 public:
  RequestExchange(ProxyContext& context, SocketStream& caller);
  ~RequestExchange();
  RequestExchange(const RequestExchange&) = delete;
  RequestExchange& operator=(const RequestExchange&) = delete;

  ConnectionEnd Run(const RequestHead& head);

  // Answers a caller whose request has no usable head.
  static ConnectionEnd Refuse(ProxyContext& context, SocketStream& caller,
                              const RequestFault& fault);

 private:
  ConnectionEnd Decide();
  // Runs one attempt and asks the session what follows.
  // @return the end of the exchange, if this was it.
  std::optional<ConnectionEnd> RunAttempt(const SendAttempt& action, RequestAction& next);
  // Keeps the connection of an answer that is not passed on, if no more of it has to be read.
  void RecycleConnection();
  ConnectionEnd Relay();
  // Passes the body on, after `head`.
  // @return how the answer ended.
  BodyStatus RelayBody(BodyReader& reader, std::string head, bool chunk);
  ConnectionEnd FinishRelay(bool whole, bool close);
  ConnectionEnd AnswerOwn(OwnAnswer answer);
  // Reads a small body into memory, so that it can be sent again.
  // @return the end of the exchange when that failed.
  std::optional<ConnectionEnd> HoldSmallBody();
  bool ReserveBuffer(std::uint64_t bytes);
  bool ConnectionIsReusable() const;
  bool MustClose() const;
  IoLimits CallerWriteLimits() const;
  IoLimits AnswerReadLimits() const;

  ProxyContext& context_;
  SocketStream& caller_;
  CallerRequest request_;
  std::optional<RequestBody> body_;
  std::unique_ptr<RequestSession> session_;
  std::uint64_t reserved_bytes_ = 0;
  // Of the attempt that runs or was answered.
  AttemptResult attempt_;
  SocketAddress address_;
  bool keep_connection_ = true;  // Whether the back end's connection may be kept afterwards.
  Duration progress_timeout_{};
  std::optional<Timestamp> deadline_;
};

}  // namespace copperlead
