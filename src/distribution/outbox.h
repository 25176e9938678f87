// Collects the actions of one step. Messages get the sender's summary when the step ends, so that
// the summary describes the state after the step.
#pragma once

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "distribution/event.h"

namespace copperlead {

class Outbox {
 public:
  void Send(const SocketAddress& to, MessageBody body);
  void Send(std::vector<OutgoingMessage> messages);
  // @tparam Typed one of the alternatives of Action.
  template <class Typed>
  void Add(Typed action) {
    actions_.emplace_back(std::in_place_type<Typed>, std::move(action));
  }

  // Adds a Report unless an identical one is among the last kMaxRememberedReports.
  void ReportOnce(ErrorKind kind, const std::string& place, const std::string& text);

  // True when a message still lacks its summary.
  bool has_messages() const { return !messages_.empty(); }
  // Ends the step: sets the summary of the messages and returns all actions in order.
  std::vector<Action> Take(const NodeSummary& summary);
  std::vector<Action> Take();

 private:
  std::vector<Action> actions_;
  std::vector<std::shared_ptr<Message>> messages_;  // Messages in actions_ without summary.
  std::deque<std::string> reported_;                // Oldest first.
  std::set<std::string> reported_index_;
};

inline constexpr std::size_t kMaxRememberedReports = 256;

}  // namespace copperlead
