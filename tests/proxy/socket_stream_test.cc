// The end of a connection as SocketStream and BodyReader report it, on real sockets.
#include "proxy/socket_stream.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <functional>
#include <future>

#include "proxy/body_reader.h"
#include "tests/proxy/raw_socket.h"

namespace copperlead {
namespace {

constexpr IoLimits kLimits{std::chrono::seconds(5), std::nullopt};

// A connection whose other side has sent a part of a body and then ended it.
class EndedConnection {
 public:
  explicit EndedConnection(const std::function<void(RawSocket&)>& end)
      : peer_([&](RawSocket& socket, int) {
          socket.Send("part");
          end(socket);
          ended_.set_value();
        }),
        connected_(RawSocket::Connect(peer_.address())),
        stream_(dup(connected_.fd())) {
    ended_.get_future().wait();
  }

  SocketStream& stream() { return stream_; }

  BodyStatus ReadBodyUntilClose() {
    BodyReader reader(stream_, {BodyKind::kUntilClose, 0});
    for (;;) {
      const BodyStep step = reader.Next(kLimits);
      if (step.status != BodyStatus::kPiece) return step.status;
    }
  }

 private:
  std::promise<void> ended_;
  RawServer peer_;
  RawSocket connected_;
  SocketStream stream_;
};

void Reset(RawSocket& socket) { socket.Reset(); }

void EndThenReset(RawSocket& socket) {
  socket.EndSending();
  socket.Reset();
}

// Guards against a partial response that is relayed as a complete one: the write of the request
// takes the error of the reset, and the read after it finds an end that looks orderly.
TEST(SocketStream, ABodyThatAResetCutsOffIsIncompleteAlsoAfterAFailedWrite) {
  EndedConnection connection(Reset);
  ASSERT_TRUE(AwaitFailed(connection.stream().fd()));
  EXPECT_EQ(connection.stream().Write({"more of the request"}, kLimits), IoStatus::kReset);
  EXPECT_EQ(connection.ReadBodyUntilClose(), BodyStatus::kFailed);
}

TEST(SocketStream, ABodyThatAResetCutsOffIsIncomplete) {
  EndedConnection connection(Reset);
  ASSERT_TRUE(AwaitFailed(connection.stream().fd()));
  EXPECT_EQ(connection.ReadBodyUntilClose(), BodyStatus::kFailed);
}

TEST(SocketStream, ABodyThatEndsBeforeAResetIsComplete) {
  EndedConnection connection(EndThenReset);
  ASSERT_TRUE(AwaitFailed(connection.stream().fd()));
  EXPECT_EQ(connection.stream().Write({"more of the request"}, kLimits), IoStatus::kReset);
  EXPECT_EQ(connection.ReadBodyUntilClose(), BodyStatus::kEnd);
}

}  // namespace
}  // namespace copperlead
