#include "source/bounded_get.h"

#include <httplib.h>

#include <atomic>
#include <memory>

namespace copperlead {
namespace {

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr std::size_t kMaxEtagBytes = 1024;

class HttplibGet : public BoundedGet {
 public:
  HttplibGet(BoundedGetRequest request, Watchdog& watchdog);
  Result<BoundedGetAnswer> Run() override;
  void Cancel() override { client_.stop(); }

 private:
  httplib::Error Perform();
  bool TakeHeaders(const httplib::Response& response);
  bool TakeContent(const char* data, std::size_t size);
  Result<BoundedGetAnswer> Judge(httplib::Error error);
  boost::leaf::error_id FailHere(ErrorKind kind, std::string cause) const;

  const BoundedGetRequest request_;
  Watchdog& watchdog_;
  httplib::Client client_;
  BoundedGetAnswer answer_;
  bool oversized_ = false;
  std::atomic<bool> timed_out_{false};
};

HttplibGet::HttplibGet(BoundedGetRequest request, Watchdog& watchdog)
    : request_(std::move(request)),
      watchdog_(watchdog),
      client_(request_.address.ip, request_.address.port) {
  client_.set_connection_timeout(request_.connect_timeout);
  // Longer than the watchdog allows for the whole: only that one decides what a timeout is.
  client_.set_read_timeout(2 * request_.whole_timeout);
  client_.set_write_timeout(2 * request_.whole_timeout);
  client_.set_follow_location(false);
  client_.set_keep_alive(false);
  client_.set_decompress(false);
}

Result<BoundedGetAnswer> HttplibGet::Run() {
  const Timestamp deadline = SteadyClock().Now() + request_.whole_timeout;
  const std::uint64_t alarm = watchdog_.Arm(deadline, [this] {
    timed_out_ = true;
    client_.stop();
  });
  const httplib::Error error = Perform();
  watchdog_.Disarm(alarm);
  return Judge(error);
}

httplib::Error HttplibGet::Perform() {
  httplib::Headers headers{{"Accept-Encoding", "identity"}};
  if (!request_.etag.empty()) headers.emplace("If-None-Match", request_.etag);
  const httplib::Result result = client_.Get(
      request_.path, headers,
      [this](const httplib::Response& response) { return TakeHeaders(response); },
      [this](const char* data, std::size_t size) { return TakeContent(data, size); });
  if (result) answer_.status = result->status;  // A 204 comes without a call of TakeHeaders.
  return result.error();
}

// @return false to leave the rest unread: nothing but a 200 has a body of interest.
bool HttplibGet::TakeHeaders(const httplib::Response& response) {
  answer_.status = response.status;
  answer_.etag = response.get_header_value("ETag");
  if (answer_.etag.size() > kMaxEtagBytes) answer_.etag.clear();
  return answer_.status == kOk;
}

bool HttplibGet::TakeContent(const char* data, std::size_t size) {
  oversized_ = answer_.body.size() + size > request_.max_body;
  if (oversized_ || timed_out_) return false;
  answer_.body.append(data, size);
  return true;
}

Result<BoundedGetAnswer> HttplibGet::Judge(httplib::Error error) {
  if (oversized_) {
    return FailHere(ErrorKind::kOversized,
                    "body over " + std::to_string(request_.max_body) + " bytes");
  }
  if (timed_out_ && answer_.status != kNotModified) {
    const auto limit = std::chrono::duration_cast<Milliseconds>(request_.whole_timeout).count();
    return FailHere(ErrorKind::kSourceTimeout,
                    "no whole answer within " + std::to_string(limit) + " ms");
  }
  if (answer_.status == kNotModified && !request_.etag.empty()) return std::move(answer_);
  if (answer_.status != 0 && answer_.status != kOk) {
    return FailHere(ErrorKind::kSourceBadAnswer, "status " + std::to_string(answer_.status));
  }
  switch (error) {
    case httplib::Error::Success:
      return std::move(answer_);
    case httplib::Error::ConnectionTimeout:
      return FailHere(ErrorKind::kSourceTimeout, "cannot connect in time");
    case httplib::Error::Connection:
      return FailHere(ErrorKind::kSourceUnreachable, "cannot connect");
    default:
      return FailHere(ErrorKind::kSourceBadAnswer,
                      "no whole HTTP answer: " + httplib::to_string(error));
  }
}

boost::leaf::error_id HttplibGet::FailHere(ErrorKind kind, std::string cause) const {
  return Fail(kind, "http://" + ToString(request_.address) + request_.path, std::move(cause));
}

}  // namespace

std::unique_ptr<BoundedGet> MakeBoundedGet(const BoundedGetRequest& request, Watchdog& watchdog) {
  return std::make_unique<HttplibGet>(request, watchdog);
}

}  // namespace copperlead
