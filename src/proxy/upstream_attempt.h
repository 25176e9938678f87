// One attempt: a request written to one back end, until the head of its answer or a failure.
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

// The caller's body: held whole, or still to be read off the caller's connection.
class RequestBody {
 public:
  RequestBody(SocketStream& caller, const CallerRequest& request);

  // Reads the whole body into memory.
  // @return the step that ended it: kEnd when it is there.
  BodyStep ReadWhole(const IoLimits& limits);
  bool held() const { return held_; }
  const std::string& content() const { return content_; }
  // Streamed bodies: the next piece. Sends "100 Continue" first when the caller waits for it.
  BodyStep Next(const IoLimits& limits);
  // A body that was read in part cannot be sent to another back end.
  bool can_be_sent() const { return held_ || !started_; }
  // Nothing of it is left on the caller's connection.
  bool taken() const { return reader_.ended(); }
  bool chunked() const { return chunked_; }

 private:
  IoStatus Start(const IoLimits& limits);

  SocketStream& caller_;
  BodyReader reader_;
  std::string content_;
  bool chunked_;
  bool held_ = false;
  bool started_ = false;
  bool expects_continue_;
};

struct AttemptResult {
  enum class End : std::uint8_t {
    kAnswered,    // `head`, `framing` and `lease` are set.
    kFailed,      // See `failure`.
    kCallerFault  // The caller's body was malformed, cut or too slow: see `cause`.
  };
  End end = End::kFailed;
  AttemptFailure failure = AttemptFailure::kConnectFailed;
  std::string cause;  // For the log.
  bool sent_anything = false;
  ResponseHead head;
  BodyFraming framing;
  std::unique_ptr<UpstreamPool::Lease> lease;
  bool request_sent_whole = false;  // False when the answer came before the end of the body.
};

// Bounds of the caller's side of an attempt.
struct CallerLimits {
  int fd = -1;             // Watched: a caller that leaves ends the attempt.
  Duration body_progress;  // Longest wait for more of its body.
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
  bool WriteHeldBody();
  bool WriteStreamedBody();
  bool WritePiece(std::string_view piece);
  // Writes to the back end; takes in what it sends meanwhile.
  bool WriteUpstream(std::initializer_list<std::string_view> pieces, std::string_view doing);
  // The back end sent something before the request was written. Sets answer_came_early_ unless it
  // was an interim answer.
  void TakeEarlyBytes();
  bool ReadAnswer();
  // Takes the next head off the buffer. @return false when it is not there whole yet, or bad.
  bool ParseAnswer();
  IoLimits UploadLimits() const;
  IoLimits AnswerLimits() const;
  IoLimits CallerBodyLimits() const;
  bool Fail(IoStatus status, std::string_view doing);
  bool FailCaller(const BodyStep& step);
  bool BadAnswer(std::string cause);

  UpstreamPool& pool_;
  const CallerRequest& request_;
  RequestBody& body_;
  const SendAttempt& action_;
  const std::optional<Timestamp> deadline_;
  const CallerLimits caller_;
  std::uint64_t written_before_ = 0;  // By earlier requests of the connection.
  bool answer_came_early_ = false;
  bool bad_answer_ = false;
  AttemptResult result_;
};

}  // namespace copperlead
