#include "proxy/request_exchange.h"

#include <poll.h>

#include <algorithm>
#include <random>
#include <utility>
#include <variant>

#include "base/logging.h"
#include "proxy/chunk_size_line.h"

namespace copperlead {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";
// Limit for all bodies held in memory at the same time. Further bodies are streamed and cannot be
// sent again.
constexpr std::uint64_t kMaxBufferedBytes = 16ULL * 1024 * 1024;
constexpr int kFirstStatusBeyondSuccess = 300;

Timestamp Now() { return SteadyClock().Now(); }

std::uint64_t RandomNumber() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

std::string ToHexadecimal(std::uint64_t number) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(16, '0');
  for (auto digit = text.rbegin(); digit != text.rend(); ++digit, number >>= 4) {
    *digit = kDigits[number & 0xf];
  }
  return text;
}

}  // namespace

ProxyContext::ProxyContext(const ProxySettings& proxy_settings, RequestDecider request_decider)
    : settings(proxy_settings),
      decider(std::move(request_decider)),
      pool(proxy_settings.connect_timeout),
      id_prefix_(RandomNumber()) {}

std::string ProxyContext::NewRequestId() {
  return ToHexadecimal(id_prefix_) + "-" + std::to_string(next_id_.fetch_add(1));
}

RequestExchange::RequestExchange(ProxyContext& context, SocketStream& caller)
    : context_(context), caller_(caller) {}

RequestExchange::~RequestExchange() { context_.buffered_bytes -= reserved_bytes_; }

ConnectionDisposition RequestExchange::Refuse(ProxyContext& context, SocketStream& caller,
                                              const RequestFault& fault) {
  ++context.answered;
  LocalResponse answer;
  answer.kind = fault.kind;
  answer.cause = fault.cause;
  answer.close = true;
  const IoLimits limits{context.settings.idle_timeout, std::nullopt};
  const IoStatus status = caller.Write({LocalResponseMessage(answer)}, limits);
  return status == IoStatus::kOk ? ConnectionDisposition::kClose : ConnectionDisposition::kBroken;
}

ConnectionDisposition RequestExchange::Run(const RequestHead& head) {
  const Timestamp start = Now();
  RequestFault fault;
  const auto new_id = [this] { return context_.NewRequestId(); };
  if (!ReadCallerRequest(head, context_.decider, new_id, request_, fault)) {
    return Refuse(context_, caller_, fault);
  }
  body_.emplace(caller_, request_);
  if (const auto end = BufferSmallBody()) return *end;
  request_.facts.body_can_be_resent = body_->in_memory();
  if (request_.facts.time_left) {
    const auto spent = Now() - start;
    request_.facts.time_left = std::max(*request_.facts.time_left - spent, Duration::zero());
  }
  session_ = context_.decider.begin(request_.facts);
  return Decide();
}

std::optional<ConnectionDisposition> RequestExchange::BufferSmallBody() {
  const bool small = request_.framing.kind == BodyKind::kLength &&
                     request_.framing.length <= context_.settings.buffer_limit;
  if (!small || !ReserveBuffer(request_.framing.length)) return std::nullopt;
  const Duration limit = context_.settings.header_timeout;
  const BodyStep step = body_->ReadAll({limit, Now() + limit});
  if (step.status == BodyStatus::kEnd) return std::nullopt;
  const bool too_slow = step.io == IoStatus::kTimeout || step.io == IoStatus::kDeadline;
  if (!too_slow) return ConnectionDisposition::kBroken;
  return Refuse(context_, caller_, {ErrorKind::kBadRequest, "the body came too slowly"});
}

bool RequestExchange::ReserveBuffer(std::uint64_t bytes) {
  if (context_.buffered_bytes.fetch_add(bytes) + bytes > kMaxBufferedBytes) {
    context_.buffered_bytes -= bytes;
    return false;
  }
  reserved_bytes_ += bytes;
  return true;
}

ConnectionDisposition RequestExchange::Decide() {
  RequestAction action = session_->Start(Now());
  for (;;) {
    if (const auto* const error = std::get_if<AnswerError>(&action)) {
      return SendLocalResponse({error->kind, error->cause, error->retry_after_seconds});
    }
    if (std::holds_alternative<RelayAnswer>(action)) return Relay();
    const SendAttempt attempt = std::get<SendAttempt>(action);
    if (!body_->can_be_sent()) {
      return SendLocalResponse({ErrorKind::kConnectionLost, "a part of the body was sent before"});
    }
    if (const auto end = RunAttempt(attempt, action)) return *end;
  }
}

std::optional<ConnectionDisposition> RequestExchange::RunAttempt(const SendAttempt& action,
                                                                 RequestAction& next) {
  const Timestamp now = Now();
  RecycleConnection();
  address_ = action.endpoint.address;
  keep_connection_ = action.keep_connection;
  progress_timeout_ = action.progress_timeout;
  deadline_.reset();
  if (action.time_left) deadline_ = now + *action.time_left;
  const CallerLimits caller{caller_.fd(), context_.settings.idle_timeout};
  attempt_ = UpstreamAttempt(context_.pool, request_, *body_, action, deadline_, caller).Run();
  if (attempt_.end == AttemptResult::End::kAnswered) {
    next = session_->OnAnswer(Now(), ReadAnswerHead(attempt_.head));
    return std::nullopt;
  }
  LogError(LogLevel::kInfo, ErrorKind::kConnectionLost, ToString(address_), attempt_.cause);
  if (attempt_.end == AttemptResult::End::kCallerFault) {
    session_->OnFailure(Now(), AttemptFailure::kCallerGone);
    LocalResponse answer{ErrorKind::kBadRequest, attempt_.cause};
    if (attempt_.sent_anything) answer.outcome = RequestOutcome::kUnknown;
    return SendLocalResponse(std::move(answer));
  }
  next = session_->OnFailure(Now(), attempt_.failure);
  if (attempt_.failure == AttemptFailure::kCallerGone) return ConnectionDisposition::kBroken;
  return std::nullopt;
}

void RequestExchange::RecycleConnection() {
  if (!attempt_.lease) return;
  SocketStream& stream = attempt_.lease->stream();
  const std::uint64_t rest = attempt_.framing.length;
  const bool rest_is_buffered =
      attempt_.framing.kind == BodyKind::kNone ||
      (attempt_.framing.kind == BodyKind::kLength && rest <= stream.buffered().size());
  if (rest_is_buffered && ConnectionIsReusable()) {
    stream.Consume(static_cast<std::size_t>(rest));
    attempt_.lease->ReturnToPool(address_);
  }
  attempt_.lease.reset();
}

bool RequestExchange::ConnectionIsReusable() const {
  // A back end that refuses a request may not have read its body. A later request would wait behind
  // the rest.
  const bool has_body = request_.framing.kind == BodyKind::kChunked || request_.framing.length > 0;
  const bool may_be_unread = has_body && attempt_.head.status >= kFirstStatusBeyondSuccess;
  return keep_connection_ && !may_be_unread && attempt_.request_sent_completely &&
         attempt_.head.minor_version > 0 && attempt_.framing.kind != BodyKind::kUntilClose &&
         !ListContains(attempt_.head.fields, "Connection", "close");
}

ConnectionDisposition RequestExchange::Relay() {
  if (!attempt_.lease) return SendLocalResponse({ErrorKind::kInternal, "no answer to pass on"});
  const BodyKind kind = attempt_.framing.kind;
  const bool unknown_length = kind == BodyKind::kChunked || kind == BodyKind::kUntilClose;
  const bool chunk = unknown_length && request_.accepts_chunked;
  const bool until_close = unknown_length && !chunk;
  const bool close = MustClose() || until_close;
  BodyReader reader(attempt_.lease->stream(), attempt_.framing);
  const BodyStatus status =
      RelayBody(reader, RelayedResponseHead(attempt_.head, {chunk, close}), chunk);
  if (status == BodyStatus::kEnd) return FinishRelay(true, close);
  // Without a length or chunks, only a reset shows the caller that the response is incomplete.
  if (until_close) caller_.ResetOnClose();
  return FinishRelay(false, true);
}

BodyStatus RequestExchange::RelayBody(BodyReader& reader, std::string head, bool chunk) {
  const IoLimits write_limits = CallerWriteLimits();
  mesh::TransferLimit limit = ResponseLimit();
  for (;;) {
    if (limit.isExceeded(Now())) return BodyStatus::kFailed;
    IoLimits read_limits = AnswerReadLimits();
    // Sends the head together with the part of the body that has arrived, without waiting for more.
    if (!head.empty()) read_limits.progress = Duration::zero();
    const BodyStep step = reader.Next(read_limits);
    const bool usable = step.status == BodyStatus::kPiece || step.status == BodyStatus::kEnd;
    const bool head_alone = !usable && !head.empty();
    if (!usable && !head_alone) return step.status;
    limit.received(Now(), step.piece.size());
    limit.setPaused(Now(), true);
    IoStatus status = IoStatus::kOk;
    if (step.status == BodyStatus::kEnd) {
      status = caller_.Write({head, chunk ? kLastChunk : ""}, write_limits);
    } else if (chunk && !head_alone) {
      const ChunkSizeLine size(step.piece.size());
      const std::string opening = head + size.text();
      status = caller_.Write({opening, step.piece, kLineEnd}, write_limits);
    } else {
      status = caller_.Write({head, step.piece}, write_limits);
    }
    if (status != IoStatus::kOk) return BodyStatus::kFailed;
    if (step.status == BodyStatus::kEnd) return BodyStatus::kEnd;
    limit.setPaused(Now(), false);
    head.clear();
  }
}

mesh::TransferLimit RequestExchange::ResponseLimit() const {
  std::optional<std::size_t> length;
  if (attempt_.framing.kind == BodyKind::kLength) length = attempt_.framing.length;
  return {Now(), deadline_.value_or(Timestamp::max()), length};
}

ConnectionDisposition RequestExchange::FinishRelay(bool complete, bool close) {
  if (complete && ConnectionIsReusable()) attempt_.lease->ReturnToPool(address_);
  attempt_.lease.reset();
  session_->OnFinished(Now(), complete);
  if (!complete) {
    LogError(LogLevel::kInfo, ErrorKind::kConnectionLost, ToString(address_),
             "response incomplete");
    return ConnectionDisposition::kBroken;
  }
  ++context_.answered;
  return close ? ConnectionDisposition::kClose : ConnectionDisposition::kKeep;
}

ConnectionDisposition RequestExchange::SendLocalResponse(LocalResponse answer) {
  attempt_.lease.reset();
  ++context_.answered;
  answer.is_head = request_.is_head;
  answer.close = MustClose();
  const IoStatus status = caller_.Write({LocalResponseMessage(answer)}, CallerWriteLimits());
  if (status != IoStatus::kOk) return ConnectionDisposition::kBroken;
  return answer.close ? ConnectionDisposition::kClose : ConnectionDisposition::kKeep;
}

bool RequestExchange::MustClose() const {
  return !request_.keep_alive || context_.draining || !body_->fully_read();
}

IoLimits RequestExchange::CallerWriteLimits() const {
  return {context_.settings.idle_timeout, std::nullopt};
}

IoLimits RequestExchange::AnswerReadLimits() const {
  IoLimits limits{progress_timeout_, deadline_};
  limits.watched_fd = caller_.fd();
  limits.watched_events = POLLRDHUP;
  return limits;
}

}  // namespace copperlead
