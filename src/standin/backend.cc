#include "standin/backend.h"

#include <httplib.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>

#include "standin/command.h"
#include "standin/content.h"
#include "standin/http_service.h"
#include "standin/options.h"

namespace copperlead::standin {
namespace {

constexpr std::size_t kThreads = 192;
constexpr auto kPeerCheckInterval = std::chrono::milliseconds(10);
constexpr std::size_t kDownloadPiece = 65536;
constexpr char kRequestIdHeader[] = "copperlead-request-id";

std::string RequestIdOf(const httplib::Request& request) {
  if (request.has_header(kRequestIdHeader)) return request.get_header_value(kRequestIdHeader);
  return request.get_header_value("x-request-id");
}

std::optional<BackendMode> ModeNamed(const std::string& name) {
  static const std::map<std::string, BackendMode> modes = {
      {"up", BackendMode::kUp},           {"shed", BackendMode::kShed},
      {"late", BackendMode::kLate},       {"freeze", BackendMode::kFreeze},
      {"crossed", BackendMode::kCrossed}, {"error", BackendMode::kError}};
  const auto found = modes.find(name);
  if (found == modes.end()) return std::nullopt;
  return found->second;
}

// @return N of a path that ends in /download/N.
std::optional<std::uint64_t> DownloadLength(const std::string& path) {
  static const std::string marker = "/download/";
  const auto place = path.rfind(marker);
  if (place == std::string::npos) return std::nullopt;
  return std::strtoull(path.c_str() + place + marker.size(), nullptr, 10);
}

std::string StrayAnswer(const std::string& id) {
  const std::string body = "{\"stray\": true, \"request_id\": \"" + id + "\"}";
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

class Backend::Slot {
 public:
  explicit Slot(Backend& backend) : backend_(backend) {}
  ~Slot() {
    Release();
    const std::lock_guard lock(backend_.mutex_);
    --backend_.unfinished_;
    backend_.changed_.notify_all();
  }
  Slot(const Slot&) = delete;
  Slot& operator=(const Slot&) = delete;

  // The work is done; the answer may still be on its way.
  void Release() {
    const std::lock_guard lock(backend_.mutex_);
    if (!held_) return;
    held_ = false;
    --backend_.slots_taken_;
  }

 private:
  Backend& backend_;
  bool held_ = true;  // Guarded by backend_.mutex_.
};

void Backend::AddHandlers(httplib::Server& server) {
  const auto plain = [this](const httplib::Request& request, httplib::Response& response) {
    Handle(request, response, nullptr);
  };
  const auto streaming = [this](const httplib::Request& request, httplib::Response& response,
                                const httplib::ContentReader& reader) {
    Handle(request, response, &reader);
  };
  server.Get("/health", [this](const httplib::Request&, httplib::Response& response) {
    const std::lock_guard lock(mutex_);
    response.status = health_override_ != 0 ? health_override_ : (draining_ ? 503 : 200);
  });
  server.Get(".*", plain);
  server.Options(".*", plain);
  server.Post(".*", streaming);
  server.Put(".*", streaming);
  server.Patch(".*", streaming);
  server.Delete(".*", streaming);
}

void Backend::Handle(const httplib::Request& request, httplib::Response& response,
                     const httplib::ContentReader* reader) {
  const std::string id = RequestIdOf(request);
  journal_.Received(id, request.method);
  const auto fault = TakeFault();
  const auto slot = TakeSlot(fault);
  if (!slot) {
    Refuse(request, response, reader);
    return;
  }
  Body body;
  BodyHash hash;
  const auto receive = [&](const char* data, std::size_t length) {
    hash.Add({data, length});
    body.bytes += length;
    return true;
  };
  if (reader != nullptr && !(*reader)(receive)) {
    journal_.Incomplete(id);
    CloseConnection(SocketOf(request));
    return;
  }
  body.hash = hash.Text();
  if (fault.mode == BackendMode::kFreeze) WaitWhileFrozen();
  const auto runs = journal_.Run(id, body.bytes, body.hash);
  if (!Work(request, fault)) {
    journal_.Cancelled(id);
    response.status = 504;
    response.set_header("copperlead-outcome", "unknown");
    return;
  }
  Answer(request, response, body, runs, fault, slot);
}

BackendFault Backend::TakeFault() {
  const std::lock_guard lock(mutex_);
  if (fault_.mode == BackendMode::kUp || fault_.times == 0) return {};
  if (fault_.times != UINT64_MAX) --fault_.times;
  return fault_;
}

std::shared_ptr<Backend::Slot> Backend::TakeSlot(const BackendFault& fault) {
  const std::lock_guard lock(mutex_);
  if (draining_ || fault.mode == BackendMode::kShed) return nullptr;
  if (slots_taken_ >= settings_.slots) return nullptr;
  ++slots_taken_;
  ++unfinished_;
  ++started_;
  return std::make_shared<Slot>(*this);
}

void Backend::Refuse(const httplib::Request& request, httplib::Response& response,
                     const httplib::ContentReader* reader) {
  journal_.Refused(RequestIdOf(request));
  response.status = 503;
  response.set_header("copperlead-outcome", "not-run");
  response.set_header("Retry-After", "1");
  response.set_header("copperlead-load", LoadText());
  // The body must leave the connection, or it would be read as the next request.
  if (reader != nullptr) (*reader)([](const char*, std::size_t) { return true; });
}

// @return false when the caller left or its deadline passed before the work was done.
bool Backend::Work(const httplib::Request& request, const BackendFault& fault) {
  const auto now = std::chrono::steady_clock::now();
  auto work = settings_.work;
  {
    const std::lock_guard lock(mutex_);
    if (started_ <= settings_.slots) work += settings_.cold_start;
  }
  if (fault.mode == BackendMode::kLate) {
    WaitUntil(now + work + fault.wait, -1);
    return true;
  }
  if (work.count() == 0) return true;
  auto until = now + work;
  bool in_time = true;
  if (request.has_header("copperlead-deadline-ms")) {
    const auto text = request.get_header_value("copperlead-deadline-ms");
    const auto deadline = now + std::chrono::milliseconds(std::strtoll(text.c_str(), nullptr, 10));
    in_time = until <= deadline;
    until = std::min(until, deadline);
  }
  return WaitUntil(until, SocketOf(request)) && in_time;
}

// @param socket where the caller's leaving ends the wait; -1: nothing does.
// @return false when the caller left.
bool Backend::WaitUntil(std::chrono::steady_clock::time_point until, int socket) {
  std::unique_lock lock(mutex_);
  while (std::chrono::steady_clock::now() < until) {
    if (socket >= 0 && IsPeerGone(socket)) return false;
    changed_.wait_until(lock,
                        std::min(until, std::chrono::steady_clock::now() + kPeerCheckInterval));
  }
  return true;
}

void Backend::WaitWhileFrozen() {
  std::unique_lock lock(mutex_);
  const auto number = fault_number_;
  changed_.wait(lock, [&] { return fault_number_ != number || draining_; });
}

void Backend::Answer(const httplib::Request& request, httplib::Response& response, const Body& body,
                     std::uint64_t runs, const BackendFault& fault,
                     const std::shared_ptr<Slot>& slot) {
  const std::string id = RequestIdOf(request);
  response.status = fault.mode == BackendMode::kError ? 500 : 200;
  response.set_header("copperlead-load", LoadText());
  const auto length = DownloadLength(request.path);
  if (length) {
    const std::chrono::milliseconds pause(NumberParameter(request, "pause_ms", 0));
    const auto provider = [id, slot, pause, total = *length](std::size_t offset, std::size_t,
                                                             httplib::DataSink& sink) {
      const auto piece = std::min<std::uint64_t>(kDownloadPiece, total - offset);
      if (offset + piece == total) slot->Release();
      if (pause.count() > 0) std::this_thread::sleep_for(pause);
      const auto content = ContentFor(id, offset, piece);
      return sink.write(content.data(), content.size());
    };
    if (!request.has_param("chunked")) {
      response.set_content_provider(*length, "application/octet-stream", provider);
      return;
    }
    response.set_chunked_content_provider(
        "application/octet-stream",
        [provider, total = *length](std::size_t offset, httplib::DataSink& sink) {
          if (offset < total && !provider(offset, 0, sink)) return false;
          if (offset + kDownloadPiece >= total) sink.done();
          return true;
        });
    return;
  }
  nlohmann::json content = {{"id", settings_.id},     {"request_id", id},
                            {"runs", runs},           {"body_bytes", body.bytes},
                            {"body_hash", body.hash}, {"method", request.method},
                            {"path", request.path}};
  if (request.has_param("echo_headers")) {
    for (const auto& [name, value] : request.headers) content["headers"][name] = value;
  }
  std::string text = content.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  const std::string stray = fault.mode == BackendMode::kCrossed ? StrayAnswer(id) : "";
  slot->Release();
  response.set_content_provider(
      text.size(), "application/json",
      [text, stray, slot, wait = fault.wait](std::size_t, std::size_t, httplib::DataSink& sink) {
        if (stray.empty() || wait.count() > 0) {
          if (!sink.write(text.data(), text.size())) return false;
          if (stray.empty()) return true;
          std::this_thread::sleep_for(wait);
          return sink.write(stray.data(), stray.size());
        }
        const std::string both = text + stray;
        return sink.write(both.data(), both.size());
      });
}

std::string Backend::LoadText() {
  const std::lock_guard lock(mutex_);
  if (!load_override_.empty()) return load_override_;
  return std::to_string(slots_taken_) + "/" + std::to_string(settings_.slots);
}

void Backend::SetFault(const BackendFault& fault) {
  {
    const std::lock_guard lock(mutex_);
    fault_ = fault;
    ++fault_number_;
  }
  changed_.notify_all();
}

void Backend::StartDraining() {
  {
    const std::lock_guard lock(mutex_);
    draining_ = true;
  }
  changed_.notify_all();
}

void Backend::WaitUntilIdle() {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [this] { return unfinished_ == 0; });
}

void Backend::AddControlHandlers(httplib::Server& server) {
  server.Post(
      "/control/mode", [this](const httplib::Request& request, httplib::Response& response) {
        const auto mode = ModeNamed(request.get_param_value("mode"));
        if (!mode) {
          response.status = 400;
          response.set_content("mode: up, shed, late, freeze, crossed or error\n", "text/plain");
          return;
        }
        SetFault({*mode, std::chrono::milliseconds(NumberParameter(request, "ms", 0)),
                  NumberParameter(request, "times", UINT64_MAX)});
      });
  server.Post("/control/lie", [this](const httplib::Request& request, httplib::Response&) {
    const std::lock_guard lock(mutex_);
    load_override_ = request.get_param_value("load");
    health_override_ = static_cast<int>(NumberParameter(request, "health", 0));
  });
  server.Post("/control/drain", [this](const httplib::Request& request, httplib::Response&) {
    StartDraining();
    if (NumberParameter(request, "stop", 1) != 0) kill(getpid(), SIGTERM);
  });
  server.Get("/control/journal", [this](const httplib::Request&, httplib::Response& response) {
    response.set_content(journal_.Text(), "application/json");
  });
  server.Delete("/control/journal",
                [this](const httplib::Request&, httplib::Response&) { journal_.Clear(); });
}

int RunBackend(const std::vector<std::string>& arguments) {
  namespace program_options = boost::program_options;
  program_options::options_description description("copperlead-standin backend");
  const auto text = [] { return program_options::value<std::string>(); };
  const auto number = [](std::uint32_t value) {
    return program_options::value<std::uint32_t>()->default_value(value);
  };
  description.add_options()                                                              //
      ("listen", text()->default_value("127.0.0.1:0"), "IP:PORT of the service")         //
      ("control", text()->default_value("127.0.0.1:0"), "IP:PORT of the control path")   //
      ("id", text()->required(), "the instance's name")                                  //
      ("slots", number(6), "requests worked on at a time")                               //
      ("cold-start-ms", number(0), "added to each of the first requests, one per slot")  //
      ("work-ms", number(0), "time that one request takes")                              //
      ("drain-ms", number(300), "after SIGTERM: refuse new work this long, finish, then stop");
  program_options::variables_map values;
  if (const auto code = ParseOptions(arguments, description, values)) return *code;
  const auto listen = AddressOption(values, "listen");
  const auto control = AddressOption(values, "control");
  if (!listen || !control) return kExitUsage;
  const auto milliseconds = [&](const char* option) {
    return std::chrono::milliseconds(values[option].as<std::uint32_t>());
  };

  BlockStopSignals();
  Backend backend({values["id"].as<std::string>(), values["slots"].as<std::uint32_t>(),
                   milliseconds("cold-start-ms"), milliseconds("work-ms")});
  HttpService service(kThreads);
  HttpService control_service(4);
  backend.AddHandlers(service.server());
  backend.AddControlHandlers(control_service.server());
  if (!service.Start(*listen) || !control_service.Start(*control)) return kExitUsage;
  std::cout << nlohmann::json{{"listen", ToString(service.address())},
                              {"control", ToString(control_service.address())}}
            << std::endl;
  WaitForStopSignal();
  backend.StartDraining();
  std::this_thread::sleep_for(milliseconds("drain-ms"));
  backend.WaitUntilIdle();
  return 0;
}

}  // namespace copperlead::standin
