// The state of one request in the router: its current attempt, and whether its outcome is unknown.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "routing/deadline.h"
#include "routing/request_router.h"
#include "routing/retry_policy.h"
#include "routing/router_core.h"

namespace copperlead {

// Applies the policies to one request; RouterCore holds the shared state. Used by one thread.
class RoutedSession : public RequestSession {
 public:
  RoutedSession(std::shared_ptr<RouterCore> core, RequestFacts facts);
  ~RoutedSession() override;
  RoutedSession(const RoutedSession&) = delete;
  RoutedSession& operator=(const RoutedSession&) = delete;

  RequestAction Start(Timestamp now) override;
  RequestAction OnFailure(Timestamp now, AttemptFailure failure) override;
  RequestAction OnAnswer(Timestamp now, const AnswerHead& head) override;
  void OnFinished(Timestamp now, bool whole) override;

 private:
  // @return the refusal of the request before any attempt; nothing when it may be sent.
  std::optional<AnswerError> FindRoute(Timestamp now);
  // @return true when the same attempt may be sent again on a new connection.
  bool MayReconnect(Timestamp now) const;
  RetryFacts FactsForRetry() const;
  // Chooses the back end of the next attempt. @return false when there is none.
  bool ChooseEndpoint(Timestamp now, bool allow_tried);
  SendAttempt MakeAttempt(Timestamp now) const;
  // Sends the request again, or returns the decision's answer.
  RequestAction RetryOrAnswer(Timestamp now, AttemptResult result, const RetryDecision& decision,
                              const AnswerHead* head);
  RequestAction GiveUp(const RetryDecision& decision, std::string cause, const AnswerHead* head);
  AnswerError Refuse(ErrorKind kind, std::string cause);
  AnswerError AnswerAndRelease(AnswerError answer);
  // Releases all limits and slots that are held. May be called repeatedly.
  void ReleaseAll();

  const std::shared_ptr<RouterCore> core_;
  const RequestFacts facts_;
  std::string path_;  // Normalized path.
  RouterViewPointer view_;
  const RouteView* route_ = nullptr;
  Deadline deadline_;
  std::optional<ChosenEndpoint> chosen_;  // Holds an in-flight slot.
  ChoiceFacts choice_;
  bool holds_limits_ = false;
  bool repeatable_ = false;
  std::optional<ErrorKind> unknown_kind_;  // Same as in RetryFacts.
  bool reconnected_ = false;
  bool idle_connection_allowed_ = false;
  std::uint32_t attempts_ = 0;
};

}  // namespace copperlead
