// An application instance of the platform: works on a bounded number of requests, signs its
// answers, refuses what it does not run, and spoils answers on demand.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/address.h"

namespace copperlead::standin {

struct InstanceSettings {
  std::string id;
  std::uint32_t slots = 6;
  std::uint32_t queue = 24;
  std::chrono::milliseconds work{5};
  // From each start on it is cold for so long, and falls over when more than `cold_most` requests
  // come in a second; 0: never cold.
  std::chrono::milliseconds cold{0};
  std::size_t cold_most = 0;
};

enum class InstanceTrouble {
  kNone,
  kLost,      // Runs, then resets the connection without an answer.
  kCut,       // Runs, then cuts its answer off in the middle.
  kExtra,     // Sends a second answer, to an earlier id, behind the first.
  kUnframed,  // Answers without a length; the connection's end ends the body.
  kUnsigned,  // Answers 200 without its signature.
  kError,     // Runs, then answers 500, signed.
  kShed,      // 503 without having run it.
  kClosing,   // Answers, then closes the connection without having said so.
  kSilent,    // Reads and never answers.
  kEndless,   // Sends its EndlessAnswer until the caller closes.
  // The others are for requests whose body is still being sent: they answer its head.
  kEarlyCut,    // Answers without a length, cuts that off and resets the connection.
  kEarlyWhole,  // Answers without a length, ends its side and reads on.
  // For requests with a body.
  kLeaveUnread  // Refuses it, reads on after kUnreadTime and serves what lies behind the body.
};

inline constexpr std::chrono::milliseconds kUnreadTime{900};

inline constexpr char kRequestIdMark[] = "@id";

// An answer that goes on until its caller closes the connection.
struct EndlessAnswer {
  std::string begin;                   // A kRequestIdMark in it becomes the request's id.
  std::string piece;                   // Sent again and again,
  std::chrono::milliseconds pause{0};  // each time after this pause.
  bool stops = false;                  // Ends the connection behind `begin` instead.
};

struct InstanceFault {
  InstanceTrouble trouble = InstanceTrouble::kNone;
  std::uint64_t times = UINT64_MAX;  // Requests that it applies to.
};

// A request that ends the instance which runs it: every connection ends, nothing listens for a
// while, then it starts again at its address.
struct InstanceCrash {
  std::string target;                   // Of the request; empty: none does.
  std::chrono::milliseconds after{40};  // Since the request's run began.
  std::chrono::milliseconds down{2000};
  bool keeps_id = false;  // It starts again under the id that it had.
};

// Larger bodies are recorded by their size and hash only.
inline constexpr std::size_t kKeptBodyBytes = 1 << 20;

// The text in a request's target that is followed by the size of the answer's body in bytes.
inline constexpr char kAnswerBytes[] = "answer-bytes=";

// The body of an answer of `bytes` bytes.
std::string LargeAnswerBody(const std::string& request_id, std::size_t bytes);

// A request that came, and what was done with it.
struct InstanceRun {
  std::string request_id;
  std::string method;
  std::string target;
  std::string caller;
  std::string expected;  // The instance that the request was meant for.
  std::string instance;  // The id of the instance that it came to.
  std::string tenant;    // Whose request it is, as the caller says.
  std::string key;       // A client's key, which should not come here.
  std::uint64_t deadline_ms = 0;
  std::string body;  // Empty when it is larger than kKeptBodyBytes.
  std::size_t body_bytes = 0;
  std::size_t body_hash = 0;  // std::hash of the body.
  std::chrono::steady_clock::time_point came_at{};
  bool ran = false;
  std::chrono::steady_clock::time_point ran_at{};
  bool answered_early = false;  // It was answered without regard to its body, which isn't here.
  bool broken_off = false;      // The connection ended while it worked.
};

// A value of Server-Limit in the instance's answers.
struct StatedLimit {
  std::chrono::steady_clock::time_point since;
  std::string text;  // Empty: no limit is stated.
};

// Thread-safe. One thread a connection.
class Instance {
 public:
  explicit Instance(const InstanceSettings& settings);
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  // Binds and serves. @return false when the address cannot be bound.
  bool Start(const SocketAddress& listen);
  const SocketAddress& address() const { return address_; }
  // Closes the listener and every connection.
  void Stop();

  void SetFault(const InstanceFault& fault);
  void SetEndlessAnswer(const EndlessAnswer& answer);
  void SetCrash(const InstanceCrash& crash);
  void SetWork(std::chrono::milliseconds work);
  // States a limit in all answers from now on. @param text  as it is sent; empty: none is stated
  void StateLimit(const std::string& text);
  // States in all answers from now on whether it leaves. @param text  as it is sent; empty: nothing
  void StateLeaving(const std::string& text = "1");
  // Leaves the limit out of health answers.
  void KeepLimitFromHealthAnswers();
  // Another incarnation has the address from now on.
  void SetId(const std::string& id);

  std::string id() const;
  // When it last started, in Unix milliseconds.
  std::int64_t born() const;
  // Whether it has crashed and not yet started again.
  bool down() const;
  // Answers without end whose caller has closed the connection, and those that go on.
  int endless_answers_ended() const;
  int endless_answers_open() const;
  // Whether a fault applies to requests that are still to come.
  bool troubled() const;
  // When each of its incarnations began.
  std::vector<std::chrono::steady_clock::time_point> starts() const;
  // When it crashed.
  std::vector<std::chrono::steady_clock::time_point> crashes() const;
  std::vector<InstanceRun> runs() const;
  // The limits that it has stated, oldest first.
  std::vector<StatedLimit> stated_limits() const;
  std::uint64_t health_checks() const;
  bool states_leaving() const;
  // How often a request was run.
  int RunsOf(const std::string& request_id) const;
  // Is cold again from now on, under the same id.
  void GoCold();
  // How often it fell over: its connections are reset, and it starts again under another id, cold.
  int falls() const;
  // The most requests that were there at once, running or queued.
  std::uint32_t most_at_once() const;
  std::uint64_t connections() const;

 private:
  struct Message;

  void Accept();
  // After a crash. @return false when the instance is stopped instead
  bool AwaitRestart();
  void Crash();
  void Serve(int socket);
  void AnswerWithoutEnd(int socket, const std::string& id);
  // @return false when the connection ends.
  bool Handle(int socket, const Message& message);
  // Answers a request whose head has come, if the trouble is to do so. @return false when it isn't
  bool AnswerEarly(int socket, const Message& message);
  // @param before_body  the request's body is still to come
  InstanceTrouble TakeTrouble(bool before_body);
  // Applies kLeaveUnread to a request whose head has arrived.
  // @return false when the fault doesn't apply
  bool LeaveUnread(int socket, const Message& message);
  // Takes a slot and works. @return false when the connection ended meanwhile.
  bool Work(int socket, std::size_t run, std::chrono::milliseconds work);
  std::string Answer(int status, const std::string& id, const std::string& body, bool is_signed,
                     bool framed);
  std::size_t AddRun(const Message& message);
  // Counts a request's coming. @return false when the instance falls over by it.
  bool Bears();
  void FallOver();

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  InstanceSettings settings_;  // Guarded by mutex_, as all below.
  InstanceFault fault_;
  EndlessAnswer endless_;
  int endless_begun_ = 0;
  int endless_ended_ = 0;
  InstanceCrash crash_;
  std::vector<std::chrono::steady_clock::time_point> crashes_;
  std::vector<InstanceRun> runs_;
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint32_t most_at_once_ = 0;
  std::uint64_t connections_ = 0;
  std::set<int> open_;
  std::deque<std::chrono::steady_clock::time_point> arrivals_;  // Of the last second.
  std::chrono::steady_clock::time_point cold_until_{};
  std::vector<std::chrono::steady_clock::time_point> starts_;
  std::vector<StatedLimit> limits_;
  std::string leaving_;
  bool health_states_limit_ = true;
  std::uint64_t health_checks_ = 0;
  int falls_ = 0;
  std::int64_t born_ = 0;
  bool down_ = false;
  bool stopping_ = false;

  SocketAddress address_;
  int listener_ = -1;
  std::thread accepting_;
  std::list<std::thread> threads_;
};

}  // namespace copperlead::standin
