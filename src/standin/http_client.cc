#include "standin/http_client.h"

#include <httplib.h>

#include <algorithm>
#include <cctype>
#include <thread>

namespace copperlead::standin {
namespace {

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return std::tolower(letter); });
  return text;
}

void SetBody(const HttpCall& call, httplib::Request& request) {
  request.content_length_ = call.body.size();
  request.content_provider_ = [&call](std::size_t offset, std::size_t length,
                                      httplib::DataSink& sink) {
    if (call.upload_pause.count() > 0) std::this_thread::sleep_for(call.upload_pause);
    const auto piece = std::min(length, call.upload_piece);
    return sink.write(call.body.data() + offset, piece);
  };
}

}  // namespace

std::string HttpAnswer::Header(const std::string& lower_case_name) const {
  const auto found = headers.find(lower_case_name);
  return found == headers.end() ? "" : found->second;
}

HttpAnswer Send(const HttpCall& call) {
  httplib::Client client(call.address.ip, call.address.port);
  client.set_connection_timeout(call.timeout);
  client.set_read_timeout(call.timeout);
  client.set_write_timeout(call.timeout);
  client.set_tcp_nodelay(true);
  HttpAnswer answer;
  httplib::Request request;
  request.method = call.method;
  request.path = call.path;
  request.headers.insert(call.headers.begin(), call.headers.end());
  if (call.body.empty()) {
    if (call.method != "GET" && call.method != "HEAD") request.set_header("Content-Length", "0");
  } else {
    SetBody(call, request);
  }
  request.response_handler = [&answer](const httplib::Response& response) {
    answer.status = response.status;
    for (const auto& [name, value] : response.headers) answer.headers[LowerCase(name)] = value;
    return true;
  };
  request.content_receiver = [&answer](const char* data, std::size_t length, std::uint64_t,
                                       std::uint64_t) {
    answer.body.append(data, length);
    return true;
  };
  const auto result = client.send(request);
  answer.whole = static_cast<bool>(result);
  if (!answer.whole) {
    answer.failure = httplib::to_string(result.error());
  }
  return answer;
}

HttpAnswer Get(const SocketAddress& address, const std::string& path) {
  HttpCall call;
  call.address = address;
  call.path = path;
  return Send(call);
}

HttpAnswer Post(const SocketAddress& address, const std::string& path, const std::string& body) {
  HttpCall call;
  call.address = address;
  call.method = "POST";
  call.path = path;
  call.body = body;
  return Send(call);
}

HttpAnswer Put(const SocketAddress& address, const std::string& path, const std::string& body) {
  HttpCall call;
  call.address = address;
  call.method = "PUT";
  call.path = path;
  call.body = body;
  return Send(call);
}

}  // namespace copperlead::standin
