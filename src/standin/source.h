// The platform's configuration service: serves two documents from memory and fails on demand.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace httplib {
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace copperlead::standin {

// How the source answers.
enum class SourceMode {
  kUp,
  kDown,       // Connections are closed without an answer.
  kSlow,       // Each answer waits for `wait`.
  kHang,       // No answer while the mode lasts.
  kGarbage,    // 200 with a body that is no JSON.
  kOversized,  // 200 with a body of `size` bytes.
  kStale,      // Goes on serving the documents of the moment it was set, whatever is put.
  kBack,       // Serves the documents of `versions` puts ago.
};

struct SourceFault {
  SourceMode mode = SourceMode::kUp;
  std::chrono::milliseconds wait{0};
  std::uint64_t size = 0;
  std::size_t versions = 1;
};

// The documents are opaque: a bad one is served as it was put. Thread-safe.
class Source {
 public:
  // Adds the platform's two services to `server`.
  void AddPlatformHandlers(httplib::Server& server);
  // Adds PUT of the documents, POST /control/mode and GET /control/counters to `server`.
  void AddControlHandlers(httplib::Server& server);

  // Makes `content` the current version of the document at `path`.
  void Put(const std::string& path, std::string content);
  void SetFault(const SourceFault& fault);
  // Ends waits of requests in flight, for shutdown.
  void Stop();

 private:
  // One document and its earlier versions; the last is the current one.
  struct Document {
    std::vector<std::string> versions;
    std::size_t stale_size = 0;  // versions.size() when kStale was set.
  };

  void Answer(const httplib::Request& request, httplib::Response& response);
  void AnswerDocument(const httplib::Request& request, httplib::Response& response);
  void Delay(const httplib::Request& request, const SourceFault& fault);
  std::string Served(const std::string& path) const;
  void CountRead();
  void CountAnswer(const std::string& path, int status);
  std::string CountersText() const;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool stopped_ = false;            // Guarded by mutex_, as all below.
  std::uint64_t fault_number_ = 0;  // Rises with each SetFault.
  SourceFault fault_;
  std::map<std::string, Document> documents_;                     // By path.
  std::map<std::string, std::map<int, std::uint64_t>> counters_;  // By path, then status.
  std::uint64_t reads_ = 0;                                       // Answered or not.
  std::map<std::int64_t, std::uint64_t> reads_by_second_;         // Whole seconds of the clock.
};

}  // namespace copperlead::standin
