#include "routing/request_session.h"

#include <algorithm>
#include <utility>

#include "routing/site_split.h"

namespace copperlead {
namespace {

AttemptResult ToAttemptResult(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kConnectFailed:
      return AttemptResult::kConnectFailed;
    case AttemptFailure::kNothingWritten:
      return AttemptResult::kNothingWritten;
    case AttemptFailure::kLostAfterWrite:
      return AttemptResult::kLostAfterWrite;
    case AttemptFailure::kTimeoutAfterWrite:
      return AttemptResult::kTimeoutAfterWrite;
    case AttemptFailure::kDeadlineAfterWrite:
      return AttemptResult::kDeadlineAfterWrite;
    case AttemptFailure::kCallerGone:
      return AttemptResult::kCallerGone;
  }
  return AttemptResult::kLostAfterWrite;
}

AttemptResult ToAttemptResult(const AnswerHead& head) {
  if (!head.says_not_run) return AttemptResult::kAnswered;
  const bool temporary = head.status >= 500 || head.status == 429;
  return temporary ? AttemptResult::kRefused : AttemptResult::kAnsweredNotRun;
}

std::string DescribeCause(AttemptResult result, const std::string& back_end) {
  switch (result) {
    case AttemptResult::kConnectFailed:
      return back_end + " took no connection";
    case AttemptResult::kNothingWritten:
      return back_end + " closed the connection before the request was written";
    case AttemptResult::kLostAfterWrite:
      return "the connection to " + back_end + " failed after the request was sent";
    case AttemptResult::kTimeoutAfterWrite:
      return back_end + " made no progress within the route's timeout";
    case AttemptResult::kDeadlineAfterWrite:
      return "the caller's deadline passed while " + back_end + " had the request";
    case AttemptResult::kCallerGone:
      return "the caller left";
    case AttemptResult::kRefused:
    case AttemptResult::kAnsweredNotRun:
      return back_end + " said that it did not run the request";
    case AttemptResult::kAnswered:
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
  if (deadline_.HasPassed(now)) {
    return Refuse(ErrorKind::kDeadlineBeforeSend, "the caller's deadline has passed");
  }
  return std::nullopt;
}

RequestAction RoutedSession::OnFailure(Timestamp now, AttemptFailure failure) {
  if (!chosen_) return Refuse(ErrorKind::kInternal, "an attempt failed that was not made");
  const AttemptResult result = ToAttemptResult(failure);
  // The back end had closed a kept connection and can't have seen the request, so sending it there
  // again doesn't count as a retry. This is done once: a back end that resets each connection would
  // otherwise be tried forever.
  if (result == AttemptResult::kNothingWritten && MayReconnect(now)) {
    reconnected_ = true;
    idle_connection_allowed_ = false;
    return MakeAttempt(now);
  }
  const RetryDecision decision = core_->policy().Decide(result, FactsForRetry());
  core_->EndAttempt(now, *chosen_, result, nullptr);
  return RetryOrAnswer(now, result, decision, nullptr);
}

bool RoutedSession::MayReconnect(Timestamp now) const {
  return !reconnected_ && !deadline_.HasPassed(now) && core_->IsStillUsable(now, *chosen_);
}

RequestAction RoutedSession::OnAnswer(Timestamp now, const AnswerHead& head) {
  if (!chosen_) return Refuse(ErrorKind::kInternal, "an answer came to an attempt not made");
  const AttemptResult result = ToAttemptResult(head);
  const RetryDecision decision = core_->policy().Decide(result, FactsForRetry());
  core_->EndAttempt(now, *chosen_, result, &head);
  if (decision.step == RetryStep::kRelay) return RelayAnswer{};
  return RetryOrAnswer(now, result, decision, &head);
}

void RoutedSession::OnFinished(Timestamp /*now*/, bool /*whole*/) { ReleaseAll(); }

RetryFacts RoutedSession::FactsForRetry() const {
  const std::uint32_t allowed = route_->row->max_retries;
  RetryFacts facts;
  facts.repeatable = repeatable_;
  facts.body_can_be_resent = facts_.body_can_be_resent;
  facts.already_retried = facts_.already_retried;
  facts.unknown_kind = unknown_kind_;
  facts.retries_left = allowed - std::min(allowed, attempts_ - 1);
  return facts;
}

bool RoutedSession::ChooseEndpoint(Timestamp now, bool allow_tried) {
  choice_.allow_tried = allow_tried;
  chosen_ = core_->Choose(now, *view_, choice_);
  if (!chosen_) return false;
  choice_.tried.push_back(chosen_->slot.state.get());
  return true;
}

SendAttempt RoutedSession::MakeAttempt(Timestamp now) const {
  SendAttempt attempt;
  attempt.endpoint = *chosen_->slot.endpoint;
  attempt.progress_timeout = Milliseconds(route_->row->timeout_ms);
  attempt.time_left = deadline_.TimeLeft(now);
  // After a retry upstream, the first attempt of this node already tells nodes downstream about it.
  attempt.attempt = facts_.already_retried ? attempts_ + 1 : attempts_;
  attempt.allow_idle_connection = idle_connection_allowed_;
  attempt.secret = route_->secret;
  attempt.path = &path_;
  attempt.keep_connection = chosen_->keep_connection;
  return attempt;
}

RequestAction RoutedSession::RetryOrAnswer(Timestamp now, AttemptResult result,
                                           const RetryDecision& decision, const AnswerHead* head) {
  const ChosenEndpoint ended = *std::exchange(chosen_, std::nullopt);
  if (head != nullptr) core_->FreeSlot(ended);
  if (decision.outcome_unknown && !unknown_kind_) unknown_kind_ = decision.kind;
  std::string cause = DescribeCause(result, ended.slot.endpoint->id);
  if (decision.step != RetryStep::kRetry) return GiveUp(decision, std::move(cause), head);
  if (deadline_.HasPassed(now)) {
    RetryDecision decision_after_deadline = decision;
    decision_after_deadline.kind =
        unknown_kind_ ? ErrorKind::kDeadlineAfterSend : ErrorKind::kDeadlineBeforeSend;
    return GiveUp(decision_after_deadline, cause + "; the caller's deadline has passed", nullptr);
  }
  // A request isn't sent again to a back end that refused it or did not accept a connection.
  const bool allow_tried =
      result != AttemptResult::kConnectFailed && result != AttemptResult::kRefused;
  if (!ChooseEndpoint(now, allow_tried)) return GiveUp(decision, std::move(cause), head);
  if (!core_->TrySpendRetry(now)) {
    core_->FreeSlot(*std::exchange(chosen_, std::nullopt));
    return GiveUp(decision, std::move(cause), head);
  }
  ++attempts_;
  idle_connection_allowed_ = false;
  return MakeAttempt(now);
}

RequestAction RoutedSession::GiveUp(const RetryDecision& decision, std::string cause,
                                    const AnswerHead* head) {
  AnswerError answer;
  answer.kind = decision.kind;
  answer.cause = std::move(cause);
  if (head != nullptr && head->retry_after_seconds && IsNotRun(decision.kind)) {
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
