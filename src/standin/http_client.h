// One HTTP call, for the demo and for tests.
#pragma once

#include <chrono>
#include <map>
#include <string>

#include "base/address.h"

namespace copperlead::standin {

using HttpHeaders = std::map<std::string, std::string>;

struct HttpCall {
  SocketAddress address;
  std::string method = "GET";
  std::string path = "/";
  HttpHeaders headers;
  std::string body;
  std::chrono::milliseconds timeout{30000};   // Longest wait without progress.
  std::size_t upload_piece = 65536;           // Bytes of the body written at a time.
  std::chrono::milliseconds upload_pause{0};  // Before each piece.
};

struct HttpAnswer {
  bool whole = false;   // False: no answer, or one that was cut short.
  int status = 0;       // 0: no head was received.
  HttpHeaders headers;  // Names in lower case.
  std::string body;
  std::string failure;  // The library's word when not whole.

  // @return the header's value; empty when it is absent.
  std::string Header(const std::string& lower_case_name) const;
  bool SaysNotRun() const { return Header("copperlead-outcome") == "not-run"; }
};

// Sends on a new connection. Any thread.
HttpAnswer Send(const HttpCall& call);

// Shorthands.
HttpAnswer Get(const SocketAddress& address, const std::string& path);
HttpAnswer Post(const SocketAddress& address, const std::string& path,
                const std::string& body = "");
HttpAnswer Put(const SocketAddress& address, const std::string& path, const std::string& body);

}  // namespace copperlead::standin
