#include "toolbox/admin_client.h"

#include <httplib.h>

namespace copperlead {
namespace {

constexpr time_t kConnectTimeoutSeconds = 2;
constexpr time_t kReadTimeoutSeconds = 5;

}  // namespace

Result<std::string> FetchFromAdmin(const SocketAddress& admin, const std::string& path) {
  httplib::Client client(admin.ip, admin.port);
  client.set_connection_timeout(kConnectTimeoutSeconds);
  client.set_read_timeout(kReadTimeoutSeconds);
  const std::string place = ToString(admin) + path;
  auto answer = client.Get(path);
  if (!answer) {
    return Fail(ErrorKind::kUnreachable, place,
                "no answer (" + httplib::to_string(answer.error()) +
                    "); is this the node's --admin address, and is the node running?");
  }
  if (answer->status != 200) {
    const std::string first_line = answer->body.substr(0, answer->body.find('\n'));
    return Fail(ErrorKind::kUnexpectedStatus, place,
                "status " + std::to_string(answer->status) + ": " + first_line);
  }
  return std::move(answer->body);
}

}  // namespace copperlead
