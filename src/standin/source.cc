#include "standin/source.h"

#include <httplib.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

#include "standin/command.h"
#include "standin/content.h"
#include "standin/http_service.h"
#include "standin/options.h"

namespace copperlead::standin {
namespace {

constexpr char kConfigurationPath[] = "/v1/configuration";
constexpr char kMachinesPath[] = "/v1/machines";
constexpr std::size_t kThreads = 64;
constexpr auto kPeerCheckInterval = std::chrono::milliseconds(20);
constexpr int kStatusClosed = 0;  // In the counters: closed without an answer.
constexpr std::size_t kOversizedPiece = 65536;

std::optional<SourceMode> ModeNamed(const std::string& name) {
  static const std::map<std::string, SourceMode> modes = {
      {"up", SourceMode::kUp},           {"down", SourceMode::kDown},
      {"slow", SourceMode::kSlow},       {"hang", SourceMode::kHang},
      {"garbage", SourceMode::kGarbage}, {"oversized", SourceMode::kOversized},
      {"stale", SourceMode::kStale},     {"back", SourceMode::kBack}};
  const auto found = modes.find(name);
  if (found == modes.end()) return std::nullopt;
  return found->second;
}

std::string TagOf(const std::string& content) { return "\"" + HashOf(content) + "\""; }

void AnswerOversized(httplib::Response& response, std::uint64_t size) {
  response.set_content_provider(size, "application/json",
                                [](std::size_t, std::size_t length, httplib::DataSink& sink) {
                                  const std::string piece(std::min(length, kOversizedPiece), ' ');
                                  return sink.write(piece.data(), piece.size());
                                });
}

}  // namespace

void Source::AddPlatformHandlers(httplib::Server& server) {
  const auto answer = [this](const httplib::Request& request, httplib::Response& response) {
    Answer(request, response);
  };
  server.Get(kConfigurationPath, answer);
  server.Get(kMachinesPath, answer);
}

void Source::AddControlHandlers(httplib::Server& server) {
  for (const char* path : {kConfigurationPath, kMachinesPath}) {
    server.Put(path, [this, path](const httplib::Request& request, httplib::Response& response) {
      Put(path, request.body);
      response.set_content("{}", "application/json");
    });
  }
  server.Post(
      "/control/mode", [this](const httplib::Request& request, httplib::Response& response) {
        const auto mode = ModeNamed(request.get_param_value("mode"));
        if (!mode) {
          response.status = 400;
          response.set_content("mode: up, down, slow, hang, garbage, oversized, stale or back\n",
                               "text/plain");
          return;
        }
        SetFault({*mode, std::chrono::milliseconds(NumberParameter(request, "ms", 1000)),
                  NumberParameter(request, "bytes", 67108864),
                  NumberParameter(request, "versions", 1)});
        response.set_content("{}", "application/json");
      });
  server.Get("/control/counters", [this](const httplib::Request&, httplib::Response& response) {
    response.set_content(CountersText(), "application/json");
  });
}

void Source::Put(const std::string& path, std::string content) {
  const std::lock_guard lock(mutex_);
  documents_[path].versions.push_back(std::move(content));
}

void Source::SetFault(const SourceFault& fault) {
  {
    const std::lock_guard lock(mutex_);
    fault_ = fault;
    ++fault_number_;
    for (auto& [path, document] : documents_) document.stale_size = document.versions.size();
  }
  changed_.notify_all();
}

void Source::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  changed_.notify_all();
}

// Waits as the fault says, but not beyond the fault's or the connection's end.
void Source::Delay(const httplib::Request& request, const SourceFault& fault) {
  const bool endless = fault.mode == SourceMode::kHang;
  const auto until = std::chrono::steady_clock::now() + fault.wait;
  const int socket = SocketOf(request);
  std::unique_lock lock(mutex_);
  const auto number = fault_number_;
  while (!stopped_ && fault_number_ == number && !IsPeerGone(socket)) {
    if (!endless && std::chrono::steady_clock::now() >= until) return;
    changed_.wait_for(lock, kPeerCheckInterval);
  }
}

void Source::Answer(const httplib::Request& request, httplib::Response& response) {
  CountRead();
  SourceFault fault;
  {
    const std::lock_guard lock(mutex_);
    fault = fault_;
  }
  if (fault.mode == SourceMode::kSlow || fault.mode == SourceMode::kHang) Delay(request, fault);
  switch (fault.mode) {
    case SourceMode::kDown:
    case SourceMode::kHang:
      CloseConnection(SocketOf(request));
      CountAnswer(request.path, kStatusClosed);
      return;
    case SourceMode::kGarbage:
      response.set_content("{\"revision\": 9, \"table\": \"serv", "application/json");
      break;
    case SourceMode::kOversized:
      AnswerOversized(response, fault.size);
      break;
    default:
      AnswerDocument(request, response);
  }
  CountAnswer(request.path, response.status > 0 ? response.status : 200);
}

void Source::AnswerDocument(const httplib::Request& request, httplib::Response& response) {
  const std::string content = Served(request.path);
  const std::string tag = TagOf(content);
  response.set_header("ETag", tag);
  if (request.get_header_value("If-None-Match") == tag) {
    response.status = 304;
    return;
  }
  response.status = 200;
  response.set_content(content, "application/json");
}

std::string Source::Served(const std::string& path) const {
  const std::lock_guard lock(mutex_);
  const auto found = documents_.find(path);
  if (found == documents_.end() || found->second.versions.empty()) return "{}";
  const auto& versions = found->second.versions;
  std::size_t count = versions.size();
  if (fault_.mode == SourceMode::kStale) count = std::max<std::size_t>(found->second.stale_size, 1);
  if (fault_.mode == SourceMode::kBack) count -= std::min(fault_.versions, count - 1);
  return versions[count - 1];
}

void Source::CountRead() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  const std::lock_guard lock(mutex_);
  ++reads_;
  ++reads_by_second_[std::chrono::duration_cast<std::chrono::seconds>(now).count()];
}

void Source::CountAnswer(const std::string& path, int status) {
  const std::lock_guard lock(mutex_);
  ++counters_[path][status];
}

std::string Source::CountersText() const {
  const std::lock_guard lock(mutex_);
  nlohmann::json reads = nlohmann::json::object();
  for (const auto& [path, by_status] : counters_) {
    for (const auto& [status, count] : by_status) {
      reads[path][status == kStatusClosed ? "closed" : std::to_string(status)] = count;
    }
  }
  std::uint64_t peak = 0;
  for (const auto& [second, count] : reads_by_second_) peak = std::max(peak, count);
  return nlohmann::json{{"reads", reads}, {"total", reads_}, {"peak_reads_per_second", peak}}
      .dump();
}

namespace {

std::optional<std::string> ReadFile(const std::string& name) {
  std::ifstream file(name, std::ios::binary);
  if (!file) {
    std::cerr << "copperlead-standin: cannot read " << name << "\n";
    return std::nullopt;
  }
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

}  // namespace

int RunSource(const std::vector<std::string>& arguments) {
  namespace program_options = boost::program_options;
  program_options::options_description description("copperlead-standin source");
  const auto text = [] { return program_options::value<std::string>(); };
  description.add_options()                                                                //
      ("listen", text()->default_value("127.0.0.1:0"), "IP:PORT of the services")          //
      ("control", text()->default_value("127.0.0.1:0"), "IP:PORT of the control path")     //
      ("configuration", text()->required(), "file served as the first /v1/configuration")  //
      ("machines", text()->required(), "file served as the first /v1/machines");
  program_options::variables_map values;
  if (const auto code = ParseOptions(arguments, description, values)) return *code;
  const auto listen = AddressOption(values, "listen");
  const auto control = AddressOption(values, "control");
  const auto configuration = ReadFile(values["configuration"].as<std::string>());
  const auto machines = ReadFile(values["machines"].as<std::string>());
  if (!listen || !control || !configuration || !machines) return kExitUsage;

  BlockStopSignals();
  Source source;
  source.Put(kConfigurationPath, *configuration);
  source.Put(kMachinesPath, *machines);
  HttpService platform_service(kThreads);
  HttpService control_service(4);
  source.AddPlatformHandlers(platform_service.server());
  source.AddControlHandlers(control_service.server());
  if (!platform_service.Start(*listen) || !control_service.Start(*control)) return kExitUsage;
  std::cout << nlohmann::json{{"listen", ToString(platform_service.address())},
                              {"control", ToString(control_service.address())}}
            << std::endl;
  WaitForStopSignal();
  source.Stop();
  return 0;
}

}  // namespace copperlead::standin
