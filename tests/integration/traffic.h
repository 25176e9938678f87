// Callers for the integration tests: requests whose answers can be told to be whole and their own,
// and the promises that hold for every one of them, checked against the back ends' journals.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "standin/local_fleet.h"

namespace copperlead::standin {

enum class RequestKind {
  kLookup,       // GET, repeatable.
  kPurchase,     // POST, not repeatable.
  kUpload,       // PUT of kUploadBytes, repeatable by its method, too large to be held whole.
  kSmallUpload,  // PUT of a few bytes, repeatable.
  kDownload,     // GET of kDownloadBytes with a Content-Length.
  kChunked,      // GET of kDownloadBytes, chunked.
};

inline constexpr std::size_t kUploadBytes = 1000000;
inline constexpr std::size_t kDownloadBytes = 1000000;

// One request and what its caller got.
struct Sent {
  RequestKind kind = RequestKind::kLookup;
  std::string id;
  HttpAnswer answer;
};

// How one request is sent.
struct SendOptions {
  std::chrono::milliseconds timeout{30000};
  std::chrono::milliseconds pause{0};  // Between the pieces of an upload or download.
  HttpHeaders headers;
};

// Sends one request below `route` with an id of its own.
Sent SendOne(const SocketAddress& node, const std::string& route, RequestKind kind,
             const SendOptions& options = {});

// @return whether the answer is a 200, whole, and the request's own.
bool IsGood(const Sent& sent);

// @return how often the back ends ran the request.
std::uint64_t RunsOf(LocalFleet& fleet, const std::string& id);

// Expects, of all requests: no answer is another's, none is cut without the caller seeing it, none
// that was said not to have been run was run, no purchase ran twice.
void ExpectPromisesKept(LocalFleet& fleet, const std::vector<Sent>& all);

// Callers that send without pause until stopped. Each thread cycles through the kinds.
class Traffic {
 public:
  Traffic(std::vector<SocketAddress> nodes, std::string route, std::vector<RequestKind> kinds,
          int threads, SendOptions options = {});
  ~Traffic();
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  // Requests answered so far.
  std::size_t count() const { return count_; }
  // Stops and gives all that was sent.
  std::vector<Sent> Stop();

 private:
  void Run(int thread);

  const std::vector<SocketAddress> nodes_;
  const std::string route_;
  const std::vector<RequestKind> kinds_;
  const SendOptions options_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::size_t> count_{0};
  std::mutex mutex_;
  std::vector<Sent> all_;  // Guarded by mutex_.
  std::vector<std::thread> threads_;
};

}  // namespace copperlead::standin
