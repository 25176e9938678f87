#include "transport/transport.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <condition_variable>
#include <deque>
#include <future>
#include <mutex>
#include <thread>

#include "tests/transport/test_messages.h"
#include "transport/reactor.h"
#include "transport/socket.h"
#include "transport/stream_receiver.h"

namespace copperlead {
namespace {

constexpr auto kTestTimeout = std::chrono::seconds(20);

struct Delivery {
  SocketAddress from;
  std::shared_ptr<const Message> message;
};

// Queues the messages that a transport delivers.
class Inbox {
 public:
  Transport::Receiver receiver() {
    return [this](const SocketAddress& from, std::shared_ptr<const Message> message) {
      const std::lock_guard lock(mutex_);
      deliveries_.push_back({from, std::move(message)});
      changed_.notify_all();
    };
  }

  // @return the next delivery; an empty one when none arrives within kTestTimeout.
  Delivery Next() {
    std::unique_lock lock(mutex_);
    if (!changed_.wait_for(lock, kTestTimeout, [&] { return !deliveries_.empty(); })) return {};
    Delivery delivery = deliveries_.front();
    deliveries_.pop_front();
    return delivery;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Delivery> deliveries_;
};

template <class Condition>
bool WaitFor(Condition condition) {
  const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

const SocketAddress kAnyPort{"127.0.0.1", 0};

std::unique_ptr<Transport> Start(const FleetKeys& keys, Transport::Receiver receiver) {
  auto outcome = Resolve([&] { return StartTransport(kAnyPort, keys, std::move(receiver)); });
  return outcome ? std::move(outcome.value()) : nullptr;
}

Message MessageFrom(const Transport& transport, MessageBody body) {
  Message message = MakeMessage(std::move(body));
  message.sender.record.address = transport.local_address();
  return message;
}

// Opens a blocking client connection.
Socket Connect(const SocketAddress& address) {
  const auto native = ToNative(address);
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (connect(socket.descriptor(), native->pointer(), native->size) != 0) return Socket();
  return socket;
}

bool WriteAll(const Socket& socket, std::string_view bytes) {
  return send(socket.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(bytes.size());
}

// @return true when the peer closes the connection within the receive timeout of 20 seconds.
bool WaitForClose(const Socket& socket) {
  timeval limit{20, 0};
  setsockopt(socket.descriptor(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  char byte = 0;
  const ssize_t size = recv(socket.descriptor(), &byte, 1, 0);
  return size == 0 || (size < 0 && errno == ECONNRESET);
}

class TransportTest : public testing::Test {
 protected:
  void SetUp() override {
    left_ = Start(keys_, left_inbox_.receiver());
    right_ = Start(keys_, right_inbox_.receiver());
    ASSERT_TRUE(left_ && right_);
  }

  // Checks that a message sent as a datagram and a large one sent over TCP both arrive.
  void ExpectDelivers() {
    left_->Send(right_->local_address(), MessageFrom(*left_, Ping{77, {}}));
    EXPECT_TRUE(right_inbox_.Next().message);
    left_->Send(right_->local_address(), MessageFrom(*left_, MakePush(20'000)));
    EXPECT_TRUE(right_inbox_.Next().message);
  }

  const FleetKeys keys_ = MakeKeys('k');
  Inbox left_inbox_;
  Inbox right_inbox_;
  std::unique_ptr<Transport> left_;
  std::unique_ptr<Transport> right_;
};

TEST_F(TransportTest, CarriesSmallAndLargeMessagesBothWays) {
  constexpr std::size_t kLarge = 2 * 1024 * 1024;
  for (std::uint32_t round = 1; round <= 3; ++round) {
    left_->Send(right_->local_address(), MessageFrom(*left_, Ping{round, {}}));
    const Delivery ping = right_inbox_.Next();
    ASSERT_TRUE(ping.message);
    EXPECT_EQ(std::get<Ping>(ping.message->body).number, round);
    EXPECT_EQ(ping.from, left_->local_address());
    right_->Send(ping.from, MessageFrom(*right_, MakePush(kLarge + round)));
    const Delivery push = left_inbox_.Next();
    ASSERT_TRUE(push.message);
    EXPECT_EQ(std::get<Push>(push.message->body).transfer.payload->size(), kLarge + round);
    EXPECT_EQ(push.from, right_->local_address())
        << "must be the sender's listening address, not the end of the TCP connection";
  }
  // The last push may arrive before its sender's thread has counted it.
  EXPECT_TRUE(WaitFor([&] { return right_->counters().messages_sent >= 3; }));
  EXPECT_EQ(right_->counters().messages_sent, 3U);
  EXPECT_EQ(right_->counters().messages_received, 3U);
  EXPECT_GT(left_->counters().bytes_received, 3 * kLarge);
  EXPECT_EQ(left_->counters().bad_frames + left_->counters().unseal_failures, 0U);
}

TEST_F(TransportTest, CountsAndDropsInvalidFramesOnBothSockets) {
  const SocketAddress target = right_->local_address();
  const auto native = ToNative(target);
  const Socket datagrams(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  const std::string other_key = SealFrame(MakeKeys('z'), EncodeMessage(MakeMessage(Ping{1, {}})));
  const std::string not_a_message = SealFrame(keys_, "not a message");
  const std::string too_long(kMaxDatagramBytes + 1, 'x');
  const std::vector<std::string> frames = {"garbage", "", other_key, not_a_message, too_long};
  for (const std::string& frame : frames) {
    sendto(datagrams.descriptor(), frame.data(), frame.size(), 0, native->pointer(), native->size);
  }
  EXPECT_TRUE(WaitFor([&] { return right_->counters().bad_frames == 4; }));
  EXPECT_TRUE(WaitFor([&] { return right_->counters().unseal_failures == 1; }));
  for (const std::string& frame :
       {std::string("GET / HTTP/1.1\r\n\r\n"), other_key, not_a_message}) {
    const Socket stream = Connect(target);
    ASSERT_TRUE(WriteAll(stream, frame));
    EXPECT_TRUE(WaitForClose(stream));
  }
  EXPECT_TRUE(WaitFor([&] { return right_->counters().bad_frames == 6; }));
  EXPECT_EQ(right_->counters().unseal_failures, 2U);
  EXPECT_EQ(right_->counters().messages_received, 0U);
  ExpectDelivers();
}

TEST_F(TransportTest, IdleAndSlowConnectionsDoNotBlockDelivery) {
  std::vector<Socket> connections;
  const std::string header = SealFrame(keys_, std::string(1000, 'x')).substr(0, 20);
  for (int count = 0; count < 300; ++count) {
    connections.push_back(Connect(right_->local_address()));
    ASSERT_TRUE(connections.back().open());
    if (count % 2 == 0) WriteAll(connections.back(), header);
  }
  ExpectDelivers();
  EXPECT_TRUE(WaitFor([&] { return right_->counters().rejected_streams >= 44; }))
      << "44 of 300 connections exceed the limit of 256";
  for (const Socket& connection : connections) EXPECT_TRUE(WaitForClose(connection));
  ExpectDelivers();
}

TEST_F(TransportTest, CountsFailuresForAStoppedPeerAndDeliversAfterItsRestart) {
  const SocketAddress address = right_->local_address();
  ExpectDelivers();
  right_->Stop();
  const std::uint64_t before = left_->counters().send_failures;
  left_->Send(address, MessageFrom(*left_, MakePush(50'000)));
  EXPECT_TRUE(WaitFor([&] { return left_->counters().send_failures > before; }));
  Inbox inbox;
  auto outcome = Resolve([&] { return StartTransport(address, keys_, inbox.receiver()); });
  ASSERT_TRUE(outcome.ok()) << ToString(outcome.error());
  left_->Send(address, MessageFrom(*left_, MakePush(50'000)));
  EXPECT_TRUE(inbox.Next().message);
}

// Guards against messages that are lost because they are written to a connection whose closing by
// the peer has not been handled yet.
TEST_F(TransportTest, AMessageBehindTheClosingOfItsConnectionGoesOverANewOne) {
  std::promise<void> busy;
  std::promise<void> release;
  const auto busy_sender = Start(keys_, [&](const SocketAddress&, const auto&) {
    busy.set_value();
    release.get_future().wait();
  });
  ASSERT_TRUE(busy_sender);
  const SocketAddress address = right_->local_address();
  busy_sender->Send(address, MessageFrom(*busy_sender, MakePush(50'000)));
  ASSERT_TRUE(right_inbox_.Next().message);
  left_->Send(busy_sender->local_address(), MessageFrom(*left_, Ping{1, {}}));
  busy.get_future().wait();
  right_->Stop();
  Inbox inbox;
  auto outcome = Resolve([&] { return StartTransport(address, keys_, inbox.receiver()); });
  ASSERT_TRUE(outcome.ok()) << ToString(outcome.error());
  busy_sender->Send(address, MessageFrom(*busy_sender, MakePush(50'000)));
  release.set_value();
  EXPECT_TRUE(inbox.Next().message);
}

TEST_F(TransportTest, StopDeliversQueuedMessagesAndIsIdempotent) {
  for (int count = 0; count < 8; ++count) {
    left_->Send(right_->local_address(), MessageFrom(*left_, MakePush(1'000'000)));
  }
  left_->Stop();
  left_->Stop();
  for (int count = 0; count < 8; ++count) EXPECT_TRUE(right_inbox_.Next().message);
  left_->Send(right_->local_address(), MessageFrom(*left_, Ping{}));
  EXPECT_EQ(left_->counters().send_failures, 1U);
}

TEST_F(TransportTest, FullQueuesDropTheOldestAndNeverBlock) {
  // This listener never accepts a connection from its backlog and never reads.
  const Socket listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const auto any = ToNative(kAnyPort);
  ASSERT_EQ(bind(listener.descriptor(), any->pointer(), any->size), 0);
  ASSERT_EQ(listen(listener.descriptor(), 1), 0);
  const Message message = MessageFrom(*left_, MakePush(4'000'000));
  for (int count = 0; count < 40; ++count) left_->Send(LocalAddress(listener), message);
  EXPECT_TRUE(WaitFor([&] { return left_->counters().send_failures >= 24; }));
  ExpectDelivers();
}

TEST_F(TransportTest, ReportsAddressInUseAndBadAddress) {
  const auto in_use =
      Resolve([&] { return StartTransport(right_->local_address(), keys_, Inbox().receiver()); });
  ASSERT_FALSE(in_use.ok());
  EXPECT_EQ(in_use.error().kind, ErrorKind::kAddressInUse);
  EXPECT_EQ(in_use.error().place, ToString(right_->local_address()));
  const auto bad = Resolve([&] {
    return StartTransport({"localhost", 0}, keys_, Inbox().receiver());
  });
  ASSERT_FALSE(bad.ok());
  EXPECT_EQ(bad.error().kind, ErrorKind::kBadAddress);
}

TEST(SharedReactorTest, CarriesManyTransportsAndOutlivesThem) {
  auto reactor = Resolve([] { return Reactor::Start(); });
  ASSERT_TRUE(reactor.ok());
  const FleetKeys keys = MakeKeys('k');
  Inbox inbox;
  std::vector<std::unique_ptr<Transport>> transports;
  for (int count = 0; count < 50; ++count) {
    auto outcome =
        Resolve([&] { return StartTransport(kAnyPort, keys, inbox.receiver(), reactor.value()); });
    ASSERT_TRUE(outcome.ok());
    transports.push_back(std::move(outcome.value()));
  }
  for (std::size_t index = 1; index < transports.size(); ++index) {
    transports[0]->Send(transports[index]->local_address(),
                        MessageFrom(*transports[0], MakePush(index % 2 == 0 ? 10 : 10'000)));
  }
  for (std::size_t index = 1; index < transports.size(); ++index) {
    EXPECT_TRUE(inbox.Next().message);
  }
  transports.clear();
}

TEST(StreamReceiverTest, LimitsBufferedBytes) {
  auto reactor = Resolve([] { return Reactor::Start(); }).value();
  auto bound = Resolve([] { return BindSockets(kAnyPort); });
  ASSERT_TRUE(bound.ok());
  StreamReceiverLimits limits;
  limits.buffered_bytes = 200'000;
  TransportCounters counters;
  const auto receiver =
      std::make_shared<StreamReceiver>(*reactor, std::move(bound.value().listener), limits,
                                       counters, [](std::string_view) { return true; });
  reactor->RunAndWait([&] { receiver->Open(); });
  const std::string part = SealFrame(MakeKeys('k'), std::string(400'000, 'x')).substr(0, 150'000);
  const Socket first = Connect(bound.value().address);
  const Socket second = Connect(bound.value().address);
  WriteAll(first, part);
  WriteAll(second, part);
  EXPECT_TRUE(WaitFor([&] { return counters.rejected_streams == 1; }));
  reactor->RunAndWait([&] { receiver->Close(); });
}

}  // namespace
}  // namespace copperlead
