#include "source/source_client.h"

#include <array>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

#include "snapshot/source_documents.h"
#include "source/bounded_get.h"

namespace copperlead {
namespace {

constexpr int kNotModified = 304;

const char* PathOf(StreamKind stream) {
  return stream == StreamKind::kConfiguration ? "/v1/configuration" : "/v1/machines";
}

// Parses a body as the document that `stream` carries.
Result<SourceAnswered> ParseBody(StreamKind stream, const std::string& body) {
  SourceAnswered answered;
  if (stream == StreamKind::kConfiguration) {
    BOOST_LEAF_AUTO(document, ParseConfiguration(body));
    answered.configuration = std::make_shared<const ConfigurationDocument>(std::move(document));
    return answered;
  }
  BOOST_LEAF_AUTO(list, ParseMachines(body));
  answered.machines = std::make_shared<const MachineList>(std::move(list));
  return answered;
}

Result<SourceAnswered> FetchAnswer(StreamKind stream, const std::string& sent_etag,
                                   BoundedGet& get) {
  BOOST_LEAF_AUTO(answer, get.Run());
  SourceAnswered answered;
  if (answer.status == kNotModified) {
    answered.status = SourceAnswered::Status::kNotModified;
    answered.etag = sent_etag;
    return answered;
  }
  BOOST_LEAF_ASSIGN(answered, ParseBody(stream, answer.body));
  answered.status = SourceAnswered::Status::kNew;
  answered.etag = answer.etag;
  return answered;
}

// Fetches one of the two documents on a thread of its own, so that a slow response for one does not
// delay the other.
class StreamFetcher {
 public:
  StreamFetcher(const SourceClientSettings& settings, StreamKind stream,
                SourceClient::Receiver receiver);
  ~StreamFetcher() { Stop(); }
  StreamFetcher(const StreamFetcher&) = delete;
  StreamFetcher& operator=(const StreamFetcher&) = delete;

  // Replaces a request that is still waiting to be started.
  void Fetch(const std::string& etag);
  void Stop();

 private:
  void Run();
  // @return false when stopping.
  bool WaitForRequest();
  SourceAnswered Answer();

  const SourceClientSettings settings_;
  const StreamKind stream_;
  const SourceClient::Receiver receiver_;

  std::mutex mutex_;  // Guards requested_etag_, running_ and stopping_.
  std::condition_variable changed_;
  std::optional<std::string> requested_etag_;
  std::shared_ptr<BoundedGet> running_;
  std::string running_etag_;  // ETag sent by running_. Used on the fetcher's own thread only.
  bool stopping_ = false;

  std::mutex stop_mutex_;  // Ensures that only one thread joins thread_.
  std::thread thread_;
};

StreamFetcher::StreamFetcher(const SourceClientSettings& settings, StreamKind stream,
                             SourceClient::Receiver receiver)
    : settings_(settings),
      stream_(stream),
      receiver_(std::move(receiver)),
      thread_([this] { Run(); }) {}

void StreamFetcher::Fetch(const std::string& etag) {
  const std::lock_guard lock(mutex_);
  requested_etag_ = etag;
  changed_.notify_all();
}

void StreamFetcher::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    if (running_) running_->Cancel();
  }
  changed_.notify_all();
  const std::lock_guard lock(stop_mutex_);
  if (thread_.joinable()) thread_.join();
}

bool StreamFetcher::WaitForRequest() {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [this] { return stopping_ || requested_etag_; });
  if (stopping_) return false;
  BoundedGetRequest request;
  request.address = settings_.address;
  request.path = PathOf(stream_);
  request.etag = *requested_etag_;
  request.connect_timeout = settings_.connect_timeout;
  request.total_timeout = settings_.read_timeout;
  request.max_body_bytes = kMaxSourceBodyBytes;
  running_ = MakeBoundedGet(request);
  running_etag_ = request.etag;
  requested_etag_.reset();
  return true;
}

SourceAnswered StreamFetcher::Answer() {
  const std::shared_ptr<BoundedGet> get = running_;
  Outcome<SourceAnswered> outcome =
      Resolve([&] { return FetchAnswer(stream_, running_etag_, *get); });
  SourceAnswered answered;
  if (outcome) {
    answered = std::move(outcome.value());
  } else {
    answered.error = outcome.error();
  }
  answered.stream = stream_;
  return answered;
}

void StreamFetcher::Run() {
  while (WaitForRequest()) {
    SourceAnswered answered = Answer();
    {
      const std::lock_guard lock(mutex_);
      running_.reset();
      if (stopping_) return;
    }
    receiver_(std::move(answered));
  }
}

class HttpSourceClient : public SourceClient {
 public:
  HttpSourceClient(const SourceClientSettings& settings, Receiver receiver)
      : configuration_(settings, StreamKind::kConfiguration, receiver),
        machines_(settings, StreamKind::kMachines, std::move(receiver)) {}

  void Fetch(const FetchFromSource& request) override {
    FetcherOf(request.stream).Fetch(request.etag);
  }

  void Stop() override {
    configuration_.Stop();
    machines_.Stop();
  }

 private:
  StreamFetcher& FetcherOf(StreamKind stream) {
    return stream == StreamKind::kConfiguration ? configuration_ : machines_;
  }

  StreamFetcher configuration_;
  StreamFetcher machines_;
};

}  // namespace

std::unique_ptr<SourceClient> StartSourceClient(const SourceClientSettings& settings,
                                                SourceClient::Receiver receiver) {
  return std::make_unique<HttpSourceClient>(settings, std::move(receiver));
}

}  // namespace copperlead
