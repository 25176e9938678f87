#include "proxy/upstream_attempt.h"

#include <poll.h>

#include <utility>

#include "proxy/chunk_size_line.h"
#include "proxy/forwarded_headers.h"

namespace copperlead {
namespace {

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";
constexpr std::string_view kLineEnd = "\r\n";
constexpr int kMaxInterimResponses = 16;

}  // namespace

RequestBody::RequestBody(SocketStream& caller, const CallerRequest& request)
    : caller_(caller),
      reader_(caller, request.framing),
      chunked_(request.framing.kind == BodyKind::kChunked),
      in_memory_(request.framing.kind == BodyKind::kNone),
      expects_continue_(request.expects_continue) {}

IoStatus RequestBody::Start(const IoLimits& limits) {
  if (std::exchange(started_, true) || !expects_continue_) return IoStatus::kOk;
  return caller_.Write({kContinue}, limits);
}

BodyStep RequestBody::ReadAll(const IoLimits& limits) {
  for (;;) {
    const BodyStep step = Next(limits);
    if (step.status == BodyStatus::kEnd) in_memory_ = true;
    if (step.status != BodyStatus::kPiece) return step;
    content_.append(step.piece);
  }
}

BodyStep RequestBody::Next(const IoLimits& limits) {
  const IoStatus status = Start(limits);
  if (status != IoStatus::kOk) return {BodyStatus::kFailed, status, {}};
  return reader_.Next(limits);
}

UpstreamAttempt::UpstreamAttempt(UpstreamPool& pool, const CallerRequest& request,
                                 RequestBody& body, const SendAttempt& action,
                                 std::optional<Timestamp> deadline, CallerLimits caller)
    : pool_(pool),
      request_(request),
      body_(body),
      action_(action),
      deadline_(deadline),
      caller_(caller) {}

AttemptResult UpstreamAttempt::Run() {
  result_.lease = pool_.Acquire(action_.endpoint.address, action_.allow_idle_connection, deadline_);
  if (!result_.lease) {
    result_.cause = "cannot connect to the back end";
    return std::move(result_);
  }
  written_before_ = result_.lease->stream().bytes_written();
  const bool sent = body_.in_memory() ? WriteBufferedBody() : WriteStreamedBody();
  result_.request_sent_completely = sent && !answer_came_early_;
  if (sent && ReadAnswer()) result_.end = AttemptResult::End::kAnswered;
  result_.sent_anything = result_.lease->stream().bytes_written() > written_before_;
  if (result_.end != AttemptResult::End::kAnswered) result_.lease.reset();
  return std::move(result_);
}

IoLimits UpstreamAttempt::UploadLimits() const {
  IoLimits limits{action_.progress_timeout, deadline_};
  // No events: a caller that shuts down only its sending side does not end a write.
  limits.watched_fd = caller_.fd;
  limits.stop_when_readable = true;
  return limits;
}

IoLimits UpstreamAttempt::AnswerLimits() const {
  IoLimits limits{action_.progress_timeout, deadline_};
  limits.watched_fd = caller_.fd;
  limits.watched_events = POLLRDHUP;
  return limits;
}

IoLimits UpstreamAttempt::CallerBodyLimits() const {
  IoLimits limits{caller_.body_progress, deadline_};
  limits.watched_fd = result_.lease->stream().fd();
  limits.watched_events = POLLIN;
  return limits;
}

std::string UpstreamAttempt::RequestHeadText() const {
  const auto left = deadline_ ? std::optional(*deadline_ - SteadyClock().Now()) : std::nullopt;
  return UpstreamRequestHead(request_, action_, left);
}

bool UpstreamAttempt::WriteBufferedBody() {
  const std::string head = RequestHeadText();
  const std::string& content = body_.content();
  if (!body_.chunked()) return WriteUpstream({head, content}, "failed while writing the request");
  if (content.empty()) return WriteUpstream({head, kLastChunk}, "failed while writing the request");
  const std::string opening = head + ChunkSizeLine(content.size()).text();
  const std::string closing = std::string(kLineEnd) + std::string(kLastChunk);
  return WriteUpstream({opening, content, closing}, "failed while writing the request");
}

bool UpstreamAttempt::WriteStreamedBody() {
  if (!WriteUpstream({RequestHeadText()}, "failed while writing the request")) return false;
  while (!answer_came_early_) {
    const BodyStep step = body_.Next(CallerBodyLimits());
    if (step.status == BodyStatus::kPiece) {
      if (!WritePiece(step.piece)) return false;
    } else if (step.status == BodyStatus::kEnd) {
      return !body_.chunked() || WriteUpstream({kLastChunk}, "failed while writing the body");
    } else if (step.io == IoStatus::kWatched) {
      ReadEarlyBytes();
    } else {
      return FailCaller(step);
    }
  }
  return true;
}

bool UpstreamAttempt::WritePiece(std::string_view piece) {
  if (!body_.chunked()) return WriteUpstream({piece}, "failed while writing the body");
  const ChunkSizeLine size(piece.size());
  return WriteUpstream({size.view(), piece, kLineEnd}, "failed while writing the body");
}

bool UpstreamAttempt::WriteUpstream(std::initializer_list<std::string_view> pieces,
                                    std::string_view cause) {
  SocketStream& stream = result_.lease->stream();
  const std::uint64_t before = stream.bytes_written();
  IoStatus status = stream.Write(pieces, UploadLimits());
  std::string joined;
  while (status == IoStatus::kReadable) {
    ReadEarlyBytes();
    if (answer_came_early_) return true;
    if (joined.empty()) {
      for (const auto& piece : pieces) joined.append(piece);
    }
    const std::string_view rest = std::string_view(joined).substr(stream.bytes_written() - before);
    status = stream.Write({rest}, UploadLimits());
  }
  const bool wrote = stream.bytes_written() > written_before_;
  if (status == IoStatus::kReset && wrote) {
    // A back end that refuses an upload may have sent its response before it closed.
    answer_came_early_ = true;
    return true;
  }
  return status == IoStatus::kOk || Fail(status, cause);
}

void UpstreamAttempt::ReadEarlyBytes() {
  SocketStream& stream = result_.lease->stream();
  const IoStatus status = stream.full() ? IoStatus::kOk : stream.Fill(AnswerLimits());
  const std::string_view bytes = stream.buffered();
  constexpr std::string_view kInterimStart = "HTTP/1.1 1";
  const bool interim = status == IoStatus::kOk && !stream.full() &&
                       bytes.substr(0, kInterimStart.size()) == kInterimStart;
  if (!interim) {
    answer_came_early_ = true;
    return;
  }
  if (ParseAnswer() && !stream.buffered().empty()) answer_came_early_ = true;
}

bool UpstreamAttempt::ReadAnswer() {
  SocketStream& stream = result_.lease->stream();
  for (int interim = 0; interim <= kMaxInterimResponses;) {
    if (!ParseAnswer()) {
      if (bad_answer_) return false;
      if (stream.full()) return BadAnswer("response head too large");
      const IoStatus status = stream.Fill(AnswerLimits());
      if (status != IoStatus::kOk) return Fail(status, "failed while waiting for the response");
      continue;
    }
    if (result_.head.status == 101) return BadAnswer("unsolicited 101 Switching Protocols");
    if (result_.head.status >= 200) return true;
    ++interim;
  }
  return BadAnswer("too many interim responses");
}

bool UpstreamAttempt::ParseAnswer() {
  SocketStream& stream = result_.lease->stream();
  NextResponseHead next = ParseNextResponseHead(stream.buffered(), request_.is_head);
  if (next.status == HeadStatus::kMalformed) return BadAnswer(std::move(next.fault));
  if (next.status == HeadStatus::kIncomplete) return false;
  result_.head = std::move(next.head);
  result_.framing = next.framing;
  stream.Consume(next.size);
  return true;
}

bool UpstreamAttempt::BadAnswer(std::string cause) {
  bad_answer_ = true;
  result_.failure = AttemptFailure::kLostAfterWrite;
  result_.cause = std::move(cause);
  return false;
}

bool UpstreamAttempt::Fail(IoStatus status, std::string_view cause) {
  const bool wrote = result_.lease->stream().bytes_written() > written_before_;
  if (status == IoStatus::kWatched) {
    result_.failure = AttemptFailure::kCallerGone;
  } else if (!wrote) {
    result_.failure = AttemptFailure::kNothingWritten;
  } else if (status == IoStatus::kTimeout) {
    result_.failure = AttemptFailure::kTimeoutAfterWrite;
  } else if (status == IoStatus::kDeadline) {
    result_.failure = AttemptFailure::kDeadlineAfterWrite;
  } else {
    result_.failure = AttemptFailure::kLostAfterWrite;
  }
  result_.cause = std::string(cause);
  return false;
}

bool UpstreamAttempt::FailCaller(const BodyStep& step) {
  if (step.status == BodyStatus::kFailed && step.io == IoStatus::kDeadline) {
    return Fail(IoStatus::kDeadline, "deadline passed while waiting for the caller's body");
  }
  if (step.status == BodyStatus::kFailed && step.io != IoStatus::kTimeout) {
    return Fail(IoStatus::kWatched, "caller disconnected while sending its body");
  }
  result_.end = AttemptResult::End::kCallerFault;
  result_.cause =
      step.status == BodyStatus::kMalformed ? "malformed chunk" : "the body came too slowly";
  return false;
}

}  // namespace copperlead
