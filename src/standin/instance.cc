#include "standin/instance.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <string_view>
#include <utility>

#include "proxy/http_message.h"
#include "standin/http_service.h"
#include "standin/socket_address.h"

namespace copperlead::standin {
namespace {

constexpr auto kPeerCheckInterval = std::chrono::milliseconds(5);
constexpr int kBacklog = 256;
constexpr std::size_t kCutBytes = 5;  // Missing at the end of an answer that is cut off.
constexpr char kSignature[] = "X-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";

bool SendAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

void CloseByReset(int socket) {
  const linger reset{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

// Reads and drops what comes until the peer has closed.
void ReadOn(int socket) {
  char dropped[65536];
  while (recv(socket, dropped, sizeof(dropped), 0) > 0) {
  }
}

bool IsEarly(InstanceTrouble trouble) {
  return trouble == InstanceTrouble::kEarlyCut || trouble == InstanceTrouble::kEarlyWhole ||
         trouble == InstanceTrouble::kLeaveUnread;
}

std::int64_t UnixMilliseconds() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

std::string FirstValue(const HeaderFields& fields, std::string_view name) {
  const auto values = ValuesOf(fields, name);
  return values.empty() ? std::string() : std::string(values[0]);
}

}  // namespace

std::string LargeAnswerBody(const std::string& request_id, std::size_t bytes) {
  std::string body;
  body.reserve(bytes + request_id.size());
  while (body.size() < bytes) body += request_id + ",";
  body.resize(bytes);
  return body;
}

struct Instance::Message {
  RequestHead head;
  std::string body;
};

Instance::Instance(const InstanceSettings& settings) : settings_(settings) {}

Instance::~Instance() { Stop(); }

bool Instance::Start(const SocketAddress& listen_address) {
  const SystemAddress native = ToSystem(listen_address);
  cold_until_ = std::chrono::steady_clock::now() + settings_.cold;
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(listener_, native.get(), native.length) != 0 || listen(listener_, kBacklog) != 0) {
    close(listener_);
    listener_ = -1;
    return false;
  }
  address_ = {listen_address.ip, BoundPort(listener_)};
  born_ = UnixMilliseconds();
  starts_.push_back(std::chrono::steady_clock::now());
  accepting_ = std::thread([this] { Accept(); });
  return true;
}

void Instance::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    for (const int socket : open_) shutdown(socket, SHUT_RDWR);
    changed_.notify_all();
  }
  if (listener_ >= 0) shutdown(listener_, SHUT_RDWR);
  if (accepting_.joinable()) accepting_.join();
  for (auto& thread : threads_) {
    if (thread.joinable()) thread.join();
  }
  threads_.clear();
  if (listener_ >= 0) close(listener_);
  listener_ = -1;
}

void Instance::Crash() {
  const std::lock_guard lock(mutex_);
  crashes_.push_back(std::chrono::steady_clock::now());
  down_ = true;
  if (!crash_.keeps_id) settings_.id += "+";
  for (const int socket : open_) shutdown(socket, SHUT_RDWR);
  shutdown(listener_, SHUT_RDWR);
  changed_.notify_all();
}

bool Instance::AwaitRestart() {
  std::unique_lock lock(mutex_);
  const auto crashed = !crashes_.empty();
  if (crashed) changed_.wait_until(lock, crashes_.back() + crash_.down, [&] { return stopping_; });
  if (!crashed || stopping_) return false;
  born_ = UnixMilliseconds();
  starts_.push_back(std::chrono::steady_clock::now());
  // The next incarnation states nothing that its predecessor did.
  limits_.push_back({starts_.back(), ""});
  leaving_.clear();
  down_ = false;
  // A port that the system chose goes with the listening; one that was named is still bound, so
  // that this fails.
  const SystemAddress native = ToSystem(address_);
  (void)bind(listener_, native.get(), native.length);
  return listen(listener_, kBacklog) == 0;
}

void Instance::FallOver() {
  settings_.id += "+" + std::to_string(++falls_);
  cold_until_ = std::chrono::steady_clock::now() + settings_.cold;
  arrivals_.clear();
  for (const int socket : open_) shutdown(socket, SHUT_RDWR);
}

bool Instance::Bears() {
  const std::lock_guard lock(mutex_);
  const auto now = std::chrono::steady_clock::now();
  arrivals_.push_back(now);
  while (now - arrivals_.front() >= std::chrono::seconds(1)) arrivals_.pop_front();
  if (now >= cold_until_ || arrivals_.size() <= settings_.cold_most) return true;
  FallOver();
  return false;
}

void Instance::Accept() {
  for (;;) {
    const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      if (AwaitRestart()) continue;
      return;
    }
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      close(socket);
      return;
    }
    ++connections_;
    open_.insert(socket);
    threads_.emplace_back([this, socket] { Serve(socket); });
  }
}

void Instance::Serve(int socket) {
  std::string buffer;
  char piece[65536];
  bool refused = false;  // The request whose body is being read.
  for (bool open = true; open;) {
    Message message;
    std::string fault;
    BodyFraming framing;
    const std::size_t end = FindHeadEnd(buffer);
    const bool has_head = end != 0 &&
                          ParseRequestHead(buffer.substr(0, end), message.head, fault) &&
                          FindRequestFraming(message.head, framing, fault);
    const bool has_body = has_head && framing.length > 0;
    if (has_body && !refused && LeaveUnread(socket, message)) {
      refused = true;
      continue;
    }
    if (has_head && buffer.size() >= end + framing.length) {
      message.body = buffer.substr(end, framing.length);
      buffer.erase(0, end + framing.length);
      open = std::exchange(refused, false) || Handle(socket, message);
      continue;
    }
    if (has_head && !refused && AnswerEarly(socket, message)) break;
    const auto count = recv(socket, piece, sizeof(piece), 0);
    if (count <= 0) break;
    buffer.append(piece, static_cast<std::size_t>(count));
  }
  const std::lock_guard lock(mutex_);
  open_.erase(socket);
  close(socket);
}

bool Instance::LeaveUnread(int socket, const Message& message) {
  {
    const std::lock_guard lock(mutex_);
    if (fault_.times == 0 || fault_.trouble != InstanceTrouble::kLeaveUnread) return false;
    if (fault_.times != UINT64_MAX) --fault_.times;
  }
  const std::size_t run = AddRun(message);
  {
    const std::lock_guard lock(mutex_);
    runs_[run].answered_early = true;
  }
  SendAll(socket, Answer(503, FirstValue(message.head.fields, "X-Request-Id"), "", false, true));
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, kUnreadTime, [&] { return stopping_; });
  return true;
}

InstanceTrouble Instance::TakeTrouble(bool before_body) {
  const std::lock_guard lock(mutex_);
  if (fault_.trouble == InstanceTrouble::kLeaveUnread) return InstanceTrouble::kNone;
  if (fault_.times == 0 || IsEarly(fault_.trouble) != before_body) return InstanceTrouble::kNone;
  if (fault_.times != UINT64_MAX) --fault_.times;
  return fault_.trouble;
}

bool Instance::AnswerEarly(int socket, const Message& message) {
  const std::string expected = FirstValue(message.head.fields, "X-Expect-Instance");
  if (!expected.empty() && expected != id()) return false;
  const InstanceTrouble trouble = TakeTrouble(true);
  if (trouble == InstanceTrouble::kNone) return false;
  const std::size_t run = AddRun(message);
  {
    const std::lock_guard lock(mutex_);
    runs_[run].ran = true;
    runs_[run].answered_early = true;
    runs_[run].ran_at = runs_[run].came_at;
  }
  const std::string id = FirstValue(message.head.fields, "X-Request-Id");
  const std::string whole = Answer(200, id, "answer to " + id, true, false);
  if (trouble == InstanceTrouble::kEarlyCut) {
    SendAll(socket, whole.substr(0, whole.size() - kCutBytes));
    CloseByReset(socket);
  } else {
    SendAll(socket, whole);
    shutdown(socket, SHUT_WR);
    ReadOn(socket);
  }
  return true;
}

std::size_t Instance::AddRun(const Message& message) {
  const auto& fields = message.head.fields;
  InstanceRun run;
  run.request_id = FirstValue(fields, "X-Request-Id");
  run.method = message.head.method;
  run.target = message.head.target;
  run.caller = FirstValue(fields, "X-Caller-Service");
  run.expected = FirstValue(fields, "X-Expect-Instance");
  run.tenant = FirstValue(fields, "X-Tenant");
  run.key = FirstValue(fields, "X-Credential");
  ParseWholeNumber(FirstValue(fields, "X-Deadline-Ms"), run.deadline_ms);
  run.body_bytes = message.body.size();
  run.body_hash = std::hash<std::string>()(message.body);
  if (run.body_bytes <= kKeptBodyBytes) run.body = message.body;
  run.came_at = std::chrono::steady_clock::now();
  const std::lock_guard lock(mutex_);
  run.instance = settings_.id;
  runs_.push_back(run);
  return runs_.size() - 1;
}

std::string Instance::Answer(int status, const std::string& id, const std::string& body,
                             bool is_signed, bool framed) {
  const std::lock_guard lock(mutex_);
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
  if (!id.empty()) text += "X-Request-Id: " + id + "\r\n";
  if (is_signed) text += kSignature;
  if (!id.empty()) text += "X-Answered-By: " + settings_.id + "\r\n";
  const bool states_limit = !limits_.empty() && !limits_.back().text.empty();
  if (states_limit && (health_states_limit_ || !id.empty())) {
    text += "Server-Limit: " + limits_.back().text + "\r\n";
  }
  if (!leaving_.empty()) text += "Server-Leaving: " + leaving_ + "\r\n";
  if (framed) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  if (status == 421 || id.empty()) text += "X-Instance-Id: " + settings_.id + "\r\n";
  if (id.empty()) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        cold_until_ - std::chrono::steady_clock::now());
    if (left.count() > 0) text += "X-Cold-Ms: " + std::to_string(left.count()) + "\r\n";
  }
  if (status == 421 || status == 503) text += "X-Not-Executed: 1\r\n";
  text += "X-Server-Load: " + std::to_string(running_) + "," + std::to_string(waiting_) + "," +
          std::to_string(settings_.slots) + "\r\n";
  return text + "\r\n" + body;
}

bool Instance::Work(int socket, std::size_t run, std::chrono::milliseconds work) {
  std::unique_lock lock(mutex_);
  const std::size_t crashes = crashes_.size();
  ++waiting_;
  most_at_once_ = std::max(most_at_once_, running_ + waiting_);
  changed_.wait(lock, [&] { return stopping_ || running_ < settings_.slots; });
  --waiting_;
  ++running_;
  runs_[run].ran = true;
  runs_[run].ran_at = std::chrono::steady_clock::now();
  const auto until = std::chrono::steady_clock::now() + work;
  bool here = true;
  while (!stopping_ && here && crashes == crashes_.size() &&
         std::chrono::steady_clock::now() < until) {
    changed_.wait_for(lock, kPeerCheckInterval);
    here = !IsPeerGone(socket);
  }
  runs_[run].broken_off = !here;
  --running_;
  changed_.notify_all();
  return here && !stopping_ && crashes == crashes_.size();
}

void Instance::AnswerWithoutEnd(int socket, const std::string& id) {
  EndlessAnswer answer;
  {
    const std::lock_guard lock(mutex_);
    answer = endless_;
    ++endless_begun_;
  }
  const auto mark = answer.begin.find(kRequestIdMark);
  if (mark != std::string::npos) {
    answer.begin.replace(mark, std::string_view(kRequestIdMark).size(), id);
  }
  bool open = SendAll(socket, answer.begin);
  while (open && !answer.stops) {
    std::this_thread::sleep_for(answer.pause);
    open = SendAll(socket, answer.piece);
  }
  const std::lock_guard lock(mutex_);
  ++endless_ended_;
}

bool Instance::Handle(int socket, const Message& message) {
  const auto& fields = message.head.fields;
  const std::string id = FirstValue(fields, "X-Request-Id");
  if (message.head.target == "/health") {
    {
      const std::lock_guard lock(mutex_);
      ++health_checks_;
    }
    return SendAll(socket, Answer(200, "", "", false, true));
  }
  const std::size_t run = AddRun(message);
  const std::string expected = FirstValue(fields, "X-Expect-Instance");
  bool other = false;
  bool full = false;
  bool crashes = false;
  std::chrono::milliseconds work{};
  {
    const std::lock_guard lock(mutex_);
    crashes = message.head.target == crash_.target;
    work = crashes ? crash_.after : settings_.work;
    other = !expected.empty() && expected != settings_.id;
    full = waiting_ >= settings_.queue;
  }
  if (other) return SendAll(socket, Answer(421, id, "", false, true));
  if (!Bears()) return false;

  const InstanceTrouble trouble = TakeTrouble(false);
  if (full || trouble == InstanceTrouble::kShed) {
    return SendAll(socket, Answer(503, id, "", false, true));
  }
  if (!Work(socket, run, work)) return false;
  if (crashes) {
    Crash();
    return false;
  }
  const auto sized = message.head.target.find(kAnswerBytes);
  const std::string body =
      sized == std::string::npos
          ? "answer to " + id
          : LargeAnswerBody(id, std::strtoul(message.head.target.c_str() + sized +
                                                 std::string_view(kAnswerBytes).size(),
                                             nullptr, 10));
  const std::string whole = Answer(200, id, body, true, true);
  switch (trouble) {
    case InstanceTrouble::kLost:
      CloseByReset(socket);
      return false;
    case InstanceTrouble::kCut:
      SendAll(socket, whole.substr(0, whole.size() - kCutBytes));
      return false;
    case InstanceTrouble::kExtra:
      return SendAll(socket, whole + Answer(200, "earlier", "another's answer", true, true));
    case InstanceTrouble::kUnframed:
      SendAll(socket, Answer(200, id, body, true, false));
      return false;
    case InstanceTrouble::kUnsigned:
      return SendAll(socket, Answer(200, id, body, false, true));
    case InstanceTrouble::kError:
      return SendAll(socket, Answer(500, id, "failed", true, true));
    case InstanceTrouble::kClosing:
      SendAll(socket, whole);
      return false;
    case InstanceTrouble::kSilent:
      return true;
    case InstanceTrouble::kEndless:
      AnswerWithoutEnd(socket, id);
      return false;
    default:
      return SendAll(socket, whole);
  }
}

}  // namespace copperlead::standin
