#include "transport/transport.h"

#include <optional>
#include <thread>

#include "transport/datagram_channel.h"
#include "transport/reactor.h"
#include "transport/stream_receiver.h"
#include "transport/stream_sender.h"

namespace copperlead {
namespace {

constexpr Duration kDrainTimeout = std::chrono::seconds(1);
constexpr Duration kDrainPollInterval = Milliseconds(5);

class NodeTransport : public Transport {
 public:
  NodeTransport(BoundSockets sockets, FleetKeys keys, Receiver receiver,
                std::shared_ptr<Reactor> reactor, bool owns_reactor);
  ~NodeTransport() override;

  void Open();
  void Send(const SocketAddress& to, const Message& message) override;
  SocketAddress local_address() const override { return address_; }
  const TransportCounters& counters() const override { return counters_; }
  void Stop() override;

 private:
  // @param from nullopt for TCP, where the sender's record states the address.
  // @return false when the frame is invalid or the transport is stopping.
  bool Receive(const std::optional<SocketAddress>& from, std::string_view frame);
  void CountFailure(const Error& error);
  void WaitUntilIdle() const;

  const SocketAddress address_;
  const FleetKeys keys_;
  const Receiver receiver_;
  const std::shared_ptr<Reactor> reactor_;
  const bool owns_reactor_;
  TransportCounters counters_;
  DatagramChannel datagrams_;
  const std::shared_ptr<StreamReceiver> stream_receiver_;
  const std::shared_ptr<StreamSender> stream_sender_;
  std::atomic<bool> stopping_{false};
};

NodeTransport::NodeTransport(BoundSockets sockets, FleetKeys keys, Receiver receiver,
                             std::shared_ptr<Reactor> reactor, bool owns_reactor)
    : address_(std::move(sockets.address)),
      keys_(std::move(keys)),
      receiver_(std::move(receiver)),
      reactor_(std::move(reactor)),
      owns_reactor_(owns_reactor),
      datagrams_(*reactor_, std::move(sockets.datagram), counters_,
                 [this](const SocketAddress& from, std::string_view datagram) {
                   Receive(from, datagram);
                 }),
      stream_receiver_(std::make_shared<StreamReceiver>(
          *reactor_, std::move(sockets.listener), StreamReceiverLimits(), counters_,
          [this](std::string_view frame) { return Receive(std::nullopt, frame); })),
      stream_sender_(std::make_shared<StreamSender>(*reactor_, StreamSenderLimits(), counters_)) {}

NodeTransport::~NodeTransport() {
  NodeTransport::Stop();
  reactor_->RunAndWait([] {});  // Waits for the return of a receiver that called Stop() itself.
  if (owns_reactor_) reactor_->Stop();
}

void NodeTransport::Open() {
  reactor_->RunAndWait([this] {
    datagrams_.Open();
    stream_receiver_->Open();
  });
}

void NodeTransport::Send(const SocketAddress& to, const Message& message) {
  std::string frame = SealFrame(keys_, EncodeMessage(message));
  if (stopping_ || frame.empty() || frame.size() > kMaxFrameBytes) {
    ++counters_.send_failures;
    return;
  }
  counters_.submitted_bytes_by_body.at(message.body.index()) += frame.size();
  if (frame.size() <= kMaxDatagramBytes) return datagrams_.Send(to, frame);
  stream_sender_->Send(to, std::move(frame));
}

bool NodeTransport::Receive(const std::optional<SocketAddress>& from, std::string_view frame) {
  if (stopping_) return false;
  Outcome<std::shared_ptr<const Message>> outcome =
      Resolve([&]() -> Result<std::shared_ptr<const Message>> {
        BOOST_LEAF_AUTO(encoded, OpenFrame(keys_, frame));
        BOOST_LEAF_AUTO(message, DecodeMessage(encoded));
        return std::make_shared<const Message>(std::move(message));
      });
  if (!outcome) {
    CountFailure(outcome.error());
    return false;
  }
  ++counters_.messages_received;
  const std::shared_ptr<const Message>& message = outcome.value();
  receiver_(from ? *from : message->sender.record.address, message);
  return true;
}

void NodeTransport::CountFailure(const Error& error) {
  const bool unsealed = error.kind == ErrorKind::kUnsealFailed;
  ++(unsealed ? counters_.unseal_failures : counters_.bad_frames);
}

void NodeTransport::Stop() {
  if (stopping_.exchange(true)) return;
  if (!reactor_->IsCurrentThread()) WaitUntilIdle();
  reactor_->RunAndWait([this] {
    datagrams_.Close();
    stream_receiver_->Close();
    stream_sender_->Close();
  });
  if (owns_reactor_ && !reactor_->IsCurrentThread()) reactor_->Stop();
}

void NodeTransport::WaitUntilIdle() const {
  const Timestamp deadline = SteadyClock().Now() + kDrainTimeout;
  while (!stream_sender_->IsIdle() && SteadyClock().Now() < deadline) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
}

Result<std::unique_ptr<Transport>> Start(const SocketAddress& listen, const FleetKeys& keys,
                                         Transport::Receiver receiver,
                                         std::shared_ptr<Reactor> reactor, bool owns_reactor) {
  BOOST_LEAF_AUTO(sockets, BindSockets(listen));
  auto transport = std::make_unique<NodeTransport>(std::move(sockets), keys, std::move(receiver),
                                                   std::move(reactor), owns_reactor);
  transport->Open();
  return std::unique_ptr<Transport>(std::move(transport));
}

}  // namespace

Result<std::unique_ptr<Transport>> StartTransport(const SocketAddress& listen,
                                                  const FleetKeys& keys,
                                                  Transport::Receiver receiver) {
  BOOST_LEAF_AUTO(reactor, Reactor::Start());
  return Start(listen, keys, std::move(receiver), std::move(reactor), true);
}

Result<std::unique_ptr<Transport>> StartTransport(const SocketAddress& listen,
                                                  const FleetKeys& keys,
                                                  Transport::Receiver receiver,
                                                  std::shared_ptr<Reactor> reactor) {
  return Start(listen, keys, std::move(receiver), std::move(reactor), false);
}

}  // namespace copperlead
