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
  bool OnHeaders(const httplib::Response& response);
  bool OnContent(const char* data, std::size_t size);
  Result<BoundedGetAnswer> ToResult(httplib::Error error);
  boost::leaf::error_id FailWithUrl(ErrorKind kind, std::string cause) const;

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
  // These are longer than the deadline of the watchdog, which alone decides when a request has
  // timed out.
  client_.set_read_timeout(2 * request_.total_timeout);
  client_.set_write_timeout(2 * request_.total_timeout);
  client_.set_follow_location(false);
  client_.set_keep_alive(false);
  client_.set_decompress(false);
}

Result<BoundedGetAnswer> HttplibGet::Run() {
  const Timestamp deadline = SteadyClock().Now() + request_.total_timeout;
  const std::uint64_t alarm = watchdog_.Arm(deadline, [this] {
    timed_out_ = true;
    client_.stop();
  });
  const httplib::Error error = Perform();
  watchdog_.Disarm(alarm);
  return ToResult(error);
}

httplib::Error HttplibGet::Perform() {
  httplib::Headers headers{{"Accept-Encoding", "identity"}};
  if (!request_.etag.empty()) headers.emplace("If-None-Match", request_.etag);
  const httplib::Result result = client_.Get(
      request_.path, headers,
      [this](const httplib::Response& response) { return OnHeaders(response); },
      [this](const char* data, std::size_t size) { return OnContent(data, size); });
  if (result) answer_.status = result->status;  // cpp-httplib does not call OnHeaders for a 204.
  return result.error();
}

// @return false to stop reading; only the body of a 200 response is used.
bool HttplibGet::OnHeaders(const httplib::Response& response) {
  answer_.status = response.status;
  answer_.etag = response.get_header_value("ETag");
  if (answer_.etag.size() > kMaxEtagBytes) answer_.etag.clear();
  return answer_.status == kOk;
}

bool HttplibGet::OnContent(const char* data, std::size_t size) {
  oversized_ = answer_.body.size() + size > request_.max_body_bytes;
  if (oversized_ || timed_out_) return false;
  answer_.body.append(data, size);
  return true;
}

Result<BoundedGetAnswer> HttplibGet::ToResult(httplib::Error error) {
  if (oversized_) {
    return FailWithUrl(ErrorKind::kOversized,
                       "body over " + std::to_string(request_.max_body_bytes) + " bytes");
  }
  if (timed_out_ && answer_.status != kNotModified) {
    const auto limit = std::chrono::duration_cast<Milliseconds>(request_.total_timeout).count();
    return FailWithUrl(ErrorKind::kSourceTimeout,
                       "no complete response within " + std::to_string(limit) + " ms");
  }
  if (answer_.status == kNotModified && !request_.etag.empty()) return std::move(answer_);
  if (answer_.status != 0 && answer_.status != kOk) {
    return FailWithUrl(ErrorKind::kSourceBadAnswer, "status " + std::to_string(answer_.status));
  }
  switch (error) {
    case httplib::Error::Success:
      return std::move(answer_);
    case httplib::Error::ConnectionTimeout:
      return FailWithUrl(ErrorKind::kSourceTimeout, "connection timed out");
    case httplib::Error::Connection:
      return FailWithUrl(ErrorKind::kSourceUnreachable, "cannot connect");
    default:
      return FailWithUrl(ErrorKind::kSourceBadAnswer,
                         "incomplete or invalid HTTP response: " + httplib::to_string(error));
  }
}

boost::leaf::error_id HttplibGet::FailWithUrl(ErrorKind kind, std::string cause) const {
  return Fail(kind, "http://" + ToString(request_.address) + request_.path, std::move(cause));
}

}  // namespace

std::unique_ptr<BoundedGet> MakeBoundedGet(const BoundedGetRequest& request, Watchdog& watchdog) {
  return std::make_unique<HttplibGet>(request, watchdog);
}

}  // namespace copperlead
