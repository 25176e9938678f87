// One request on its way through the router: which attempt it is at, and what may still be said.
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

// Composes the policies for one request; the shared state is the core's. Used by one thread.
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
  // @return why the request is refused before any attempt; nothing when it may be sent.
  std::optional<AnswerError> FindRoute(Timestamp now);
  // @return true when the same attempt may be sent once more on a new connection.
  bool MayReconnect(Timestamp now) const;
  RetryFacts FactsForRetry() const;
  // Takes a back end for the next attempt. @return false when there is none.
  bool ChooseEndpoint(Timestamp now, bool may_return);
  SendAttempt MakeAttempt(Timestamp now) const;
  // Sends the request again, or gives the verdict's answer.
  RequestAction RetryOrAnswer(Timestamp now, AttemptEnd end, const RetryVerdict& verdict,
                              const AnswerHead* head);
  RequestAction GiveUp(const RetryVerdict& verdict, std::string cause, const AnswerHead* head);
  AnswerError Refuse(ErrorKind kind, std::string cause);
  AnswerError AnswerAndRelease(AnswerError answer);
  // Gives back whatever is held. Repeatable.
  void ReleaseAll();

  const std::shared_ptr<RouterCore> core_;
  const RequestFacts facts_;
  std::string path_;  // Normalized.
  RouterViewPointer view_;
  const RouteView* route_ = nullptr;
  Deadline deadline_;
  std::optional<ChosenEndpoint> chosen_;  // Holds an in-flight slot.
  ChoiceFacts choice_;
  bool holds_limits_ = false;
  bool repeatable_ = false;
  std::optional<ErrorKind> doubt_;  // See RetryFacts.
  bool reconnected_ = false;
  bool idle_connection_allowed_ = false;
  std::uint32_t attempts_ = 0;
};

}  // namespace copperlead
