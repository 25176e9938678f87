/** Carries hop calls to the node beside an instance: to this node's own last hop without a
    connection, to another node over HTTP. Of the reactor's thread.
*/
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "sidecar/instance/last_hop.h"

namespace copperlead::sidecar
{

/** Whether the other node took the call and answered. */
enum class HopDelivery : std::uint8_t
{
    answered,    /**< Its report stands in the answer. */
    unreachable, /**< Nothing was sent. */
    lost         /**< Sent, and not answered: it may have run. */
};

/** A call that is under way. */
class HopCallHandle
{
public:
    /** The answer is no longer wanted; the callback doesn't come. */
    void cancel();

    bool isLocal() const { return local != 0; }

private:
    friend class HopCaller;
    std::shared_ptr<LastHop> lastHop;
    LastHop::CallId local = 0; /**< 0: it went to another node. */
    CallPointer remote;
};

class HopCaller
{
public:
    using Callback = std::function<void (HopDelivery, const HopAnswer&)>;

    /** @param ownIpToUse  instances there are reached without a connection
        @param port        on which every node takes hop calls
    */
    HopCaller (const std::shared_ptr<Reactor>& reactor, std::shared_ptr<LastHop> lastHopToUse,
               std::string ownIpToUse, std::uint16_t port);
    ~HopCaller();

    bool isLocal (const std::string& ip) const { return ip == ownIp; }

    /** @param ip        of the node
        @param deadline  of the request; the node gets a little longer to answer at it
        @param callback  may come before this returns
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
