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
// Of all bodies held whole at once; beyond it, bodies are streamed and cannot be sent again.
constexpr std::uint64_t kMaxBufferedBytes = 16ULL * 1024 * 1024;

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

ConnectionEnd RequestExchange::Refuse(ProxyContext& context, SocketStream& caller,
                                      const RequestFault& fault) {
  ++context.answered;
  OwnAnswer answer;
  answer.kind = fault.kind;
  answer.cause = fault.cause;
  answer.close = true;
  const IoLimits limits{context.settings.idle_timeout, std::nullopt};
  const IoStatus status = caller.Write({OwnAnswerMessage(answer)}, limits);
  return status == IoStatus::kOk ? ConnectionEnd::kClose : ConnectionEnd::kBroken;
}

ConnectionEnd RequestExchange::Run(const RequestHead& head) {
  const Timestamp start = Now();
  RequestFault fault;
  const auto new_id = [this] { return context_.NewRequestId(); };
  if (!ReadCallerRequest(head, context_.decider, new_id, request_, fault)) {
    return Refuse(context_, caller_, fault);
  }
  body_.emplace(caller_, request_);
  if (const auto end = HoldSmallBody()) return *end;
  request_.facts.body_can_be_resent = body_->held();
  if (request_.facts.time_left) {
    const auto spent = Now() - start;
    request_.facts.time_left = std::max(*request_.facts.time_left - spent, Duration::zero());
  }
  session_ = context_.decider.begin(request_.facts);
  return Decide();
}

std::optional<ConnectionEnd> RequestExchange::HoldSmallBody() {
  const bool small = request_.framing.kind == BodyKind::kLength &&
                     request_.framing.length <= context_.settings.buffer_limit;
  if (!small || !ReserveBuffer(request_.framing.length)) return std::nullopt;
  const Duration limit = context_.settings.header_timeout;
  const BodyStep step = body_->ReadWhole({limit, Now() + limit});
  if (step.status == BodyStatus::kEnd) return std::nullopt;
  const bool too_slow = step.io == IoStatus::kTimeout || step.io == IoStatus::kDeadline;
  if (!too_slow) return ConnectionEnd::kBroken;
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

ConnectionEnd RequestExchange::Decide() {
  RequestAction action = session_->Start(Now());
  for (;;) {
    if (const auto* const error = std::get_if<AnswerError>(&action)) {
      return AnswerOwn({error->kind, error->cause, error->retry_after_seconds});
    }
    if (std::holds_alternative<RelayAnswer>(action)) return Relay();
    const SendAttempt attempt = std::get<SendAttempt>(action);
    if (!body_->can_be_sent()) {
      return AnswerOwn({ErrorKind::kConnectionLost, "a part of the body was sent before"});
    }
    if (const auto end = RunAttempt(attempt, action)) return *end;
  }
}

std::optional<ConnectionEnd> RequestExchange::RunAttempt(const SendAttempt& action,
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
    OwnAnswer answer{ErrorKind::kBadRequest, attempt_.cause};
    if (attempt_.sent_anything) answer.outcome = RequestOutcome::kUnknown;
    return AnswerOwn(std::move(answer));
  }
  next = session_->OnFailure(Now(), attempt_.failure);
  if (attempt_.failure == AttemptFailure::kCallerGone) return ConnectionEnd::kBroken;
  return std::nullopt;
}

void RequestExchange::RecycleConnection() {
  if (!attempt_.lease) return;
  SocketStream& stream = attempt_.lease->stream();
  const std::uint64_t rest = attempt_.framing.length;
  const bool readable_whole =
      attempt_.framing.kind == BodyKind::kNone ||
      (attempt_.framing.kind == BodyKind::kLength && rest <= stream.buffered().size());
  if (readable_whole && ConnectionIsReusable()) {
    stream.Consume(static_cast<std::size_t>(rest));
    attempt_.lease->GiveBack(address_);
  }
  attempt_.lease.reset();
}

bool RequestExchange::ConnectionIsReusable() const {
  return keep_connection_ && attempt_.request_sent_whole && attempt_.head.minor_version > 0 &&
         attempt_.framing.kind != BodyKind::kUntilClose &&
         !ListHolds(attempt_.head.fields, "Connection", "close");
}

ConnectionEnd RequestExchange::Relay() {
  if (!attempt_.lease) return AnswerOwn({ErrorKind::kInternal, "no answer to pass on"});
  const BodyKind kind = attempt_.framing.kind;
  const bool unknown_length = kind == BodyKind::kChunked || kind == BodyKind::kUntilClose;
  const bool chunk = unknown_length && request_.accepts_chunked;
  const bool until_close = unknown_length && !chunk;
  const bool close = MustClose() || until_close;
  BodyReader reader(attempt_.lease->stream(), attempt_.framing);
  const BodyStatus status =
      RelayBody(reader, RelayedResponseHead(attempt_.head, {chunk, close}), chunk);
  if (status == BodyStatus::kEnd) return FinishRelay(true, close);
  // Without a length or chunks, only a reset tells the caller that the answer is not whole.
  if (until_close) caller_.ResetOnClose();
  return FinishRelay(false, true);
}

BodyStatus RequestExchange::RelayBody(BodyReader& reader, std::string head, bool chunk) {
  const IoLimits write_limits = CallerWriteLimits();
  for (;;) {
    IoLimits read_limits = AnswerReadLimits();
    // The head goes out together with what has come of the body, but does not wait for it.
    if (!head.empty()) read_limits.progress = Duration::zero();
    const BodyStep step = reader.Next(read_limits);
    const bool usable = step.status == BodyStatus::kPiece || step.status == BodyStatus::kEnd;
    const bool head_alone = !usable && !head.empty();
    if (!usable && !head_alone) return step.status;
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
    head.clear();
  }
}

ConnectionEnd RequestExchange::FinishRelay(bool whole, bool close) {
  if (whole && ConnectionIsReusable()) attempt_.lease->GiveBack(address_);
  attempt_.lease.reset();
  session_->OnFinished(Now(), whole);
  if (!whole) {
    LogError(LogLevel::kInfo, ErrorKind::kConnectionLost, ToString(address_), "answer cut");
    return ConnectionEnd::kBroken;
  }
  ++context_.answered;
  return close ? ConnectionEnd::kClose : ConnectionEnd::kKeep;
}

ConnectionEnd RequestExchange::AnswerOwn(OwnAnswer answer) {
  attempt_.lease.reset();
  ++context_.answered;
  answer.is_head = request_.is_head;
  answer.close = MustClose();
  const IoStatus status = caller_.Write({OwnAnswerMessage(answer)}, CallerWriteLimits());
  if (status != IoStatus::kOk) return ConnectionEnd::kBroken;
  return answer.close ? ConnectionEnd::kClose : ConnectionEnd::kKeep;
}

bool RequestExchange::MustClose() const {
  return !request_.keep_alive || context_.draining || !body_->taken();
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
