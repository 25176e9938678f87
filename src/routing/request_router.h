// Decides what happens to each request: route, site, back end, limits, retries and the caller's
// answer. It does no I/O and reads no clock; the HTTP server reports the result of each attempt.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "base/error.h"
#include "base/time.h"
#include "routing/routing_snapshot.h"

namespace copperlead {

class RetryPolicy;
class RouterCore;

// Properties of a request that are known before it is sent.
struct RequestFacts {
  std::string method;
  std::string path;                   // Path as received, without the query.
  std::string request_id;             // Set by the caller or generated; determines the site.
  std::optional<Duration> time_left;  // Value of `copperlead-deadline-ms`.
  bool already_retried = false;       // A node upstream has retried (`copperlead-attempt`).
  // True when there is no body or it is buffered completely. When false, the body must not be read
  // before the first byte of the request is written: until then the request may go to another back
  // end.
  bool body_can_be_resent = true;
};

// Send the request to this back end.
struct SendAttempt {
  Endpoint endpoint;
  Duration progress_timeout{};        // Maximum time without progress.
  std::optional<Duration> time_left;  // Time for the whole call; forwarded in the deadline header.
  std::uint32_t attempt = 1;          // Forwarded as `copperlead-attempt`.
  bool allow_idle_connection = true;  // False: only a new or very recently used connection.
  const std::string* secret = nullptr;  // Bearer token; valid while the session exists.
  const std::string* path = nullptr;    // Normalized path, forwarded instead of the received one.
  bool keep_connection = true;  // False: the node's share of this back end's connections is used;
                                // close the connection after the answer.
};

// Pass the back end's answer on to the caller, unchanged.
struct RelayAnswer {};

// Answer the caller now, according to the error table.
struct AnswerError {
  ErrorKind kind = ErrorKind::kInternal;
  std::string cause;                                 // One sentence for the body and the log.
  std::optional<std::uint32_t> retry_after_seconds;  // Overrides the table's.
};

using RequestAction = std::variant<SendAttempt, RelayAnswer, AnswerError>;

// How an attempt without an answer ended.
enum class AttemptFailure : std::uint8_t {
  kConnectFailed,       // No connection; nothing was written.
  kNothingWritten,      // The connection failed before its first byte was written.
  kLostAfterWrite,      // Some or all of the request was written, then the connection failed.
  kTimeoutAfterWrite,   // No progress within the timeout.
  kDeadlineAfterWrite,  // The caller's deadline passed.
  kCallerGone,          // The caller disconnected.
};

// The head of a back end's answer, before any part of the answer is relayed.
struct AnswerHead {
  int status = 200;
  bool says_not_run = false;                    // `copperlead-outcome: not-run` is present.
  std::optional<std::uint32_t> load_in_flight;  // `copperlead-load: in_flight/slots`.
  std::optional<std::uint32_t> load_slots;
  std::optional<std::uint32_t> retry_after_seconds;
  bool closes_connection = false;  // `Connection: close`: with a refusal, a sign of draining.
};

// One request in progress. Its destructor releases the limits and in-flight slots that it holds.
// Used by one thread.
class RequestSession {
 public:
  virtual ~RequestSession() = default;
  // @return the first action. Must be called once.
  virtual RequestAction Start(Timestamp now) = 0;
  // Handles the failure of the current attempt before the head of an answer was received.
  virtual RequestAction OnFailure(Timestamp now, AttemptFailure failure) = 0;
  // Handles the head of an answer to the current attempt.
  virtual RequestAction OnAnswer(Timestamp now, const AnswerHead& head) = 0;
  // Handles the end of a relayed answer.
  // @param whole false when the answer was truncated, which the caller sees as a broken transfer.
  virtual void OnFinished(Timestamp now, bool whole) = 0;
};

struct RouterSettings {
  double retry_budget_share = 0.1;       // Retries as a share of recent requests.
  std::uint32_t retry_budget_floor = 3;  // Retries allowed in each second regardless of the share.
  Duration load_freshness = std::chrono::seconds(2);
  Duration slow_start = std::chrono::seconds(5);
  std::uint32_t ejection_failures = 5;  // Consecutive failures that eject a back end.
  Duration ejection_time = std::chrono::seconds(5);
  double ejection_limit = 0.5;  // Maximum share of a site unavailable after an ejection.
};

// Snapshot of the counters by cause, for metrics.
struct RouterCounters {
  std::uint64_t requests = 0;
  std::uint64_t retries = 0;
  std::uint64_t retries_denied = 0;  // Retries denied by the budget.
  std::uint64_t ejections = 0;
  std::uint64_t refused[static_cast<std::size_t>(ErrorKind::kCount)] = {};
};

// Thread-safe: any thread may call any method.
class RequestRouter {
 public:
  // @param seed seed of this node's random choices.
  // @param policy replaced only by tests; null: StandardRetryPolicy.
  RequestRouter(const RouterSettings& settings, std::uint64_t seed,
                std::shared_ptr<const RetryPolicy> policy = nullptr);
  ~RequestRouter();

  // Replaces the snapshot. Sessions that have started keep theirs.
  void Publish(Timestamp now, RoutingSnapshotPointer snapshot);
  RoutingSnapshotPointer snapshot() const;
  // Sets the number of live nodes, by which fleet limits are divided. After a decrease the node's
  // parts of limits stay lower than necessary for a while (see fleet_share.h).
  // @param node_rank rank of this node among live nodes by id, starting at 0. Nodes with different
  //        ranks get different parts of a limit that does not divide evenly. Nothing: derived from
  //        the seed.
  void SetLiveNodes(Timestamp now, std::size_t live_nodes,
                    std::optional<std::size_t> node_rank = std::nullopt);
  // Starts draining: new requests are refused with kDraining.
  void SetDraining();

  std::unique_ptr<RequestSession> Begin(const RequestFacts& facts);

  RouterCounters counters() const;
  std::uint64_t in_flight() const;

 private:
  std::shared_ptr<RouterCore> core_;
};

}  // namespace copperlead
