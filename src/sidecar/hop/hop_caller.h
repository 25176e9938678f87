/** Sends hop calls to the node beside an instance: directly to the last hop of this node, or over
    HTTP to another node. To be used on the reactor's thread only.
*/
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "sidecar/instance/last_hop.h"

namespace copperlead::sidecar
{

/** Whether a call reached the other node and was answered. */
enum class HopDelivery : std::uint8_t
{
    answered,    /**< The answer holds the node's report. */
    unreachable, /**< Nothing was sent. */
    lost         /**< Sent but not answered; the request may have run. */
};

/** A call in progress. */
class HopCallHandle
{
public:
    /** Cancels the call; its callback is not called. */
    void cancel();

    bool isLocal() const { return local != 0; }

private:
    friend class HopCaller;
    std::shared_ptr<LastHop> lastHop;
    LastHop::CallId local = 0; /**< 0 for a call to another node. */
    CallPointer remote;
};

class HopCaller
{
public:
    using Callback = std::function<void (HopDelivery, const HopAnswer&)>;

    /** @param ownIpToUse  IP of this node, whose instance is called without a connection
        @param port        port for hop calls, the same on every node
        @param answerPools  memory for the responses of other nodes
    */
    HopCaller (const std::shared_ptr<Reactor>& reactor, std::shared_ptr<LastHop> lastHopToUse,
               std::string ownIpToUse, std::uint16_t port, const BufferPools& answerPools);
    ~HopCaller();

    bool isLocal (const std::string& ip) const { return ip == ownIp; }

    /** @param ip        IP of the node to call
        @param deadline  deadline of the request; the node has a short grace period after it
        @param callback  never called before this returns
    */
    HopCallHandle send (const std::string& ip, HopCall call, Timestamp deadline, Callback callback);

private:
    HopCallHandle sendLocal (HopCall call, Callback callback);
    HopCallHandle sendRemote (const std::string& ip, HopCall call, Timestamp deadline,
                              Callback callback);

    std::shared_ptr<LastHop> lastHop;
    std::string ownIp;
    std::uint16_t peerPort;
    std::shared_ptr<HttpClient> client;
};

} // namespace copperlead::sidecar
