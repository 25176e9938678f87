#include "distribution/outbox.h"

namespace copperlead {

void Outbox::Send(const SocketAddress& to, MessageBody body) {
  auto message = std::make_shared<Message>();
  message->body = std::move(body);
  actions_.emplace_back(SendMessage{to, message});
  messages_.push_back(std::move(message));
}

void Outbox::Send(std::vector<OutgoingMessage> messages) {
  for (OutgoingMessage& message : messages) Send(message.to, std::move(message.body));
}

void Outbox::ReportOnce(ErrorKind kind, const std::string& place, const std::string& text) {
  std::string key(Name(kind));
  key += '\n' + place + '\n' + text;
  if (!reported_index_.insert(key).second) return;
  reported_.push_back(std::move(key));
  if (reported_.size() > kMaxRememberedReports) {
    reported_index_.erase(reported_.front());
    reported_.pop_front();
  }
  actions_.emplace_back(Report{kind, place, text});
}

std::vector<Action> Outbox::Take(const NodeSummary& summary) {
  for (const std::shared_ptr<Message>& message : messages_) message->sender = summary;
  return Take();
}

std::vector<Action> Outbox::Take() {
  messages_.clear();
  return std::exchange(actions_, {});
}

}  // namespace copperlead
