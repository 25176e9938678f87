#include "traffic.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <map>
#include <nlohmann/json.hpp>

#include "standin/content.h"

namespace copperlead::standin {
namespace {

std::string NewId() {
  static std::atomic<std::uint64_t> number{0};
  return "r" + std::to_string(getpid()) + "-" + std::to_string(++number);
}

std::string BodyOf(const Sent& sent) {
  switch (sent.kind) {
    case RequestKind::kUpload:
      return ContentFor(sent.id, 0, kUploadBytes);
    case RequestKind::kSmallUpload:
    case RequestKind::kPurchase:
      return "permit for " + sent.id;
    default:
      return "";
  }
}

std::string MethodOf(RequestKind kind) {
  switch (kind) {
    case RequestKind::kPurchase:
      return "POST";
    case RequestKind::kUpload:
    case RequestKind::kSmallUpload:
      return "PUT";
    default:
      return "GET";
  }
}

bool IsDownload(RequestKind kind) {
  return kind == RequestKind::kDownload || kind == RequestKind::kChunked;
}

std::string PathOf(const std::string& route, RequestKind kind, std::chrono::milliseconds pause) {
  if (!IsDownload(kind)) return route + "/item";
  std::string path = route + "/download/" + std::to_string(kDownloadBytes) +
                     "?pause_ms=" + std::to_string(pause.count());
  if (kind == RequestKind::kChunked) path += "&chunked=1";
  return path;
}

nlohmann::json Journal(const LocalBackend& backend) {
  return nlohmann::json::parse(Get(backend.standin.control, "/control/journal").body);
}

void AddRuns(const nlohmann::json& journal, std::map<std::string, std::uint64_t>& runs) {
  for (const auto& [id, entry] : journal.at("entries").items()) {
    runs[id] += entry.at("runs").get<std::uint64_t>();
  }
}

std::map<std::string, std::uint64_t> RunsById(LocalFleet& fleet) {
  std::map<std::string, std::uint64_t> runs;
  for (const auto& backend : fleet.backends()) {
    if (backend->standin.process->running()) AddRuns(Journal(*backend), runs);
  }
  return runs;
}

}  // namespace

Sent SendOne(const SocketAddress& node, const std::string& route, RequestKind kind,
             const SendOptions& options) {
  Sent sent{kind, NewId(), {}};
  HttpCall call;
  call.address = node;
  call.method = MethodOf(kind);
  call.path = PathOf(route, kind, options.pause);
  call.headers = options.headers;
  call.headers["copperlead-request-id"] = sent.id;
  call.body = BodyOf(sent);
  call.timeout = options.timeout;
  call.upload_pause = options.pause;
  sent.answer = Send(call);
  return sent;
}

bool IsGood(const Sent& sent) {
  if (!sent.answer.whole || sent.answer.status != 200) return false;
  if (IsDownload(sent.kind)) return sent.answer.body == ContentFor(sent.id, 0, kDownloadBytes);
  const auto echo = nlohmann::json::parse(sent.answer.body, nullptr, false);
  if (echo.is_discarded()) return false;
  return echo.value("request_id", "") == sent.id &&
         echo.value("body_hash", "") == HashOf(BodyOf(sent));
}

std::uint64_t RunsOf(LocalFleet& fleet, const std::string& id) { return RunsById(fleet)[id]; }

void ExpectPromisesKept(LocalFleet& fleet, const std::vector<Sent>& all) {
  const auto runs = RunsById(fleet);
  for (const auto& sent : all) {
    const auto found = runs.find(sent.id);
    const std::uint64_t count = found == runs.end() ? 0 : found->second;
    if (sent.answer.whole && sent.answer.status == 200) {
      EXPECT_TRUE(IsGood(sent)) << sent.id << " got another's or a cut answer: "
                                << sent.answer.body.substr(0, 200);
    }
    if (sent.answer.whole && sent.answer.status != 200) {
      EXPECT_GE(sent.answer.status, 400) << sent.id;
      EXPECT_FALSE(sent.answer.Header("copperlead-outcome").empty()) << sent.id;
    }
    if (sent.answer.SaysNotRun()) {
      EXPECT_EQ(count, 0U) << sent.id << " ran: " << sent.answer.body;
    }
    if (sent.kind == RequestKind::kPurchase) {
      EXPECT_LE(count, 1U) << sent.id;
    }
  }
}

Traffic::Traffic(std::vector<SocketAddress> nodes, std::string route,
                 std::vector<RequestKind> kinds, int threads, SendOptions options)
    : nodes_(std::move(nodes)),
      route_(std::move(route)),
      kinds_(std::move(kinds)),
      options_(std::move(options)) {
  for (int thread = 0; thread < threads; ++thread) {
    threads_.emplace_back([this, thread] { Run(thread); });
  }
}

Traffic::~Traffic() { Stop(); }

std::vector<Sent> Traffic::Stop() {
  stopping_ = true;
  for (auto& thread : threads_) {
    if (thread.joinable()) thread.join();
  }
  const std::lock_guard lock(mutex_);
  return std::move(all_);
}

void Traffic::Run(int thread) {
  auto turn = static_cast<std::size_t>(thread);
  while (!stopping_) {
    auto sent = SendOne(nodes_[turn / kinds_.size() % nodes_.size()], route_,
                        kinds_[turn % kinds_.size()], options_);
    ++turn;
    ++count_;
    const std::lock_guard lock(mutex_);
    all_.push_back(std::move(sent));
  }
}

}  // namespace copperlead::standin
