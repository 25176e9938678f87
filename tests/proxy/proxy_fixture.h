// A test fixture with a proxy on an ephemeral port and scripted routing decisions.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>

#include "tests/proxy/raw_socket.h"
#include "tests/proxy/scripted_decider.h"

namespace copperlead {

class ProxyTest : public testing::Test {
 protected:
  void StartProxy(DeciderScript script) {
    settings_.listen = {"127.0.0.1", 0};
    auto started = Resolve([&] {
      return StartProxyServerWith(settings_, MakeScriptedDecider(std::move(script), record_));
    });
    ASSERT_TRUE(started.ok());
    proxy_ = std::move(started.value());
  }

  RawSocket Connect() const { return RawSocket::Connect(proxy_->local_address()); }

  // Sends one request on a new connection and reads the response.
  RawMessage SendRequest(const std::string& request, bool is_head = false) const {
    RawSocket caller = Connect();
    caller.Send(request);
    return caller.Read(is_head);
  }

  ProxySettings settings_;
  std::shared_ptr<DeciderRecord> record_ = std::make_shared<DeciderRecord>();
  std::unique_ptr<ProxyServer> proxy_;
};

inline std::string Get(const std::string& target, const std::string& headers = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: test\r\n" + headers + "\r\n";
}

inline std::string Post(const std::string& target, const std::string& body,
                        const std::string& headers = "") {
  return "POST " + target + " HTTP/1.1\r\nHost: test\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string Ok(const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Responds to every request of a connection with the text that `answer` returns for it.
inline RawServer::Serve Answering(std::function<std::string(const RawMessage&)> answer) {
  return [answer = std::move(answer)](RawSocket& socket, int) {
    for (;;) {
      const RawMessage request = socket.Read();
      if (!request.complete || !socket.Send(answer(request))) return;
    }
  };
}

}  // namespace copperlead
