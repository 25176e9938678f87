#include "admin/admin_server.h"

#include <httplib.h>

#include <thread>
#include <utility>

namespace copperlead {
namespace {

constexpr std::size_t kThreads = 4;
constexpr std::size_t kMaxRequestBody = 4096;
constexpr const char* kJson = "application/json";
constexpr const char* kText = "text/plain; charset=utf-8";

// Reads the revision at the end of /history/<revision>; none when it is out of range.
std::optional<std::uint64_t> RevisionOf(const std::string& digits) {
  constexpr std::size_t kMostDigits = 19;  // Fits 64 bits.
  if (digits.size() > kMostDigits) return std::nullopt;
  return std::stoull(digits);
}

class HttplibAdminServer final : public AdminServer {
 public:
  explicit HttplibAdminServer(AdminSources sources) : sources_(std::move(sources)) {
    server_.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
    server_.set_payload_max_length(kMaxRequestBody);
    server_.set_tcp_nodelay(true);
    AddPaths();
  }
  ~HttplibAdminServer() override { Stop(); }

  bool Bind(const SocketAddress& listen) {
    address_ = listen;
    if (listen.port != 0) return server_.bind_to_port(listen.ip, listen.port);
    const int port = server_.bind_to_any_port(listen.ip);
    address_.port = static_cast<std::uint16_t>(port);
    return port > 0;
  }

  void Start() {
    thread_ = std::thread([this] { server_.listen_after_bind(); });
  }

  SocketAddress local_address() const override { return address_; }

  void Stop() override {
    server_.stop();
    if (thread_.joinable()) thread_.join();
  }

 private:
  void AddPaths() {
    server_.Get("/status", [this](const httplib::Request&, httplib::Response& response) {
      response.set_content(sources_.status(), kJson);
    });
    server_.Get("/metrics", [this](const httplib::Request&, httplib::Response& response) {
      response.set_content(sources_.metrics(), "text/plain; version=0.0.4; charset=utf-8");
    });
    server_.Get("/journal", [this](const httplib::Request&, httplib::Response& response) {
      response.set_content(sources_.journal(), kJson);
    });
    server_.Get(R"(/history/(\d+))",
                [this](const httplib::Request& request, httplib::Response& response) {
                  AnswerHistory(request.matches[1], response);
                });
    server_.Get("/healthz", [](const httplib::Request&, httplib::Response& response) {
      response.set_content("ok\n", kText);
    });
    server_.Get("/readyz", [this](const httplib::Request&, httplib::Response& response) {
      const bool ready = sources_.ready();
      response.status = ready ? 200 : 503;
      response.set_content(ready ? "ready\n" : "not ready\n", kText);
    });
  }

  void AnswerHistory(const std::string& digits, httplib::Response& response) const {
    const auto revision = RevisionOf(digits);
    const auto csv = revision ? sources_.history(*revision) : std::nullopt;
    if (csv) {
      response.set_content(*csv, "text/csv; charset=utf-8");
      return;
    }
    response.status = 404;
    response.set_content("revision " + digits + " is not in this node's history\n", kText);
  }

  const AdminSources sources_;
  httplib::Server server_;
  SocketAddress address_;
  std::thread thread_;
};

}  // namespace

Result<std::unique_ptr<AdminServer>> StartAdminServer(const SocketAddress& listen,
                                                      AdminSources sources) {
  auto server = std::make_unique<HttplibAdminServer>(std::move(sources));
  if (!server->Bind(listen)) {
    return Fail(ErrorKind::kAddressInUse, "admin", ToString(listen) + " cannot be bound");
  }
  server->Start();
  return std::unique_ptr<AdminServer>(std::move(server));
}

}  // namespace copperlead
