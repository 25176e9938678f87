#include "tests/proxy/scripted_decider.h"

#include <algorithm>
#include <utility>

namespace copperlead {
namespace {

ErrorKind KindOf(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kConnectFailed:
    case AttemptFailure::kNothingWritten:
      return ErrorKind::kConnectFailed;
    case AttemptFailure::kTimeoutAfterWrite:
      return ErrorKind::kResponseTimeout;
    case AttemptFailure::kDeadlineAfterWrite:
      return ErrorKind::kDeadlineAfterSend;
    case AttemptFailure::kCallerGone:
      return ErrorKind::kCallerGone;
    case AttemptFailure::kLostAfterWrite:
      break;
  }
  return ErrorKind::kConnectionLost;
}

class ScriptedSession : public RequestSession {
 public:
  ScriptedSession(const DeciderScript& script, std::shared_ptr<DeciderRecord> record,
                  const RequestFacts& facts)
      : script_(script), record_(std::move(record)), facts_(facts) {
    record_->SetFacts(facts);
    record_->Add("begin");
  }
  ~ScriptedSession() override { record_->Add("released"); }

  RequestAction Start(Timestamp /*now*/) override { return Send(); }

  RequestAction OnFailure(Timestamp /*now*/, AttemptFailure failure) override {
    record_->Add("failed:" + std::to_string(static_cast<int>(failure)));
    const bool not_run = KindOf(failure) == ErrorKind::kConnectFailed;
    const bool lost_lookup = failure == AttemptFailure::kLostAfterWrite && facts_.method == "GET";
    if (attempt_ < script_.max_attempts && (not_run || lost_lookup)) return Send();
    return AnswerError{KindOf(failure), "scripted", std::nullopt};
  }

  RequestAction OnAnswer(Timestamp /*now*/, const AnswerHead& head) override {
    record_->Add("answer:" + std::to_string(head.status));
    if (head.says_not_run && attempt_ < script_.max_attempts) return Send();
    return RelayAnswer{};
  }

  void OnFinished(Timestamp /*now*/, bool whole) override {
    record_->Add(whole ? "finished:whole" : "finished:cut");
  }

 private:
  RequestAction Send() {
    SendAttempt send;
    const std::size_t index = std::min<std::size_t>(attempt_, script_.backends.size() - 1);
    send.endpoint.address = script_.backends[index];
    send.progress_timeout = script_.progress_timeout;
    send.time_left = facts_.time_left;
    send.attempt = ++attempt_;
    send.allow_idle_connection = script_.allow_idle;
    if (!script_.secret.empty()) send.secret = &script_.secret;
    return send;
  }

  const DeciderScript script_;
  const std::shared_ptr<DeciderRecord> record_;
  const RequestFacts facts_;
  std::uint32_t attempt_ = 0;
};

bool NormalizeForTest(std::string_view path, std::string& normalized) {
  if (path.find("..") != std::string_view::npos) return false;
  normalized.clear();
  for (const char c : path) {
    if (c != '/' || normalized.empty() || normalized.back() != '/') normalized += c;
  }
  return true;
}

}  // namespace

void DeciderRecord::Add(std::string event) {
  const std::lock_guard lock(mutex_);
  events_.push_back(std::move(event));
}

std::vector<std::string> DeciderRecord::events() const {
  const std::lock_guard lock(mutex_);
  return events_;
}

bool DeciderRecord::Contains(const std::string& event) const {
  const auto all = events();
  return std::find(all.begin(), all.end(), event) != all.end();
}

RequestFacts DeciderRecord::last_facts() const {
  const std::lock_guard lock(mutex_);
  return facts_;
}

void DeciderRecord::SetFacts(const RequestFacts& facts) {
  const std::lock_guard lock(mutex_);
  facts_ = facts;
}

RequestDecider MakeScriptedDecider(DeciderScript script, std::shared_ptr<DeciderRecord> record) {
  RequestDecider decider;
  decider.begin = [script = std::move(script), record](const RequestFacts& facts) {
    return std::make_unique<ScriptedSession>(script, record, facts);
  };
  decider.normalize_path = NormalizeForTest;
  return decider;
}

}  // namespace copperlead
