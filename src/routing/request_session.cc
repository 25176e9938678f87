#include "routing/request_session.h"

#include <algorithm>
#include <utility>

#include "routing/site_split.h"

namespace copperlead {
namespace {

AttemptEnd EndOf(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kConnectFailed:
      return AttemptEnd::kConnectFailed;
    case AttemptFailure::kNothingWritten:
      return AttemptEnd::kNothingWritten;
    case AttemptFailure::kLostAfterWrite:
      return AttemptEnd::kLostAfterWrite;
    case AttemptFailure::kTimeoutAfterWrite:
      return AttemptEnd::kTimeoutAfterWrite;
    case AttemptFailure::kDeadlineAfterWrite:
      return AttemptEnd::kDeadlineAfterWrite;
    case AttemptFailure::kCallerGone:
      return AttemptEnd::kCallerGone;
  }
  return AttemptEnd::kLostAfterWrite;
}

AttemptEnd EndOf(const AnswerHead& head) {
  if (!head.says_not_run) return AttemptEnd::kAnswered;
  const bool passing = head.status >= 500 || head.status == 429;
  return passing ? AttemptEnd::kRefused : AttemptEnd::kAnsweredNotRun;
}

std::string CauseOf(AttemptEnd end, const std::string& back_end) {
  switch (end) {
    case AttemptEnd::kConnectFailed:
      return back_end + " took no connection";
    case AttemptEnd::kNothingWritten:
      return back_end + " closed the connection before the request was written";
    case AttemptEnd::kLostAfterWrite:
      return "the connection to " + back_end + " failed after the request was sent";
    case AttemptEnd::kTimeoutAfterWrite:
      return back_end + " made no progress within the route's timeout";
    case AttemptEnd::kDeadlineAfterWrite:
      return "the caller's deadline passed while " + back_end + " had the request";
    case AttemptEnd::kCallerGone:
      return "the caller left";
    case AttemptEnd::kRefused:
    case AttemptEnd::kAnsweredNotRun:
      return back_end + " said that it did not run the request";
    case AttemptEnd::kAnswered:
      break;
  }
  return back_end + " answered";
}

bool IsNotRun(ErrorKind kind) { return AnswerFor(kind).outcome == RequestOutcome::kNotRun; }

}  // namespace

RoutedSession::RoutedSession(std::shared_ptr<RouterCore> core, RequestFacts facts)
    : core_(std::move(core)), facts_(std::move(facts)) {}

RoutedSession::~RoutedSession() { ReleaseAll(); }

RequestAction RoutedSession::Start(Timestamp now) {
  deadline_ = Deadline(now, facts_.time_left);
  if (auto refusal = FindRoute(now)) return *std::move(refusal);
  if (const auto kind = core_->Acquire(now, *route_)) {
    return Refuse(*kind, "this node's part of the limit of " + route_->row->route + " is used up");
  }
  holds_limits_ = true;
  repeatable_ = IsRepeatable(route_->row->repeatable, facts_.method);
  choice_.route = route_;
  choice_.split_share = SplitShare(facts_.request_id);
  if (!ChooseEndpoint(now, false)) {
    return Refuse(ErrorKind::kNoEndpoint, "no back end of " + route_->row->service + " is free");
  }
  attempts_ = 1;
  idle_connection_allowed_ = repeatable_ && !chosen_->probe;
  return MakeAttempt(now);
}

std::optional<AnswerError> RoutedSession::FindRoute(Timestamp now) {
  Admission admission = core_->Admit(now);
  if (admission.draining) return Refuse(ErrorKind::kDraining, "this node is stopping");
  if (!admission.view) return Refuse(ErrorKind::kNotReady, "this node has no table yet");
  view_ = std::move(admission.view);
  if (!NormalizePath(facts_.path, path_)) {
    return Refuse(ErrorKind::kBadRequest, "the path is malformed or leaves its root");
  }
  route_ = view_->Match(path_);
  if (route_ == nullptr) return Refuse(ErrorKind::kNoRoute, "no route matches the path");
  if (route_->service == nullptr) {
    return Refuse(ErrorKind::kNoEndpoint, "service " + route_->row->service + " is not known");
  }
  if (deadline_.Over(now)) {
    return Refuse(ErrorKind::kDeadlineBeforeSend, "the caller's deadline has passed");
  }
  return std::nullopt;
}

RequestAction RoutedSession::OnFailure(Timestamp now, AttemptFailure failure) {
  if (!chosen_) return Refuse(ErrorKind::kInternal, "an attempt failed that was not made");
  const AttemptEnd end = EndOf(failure);
  // A kept connection that its back end had closed: nobody has seen the request, so sending it
  // there anew is no retry. Once, or a back end that resets each connection would be asked for
  // ever.
  if (end == AttemptEnd::kNothingWritten && MayReconnect(now)) {
    reconnected_ = true;
    idle_connection_allowed_ = false;
    return MakeAttempt(now);
  }
  const RetryVerdict verdict = core_->policy().Judge(end, FactsForRetry());
  core_->EndAttempt(now, *chosen_, end, nullptr);
  return RetryOrAnswer(now, end, verdict, nullptr);
}

bool RoutedSession::MayReconnect(Timestamp now) const {
  return !reconnected_ && !deadline_.Over(now) && core_->MayStillUse(now, *chosen_);
}

RequestAction RoutedSession::OnAnswer(Timestamp now, const AnswerHead& head) {
  if (!chosen_) return Refuse(ErrorKind::kInternal, "an answer came to an attempt not made");
  const AttemptEnd end = EndOf(head);
  const RetryVerdict verdict = core_->policy().Judge(end, FactsForRetry());
  core_->EndAttempt(now, *chosen_, end, &head);
  if (verdict.step == RetryStep::kRelay) return RelayAnswer{};
  return RetryOrAnswer(now, end, verdict, &head);
}

void RoutedSession::OnFinished(Timestamp /*now*/, bool /*whole*/) { ReleaseAll(); }

RetryFacts RoutedSession::FactsForRetry() const {
  const std::uint32_t allowed = route_->row->max_retries;
  RetryFacts facts;
  facts.repeatable = repeatable_;
  facts.body_can_be_resent = facts_.body_can_be_resent;
  facts.already_retried = facts_.already_retried;
  facts.doubt = doubt_;
  facts.retries_left = allowed - std::min(allowed, attempts_ - 1);
  return facts;
}

bool RoutedSession::ChooseEndpoint(Timestamp now, bool may_return) {
  choice_.may_return = may_return;
  chosen_ = core_->Choose(now, *view_, choice_);
  if (!chosen_) return false;
  choice_.tried.push_back(chosen_->slot.state.get());
  return true;
}

SendAttempt RoutedSession::MakeAttempt(Timestamp now) const {
  SendAttempt attempt;
  attempt.endpoint = *chosen_->slot.endpoint;
  attempt.progress_timeout = Milliseconds(route_->row->timeout_ms);
  attempt.time_left = deadline_.Left(now);
  // Below a node that has retried, this one's first attempt still tells nodes further down so.
  attempt.attempt = facts_.already_retried ? attempts_ + 1 : attempts_;
  attempt.allow_idle_connection = idle_connection_allowed_;
  attempt.secret = route_->secret;
  attempt.path = &path_;
  attempt.keep_connection = chosen_->keep_connection;
  return attempt;
}

RequestAction RoutedSession::RetryOrAnswer(Timestamp now, AttemptEnd end,
                                           const RetryVerdict& verdict, const AnswerHead* head) {
  const ChosenEndpoint ended = *std::exchange(chosen_, std::nullopt);
  if (head != nullptr) core_->FreeSlot(ended);
  if (verdict.outcome_unknown && !doubt_) doubt_ = verdict.kind;
  std::string cause = CauseOf(end, ended.slot.endpoint->id);
  if (verdict.step != RetryStep::kRetry) return GiveUp(verdict, std::move(cause), head);
  if (deadline_.Over(now)) {
    RetryVerdict over = verdict;
    over.kind = doubt_ ? ErrorKind::kDeadlineAfterSend : ErrorKind::kDeadlineBeforeSend;
    return GiveUp(over, cause + "; the caller's deadline has passed", nullptr);
  }
  // A back end that refuses or takes no connection is not asked again by the same request.
  const bool may_return = end != AttemptEnd::kConnectFailed && end != AttemptEnd::kRefused;
  if (!ChooseEndpoint(now, may_return)) return GiveUp(verdict, std::move(cause), head);
  if (!core_->TakeRetry(now)) {
    core_->FreeSlot(*std::exchange(chosen_, std::nullopt));
    return GiveUp(verdict, std::move(cause), head);
  }
  ++attempts_;
  idle_connection_allowed_ = false;
  return MakeAttempt(now);
}

RequestAction RoutedSession::GiveUp(const RetryVerdict& verdict, std::string cause,
                                    const AnswerHead* head) {
  AnswerError answer;
  answer.kind = verdict.kind;
  answer.cause = std::move(cause);
  if (head != nullptr && head->retry_after_seconds && IsNotRun(verdict.kind)) {
    answer.retry_after_seconds = std::max(1U, *head->retry_after_seconds);
  }
  return AnswerAndRelease(std::move(answer));
}

AnswerError RoutedSession::Refuse(ErrorKind kind, std::string cause) {
  return AnswerAndRelease(AnswerError{kind, std::move(cause), std::nullopt});
}

AnswerError RoutedSession::AnswerAndRelease(AnswerError answer) {
  core_->CountRefusal(answer.kind);
  ReleaseAll();
  return answer;
}

void RoutedSession::ReleaseAll() {
  if (chosen_) core_->FreeSlot(*std::exchange(chosen_, std::nullopt));
  if (std::exchange(holds_limits_, false)) core_->Release(*route_);
}

}  // namespace copperlead
