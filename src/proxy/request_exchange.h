// One request of a caller, from its head to the last byte of its response.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "mesh/transfer_limit.h"
#include "proxy/caller_request.h"
#include "proxy/forwarded_headers.h"
#include "proxy/proxy_server.h"
#include "proxy/upstream_attempt.h"
#include "proxy/upstream_pool.h"

namespace copperlead {

// State that all connections share. Thread-safe.
struct ProxyContext {
  ProxyContext(const ProxySettings& proxy_settings, RequestDecider request_decider);

  const ProxySettings settings;
  const RequestDecider decider;
  UpstreamPool pool;
  std::atomic<std::uint64_t> answered = 0;
  std::atomic<std::uint64_t> buffered_bytes = 0;  // Size of all bodies currently held in memory.
  std::atomic<bool> draining = false;

  // Creates a request id for a caller that sent none. Its random half makes it unique across nodes.
  std::string NewRequestId();

 private:
  const std::uint64_t id_prefix_;
  std::atomic<std::uint64_t> next_id_ = 0;
};

// What happens to the caller's connection after a request.
enum class ConnectionDisposition : std::uint8_t {
  kKeep,    // The next request may follow.
  kClose,   // The response is complete; close in an orderly way.
  kBroken,  // The response is incomplete, or the caller disconnected; close immediately.
};

// Serves one request. Runs in the connection's thread.
class RequestExchange {
 public:
  RequestExchange(ProxyContext& context, SocketStream& caller);
  ~RequestExchange();
  RequestExchange(const RequestExchange&) = delete;
  RequestExchange& operator=(const RequestExchange&) = delete;

  ConnectionDisposition Run(const RequestHead& head);

  // Responds to a request that is refused before it is routed.
  static ConnectionDisposition Refuse(ProxyContext& context, SocketStream& caller,
                                      const RequestFault& fault);

 private:
  ConnectionDisposition Decide();
  // Runs one attempt and gets the next action from the session.
  // @return what to do with the connection, if the attempt ended the exchange.
  std::optional<ConnectionDisposition> RunAttempt(const SendAttempt& action, RequestAction& next);
  // Discards a response that is not relayed. Returns its connection to the pool if the rest of the
  // response is already buffered.
  void RecycleConnection();
  ConnectionDisposition Relay();
  // Relays the body, preceded by `head`.
  // @return how the response ended.
  BodyStatus RelayBody(BodyReader& reader, std::string head, bool chunk);
  // @return the limit of the response that is about to be relayed. Without a deadline it limits
  //         nothing.
  mesh::TransferLimit ResponseLimit() const;
  ConnectionDisposition FinishRelay(bool complete, bool close);
  ConnectionDisposition SendLocalResponse(LocalResponse answer);
  // Reads a small body into memory, so that it can be sent again.
  // @return what to do with the connection, if that failed.
  std::optional<ConnectionDisposition> BufferSmallBody();
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
  // Result and back end of the current attempt, or of the one that was answered.
  AttemptResult attempt_;
  SocketAddress address_;
  bool keep_connection_ = true;  // Whether the connection to the back end may be pooled afterwards.
  Duration progress_timeout_{};
  std::optional<Timestamp> deadline_;
};

}  // namespace copperlead
