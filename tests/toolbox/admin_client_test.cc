#include "toolbox/admin_client.h"

#include <gtest/gtest.h>

#include <atomic>
#include <string>

#include "tests/proxy/raw_socket.h"

namespace copperlead {
namespace {

// Guards against a head that stops, at whichever byte, and counts as an empty page.
TEST(AdminClientTest, AResponseWhoseHeadStopsIsNoAnswer) {
  for (const std::string head :
       {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"}) {
    std::atomic<std::size_t> size = 0;
    RawServer node([&](RawSocket& socket, int) {
      socket.Read();
      socket.Send(head.substr(0, size));
    });
    for (; size < head.size(); ++size) {
      EXPECT_FALSE(Resolve([&] { return FetchFromAdmin(node.address(), "/status"); }).ok()) << size;
    }
  }
}

TEST(AdminClientTest, AStatusOf000IsNoAnswer) {
  RawServer node([](RawSocket& socket, int) {
    socket.Read();
    socket.Send("HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nok");
  });
  EXPECT_FALSE(Resolve([&] { return FetchFromAdmin(node.address(), "/status"); }).ok());
}

}  // namespace
}  // namespace copperlead
