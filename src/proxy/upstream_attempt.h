// One attempt: writes a request to one back end and reads the head of the response.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>

#include "proxy/body_reader.h"
#include "proxy/caller_request.h"
#include "proxy/upstream_pool.h"

namespace copperlead {

// The body of a caller's request, which is held in memory or read from the caller's connection.
class RequestBody {
 public:
  RequestBody(SocketStream& caller, const CallerRequest& request);

  // Reads the complete body into memory.
  // @return the last step: kEnd on success.
  BodyStep ReadAll(const IoLimits& limits);
  bool in_memory() const { return in_memory_; }
  const std::string& content() const { return content_; }
  // Reads the next piece of the body. Sends "100 Continue" first when the caller waits for it.
  BodyStep Next(const IoLimits& limits);
  // A streamed body that was read in part cannot be sent to another back end.
  bool can_be_sent() const { return in_memory_ || !started_; }
  // The body has been read to its end from the caller's connection.
  bool fully_read() const { return reader_.ended(); }
  bool chunked() const { return chunked_; }

 private:
  IoStatus Start(const IoLimits& limits);

  SocketStream& caller_;
  BodyReader reader_;
  std::string content_;
  bool chunked_;
  bool in_memory_ = false;
  bool started_ = false;
  bool expects_continue_;
};

struct AttemptResult {
  enum class End : std::uint8_t {
    kAnswered,    // `head`, `framing` and `lease` are set.
    kFailed,      // `failure` holds the reason.
    kCallerFault  // The caller's body was malformed or too slow; see `cause`.
  };
  End end = End::kFailed;
  AttemptFailure failure = AttemptFailure::kConnectFailed;
  std::string cause;  // For the log.
  bool sent_anything = false;
  ResponseHead head;
  BodyFraming framing;
  std::unique_ptr<UpstreamPool::Lease> lease;
  // False when the response began before the end of the body.
  bool request_sent_completely = false;
};

// Limits for the caller's side of an attempt.
struct CallerLimits {
  int fd = -1;             // Watched: the attempt ends when the caller disconnects.
  Duration body_progress;  // Longest wait for more of the caller's body.
};

// Runs one attempt in the calling thread.
class UpstreamAttempt {
 public:
  UpstreamAttempt(UpstreamPool& pool, const CallerRequest& request, RequestBody& body,
                  const SendAttempt& action, std::optional<Timestamp> deadline,
                  CallerLimits caller);

  AttemptResult Run();

 private:
  std::string RequestHeadText() const;
  bool WriteBufferedBody();
  bool WriteStreamedBody();
  bool WritePiece(std::string_view piece);
  // Writes to the back end and reads what it sends in the meantime.
  bool WriteUpstream(std::initializer_list<std::string_view> pieces, std::string_view cause);
  // Handles input that arrives before the request is fully written. Sets answer_came_early_ unless
  // it is an interim response.
  void ReadEarlyBytes();
  bool ReadAnswer();
  // Parses the next head in the buffer. @return false when the head is incomplete or malformed.
  bool ParseAnswer();
  IoLimits UploadLimits() const;
  IoLimits AnswerLimits() const;
  IoLimits CallerBodyLimits() const;
  bool Fail(IoStatus status, std::string_view cause);
  bool FailCaller(const BodyStep& step);
  bool BadAnswer(std::string cause);

  UpstreamPool& pool_;
  const CallerRequest& request_;
  RequestBody& body_;
  const SendAttempt& action_;
  const std::optional<Timestamp> deadline_;
  const CallerLimits caller_;
  std::uint64_t written_before_ = 0;  // Bytes written by earlier requests of the connection.
  bool answer_came_early_ = false;
  bool bad_answer_ = false;
  AttemptResult result_;
};

}  // namespace copperlead
