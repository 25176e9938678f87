// A back end: works on a bounded number of requests at a time, keeps a journal of its runs, and
// misbehaves on demand.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "standin/journal.h"

namespace httplib {
class ContentReader;
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace copperlead::standin {

struct BackendSettings {
  std::string id;
  std::uint32_t slots = 6;
  std::chrono::milliseconds cold_start{0};  // Added to each of the first `slots` requests.
  std::chrono::milliseconds work{0};        // Per request.
};

enum class BackendMode {
  kUp,
  kShed,     // Refuses everything as not run.
  kLate,     // Runs at once, then answers `wait` later, even when the caller has left.
  kFreeze,   // Begins nothing while the mode lasts; goes on afterwards.
  kCrossed,  // Sends a second, unasked answer behind each answer on the same connection.
  kError,    // Runs, then answers 500.
};

struct BackendFault {
  BackendMode mode = BackendMode::kUp;
  std::chrono::milliseconds wait{0};
  std::uint64_t times = UINT64_MAX;  // Requests that it applies to; then kUp.
};

// Thread-safe.
class Backend {
 public:
  explicit Backend(const BackendSettings& settings) : settings_(settings) {}

  // Serves any method and path on `server`.
  void AddHandlers(httplib::Server& server);
  // Adds /control/... to `server`.
  void AddControlHandlers(httplib::Server& server);

  void SetFault(const BackendFault& fault);
  // Refuses new work as not run from now on.
  void StartDraining();
  // Blocks until no request is in flight, its answer written.
  void WaitUntilIdle();

 private:
  // Holds one slot until released.
  class Slot;
  struct Body {
    std::uint64_t bytes = 0;
    std::string hash;
  };

  void Handle(const httplib::Request& request, httplib::Response& response,
              const httplib::ContentReader* reader);
  BackendFault TakeFault();
  std::shared_ptr<Slot> TakeSlot(const BackendFault& fault);
  void Refuse(const httplib::Request& request, httplib::Response& response,
              const httplib::ContentReader* reader);
  bool Work(const httplib::Request& request, const BackendFault& fault);
  bool WaitUntil(std::chrono::steady_clock::time_point until, int socket);
  void WaitWhileFrozen();
  void Answer(const httplib::Request& request, httplib::Response& response, const Body& body,
              std::uint64_t runs, const BackendFault& fault, const std::shared_ptr<Slot>& slot);
  std::string LoadText();

  const BackendSettings settings_;
  Journal journal_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool draining_ = false;  // Guarded by mutex_, as all below.
  BackendFault fault_;
  std::uint64_t fault_number_ = 0;  // Rises with each SetFault.
  std::uint32_t slots_taken_ = 0;
  std::uint32_t unfinished_ = 0;  // Requests whose answers are not written yet.
  std::uint64_t started_ = 0;     // Requests that got a slot, ever.
  std::string load_override_;     // Reported in place of the load; empty: the truth.
  int health_override_ = 0;       // Status of /health; 0: the truth.
};

}  // namespace copperlead::standin
