// Decides what happens to each request: route, site, back end, limits, retries, and what may be
// said to the caller. No I/O and no clock; the HTTP shell reports what came of each attempt.
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

// What is known of a request before it is sent anywhere.
struct RequestFacts {
  std::string method;
  std::string path;                   // As received, without the query.
  std::string request_id;             // The caller's or a generated one; decides the site.
  std::optional<Duration> time_left;  // From `copperlead-deadline-ms`.
  bool already_retried = false;       // From `copperlead-attempt`: a node above has retried.
  // No body, or buffered whole. When false the body must stay untouched until the first byte of
  // the request is written: up to then the request may still go elsewhere.
  bool body_can_be_resent = true;
};

// Send the request to this back end.
struct SendAttempt {
  Endpoint endpoint;
  Duration progress_timeout{};          // Longest wait without progress.
  std::optional<Duration> time_left;    // For the whole call; goes on as the deadline header.
  std::uint32_t attempt = 1;            // Goes on as `copperlead-attempt`.
  bool allow_idle_connection = true;    // False: only a new or very recently used connection.
  const std::string* secret = nullptr;  // For `Authorization: Bearer`; lives with the session.
  const std::string* path = nullptr;    // Normalized; goes on in place of the received one.
  bool keep_connection = true;  // False: over the share of this back end's connections; close it
                                // after the answer.
};

// Pass the back end's answer on to the caller, unchanged.
struct RelayAnswer {};

// Answer the caller now, by the error table.
struct AnswerError {
  ErrorKind kind = ErrorKind::kInternal;
  std::string cause;                                 // For the body and the log; one sentence.
  std::optional<std::uint32_t> retry_after_seconds;  // Overrides the table's.
};

using RequestAction = std::variant<SendAttempt, RelayAnswer, AnswerError>;

// How an attempt ended that brought no answer.
enum class AttemptFailure : std::uint8_t {
  kConnectFailed,       // No connection; nothing was written.
  kNothingWritten,      // The connection failed before its first byte was written.
  kLostAfterWrite,      // Some or all of the request was written, then the connection failed.
  kTimeoutAfterWrite,   // No progress within the timeout.
  kDeadlineAfterWrite,  // The caller's deadline passed.
  kCallerGone,          // The caller left.
};

// The head of a back end's answer, before any of it was passed on.
struct AnswerHead {
  int status = 200;
  bool says_not_run = false;                    // `copperlead-outcome: not-run`.
  std::optional<std::uint32_t> load_in_flight;  // From `copperlead-load: in_flight/slots`.
  std::optional<std::uint32_t> load_slots;
  std::optional<std::uint32_t> retry_after_seconds;
  bool closes_connection = false;  // `Connection: close`: with a refusal, a sign of draining.
};

// One request on its way. Releases what it holds (limits, in-flight slots) when destroyed.
// Used by one thread.
class RequestSession {
 public:
  virtual ~RequestSession() = default;
  // The first action. Call once.
  virtual RequestAction Start(Timestamp now) = 0;
  // The current attempt failed; AnswerHead was not seen.
  virtual RequestAction OnFailure(Timestamp now, AttemptFailure failure) = 0;
  // The current attempt brought the head of an answer.
  virtual RequestAction OnAnswer(Timestamp now, const AnswerHead& head) = 0;
  // The answer was relayed: whole, or cut (visible to the caller as a broken transfer).
  virtual void OnFinished(Timestamp now, bool whole) = 0;
};

struct RouterSettings {
  double retry_budget_share = 0.1;       // Retries as a share of recent requests.
  std::uint32_t retry_budget_floor = 3;  // Retries per second always allowed.
  Duration load_freshness = std::chrono::seconds(2);
  Duration slow_start = std::chrono::seconds(5);
  std::uint32_t ejection_failures = 5;  // Consecutive failures that eject a back end.
  Duration ejection_time = std::chrono::seconds(5);
  double ejection_limit = 0.5;  // Largest share of a site's back ends ejected at once.
};

// Counters by cause, for metrics; a copy of a moment.
struct RouterCounters {
  std::uint64_t requests = 0;
  std::uint64_t retries = 0;
  std::uint64_t retries_denied = 0;  // By the budget.
  std::uint64_t ejections = 0;
  std::uint64_t refused[static_cast<std::size_t>(ErrorKind::kCount)] = {};
};

// Thread-safe: any thread may call any method.
class RequestRouter {
 public:
  // @param seed of this node's random choices.
  // @param policy only for tests; null: StandardRetryPolicy.
  RequestRouter(const RouterSettings& settings, std::uint64_t seed,
                std::shared_ptr<const RetryPolicy> policy = nullptr);
  ~RequestRouter();

  // Swaps the snapshot; sessions begun before keep theirs.
  void Publish(Timestamp now, RoutingSnapshotPointer snapshot);
  RoutingSnapshotPointer snapshot() const;
  // Fleet limits are divided by this. Shrinking views err low: see fleet_share.h.
  // @param node_rank of this node among live nodes by id, 0 first: nodes with different ranks get
  //        different parts of a limit that does not divide evenly. Nothing: taken from the seed.
  void SetLiveNodes(Timestamp now, std::size_t live_nodes,
                    std::optional<std::size_t> node_rank = std::nullopt);
  // The node drains: new requests are refused with kDraining.
  void SetDraining();

  std::unique_ptr<RequestSession> Begin(const RequestFacts& facts);

  RouterCounters counters() const;
  std::uint64_t in_flight() const;

 private:
  std::shared_ptr<RouterCore> core_;
};

}  // namespace copperlead
