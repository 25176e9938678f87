/** An HTTP/1.1 server that receives complete requests and writes complete responses. A request is
    dispatched to the handler once its body has arrived; while it runs, a disconnect of the client
    is noticed immediately. Pipelined requests run concurrently where the settings permit it;
    responses are sent in the order of the requests. Everything here must be used on the reactor's
    thread.
*/
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "base/address.h"
#include "base/time.h"
#include "mesh/latency_histogram.h"
#include "mesh/mesh_configuration.h"
#include "proxy/http_message.h"
#include "sidecar/buffer_pool.h"
#include "sidecar/http/body.h"
#include "sidecar/instance/link_pacer.h"
#include "transport/reactor.h"

namespace copperlead::sidecar
{

class ServerConnection;

/** A request and the means to respond to it. */
class Exchange
{
public:
    RequestHead head;
    Body body;
    Timestamp arrivedAt{};   /**< Time when its last byte was read. */
    bool fromSameIp = false; /**< True if the client's IP is the one that the server listens on. */

    /** Called at most once, if the client disconnects or its connection is closed before the
        request is answered.
    */
    std::function<void()> onDisconnect;

    /** Sends a complete response. May be called once; has no effect if the client has disconnected.
        @param close  the message announces that the connection closes
    */
    void respond (Message message, bool close);

    /** Tells the client to send the body that it withholds; see ServerSettings::bodyGate. */
    void continueBody();

    /** @returns true if the client has closed the connection, even if that isn't handled yet */
    bool clientDisconnected() const;

    /** @returns true if the connection closes after the response, as the response should announce:
                 the client wants it, or sends more of a body that isn't read any more
    */
    bool mustClose() const;

    /** @returns true if nothing of a later request has been read from the connection, so that the
        response may close it without leaving another request unanswered
    */
    bool isLastRead() const;
    bool isHead() const { return head.method == "HEAD"; }
    bool isOldClient() const { return head.minor_version == 0; }

private:
    friend class ServerConnection;
    std::weak_ptr<ServerConnection> connection;
    bool closeAfterResponse = false;
};

using ExchangePointer = std::shared_ptr<Exchange>;

/** Builds the complete response to input that the server rejects itself. */
using ErrorMessage = std::function<Message (int status, std::string_view cause)>;

/** Called when a request is rejected because the memory for its body is not available.
    @param bytes  size of the body, or of what would have to be held of one of unknown size
*/
using MemoryRefusal =
    std::function<void (const RequestHead& head, std::size_t bytes, const BufferPool& pool)>;

struct ServerSettings
{
    std::function<mesh::ClientLimits()> limits;
    std::function<void (ExchangePointer)> handler;
    ErrorMessage errorMessage;

    /** Decides whether a request may be dispatched while earlier ones of its connection are
        unanswered. Such a request may be cancelled, and its client may send it again. If empty, no
        request may.
    */
    std::function<bool (const RequestHead&)> canRunConcurrently;

    /** Decides whether the response to a request is likely to be passed on while it arrives. If one
        breaks off, the connection can't carry any further response, so later requests wait for its
        end. If empty, no response is.
    */
    std::function<bool (const RequestHead&)> mayBreakOff;

    /** Called with the head of a request whose client withholds the body ("Expect: 100-continue").
        It either calls continueBody(), at any time, or respond(), after which the body is not sent
        and the connection remains usable. If empty, each client is told to continue immediately.
    */
    std::function<void (ExchangePointer)> bodyGate;
    std::shared_ptr<LinkPacer> link; /**< Paces large responses; may be null. */
    BufferPools bodyPools;           /**< Memory for request bodies. */

    /** Dispatches a request with a large body of known length once its first part has arrived. The
        rest follows in Body::stream().
    */
    bool streamsBodies = false;
    MemoryRefusal onMemoryRefused; /**< May be empty. */
    std::size_t maxConnections = 3000;
};

/** Counters since the start of the server. */
struct ServerCounters
{
    std::uint64_t startedConcurrently =
        0; /**< Requests dispatched while earlier ones were unanswered. */
    mesh::LatencyHistogram headOfLineDelay; /**< Time that responses waited for earlier ones. */
};

/** The handlers in the settings are called like all callbacks of the sidecar, after the call that
    caused them.
*/
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    HttpServer (std::shared_ptr<Reactor> reactorToUse, ServerSettings settingsToUse);
    ~HttpServer();

    /** Starts to listen. @returns kBadAddress or kAddressInUse with the address on failure */
    Result<Done> listen (const SocketAddress& address);
    SocketAddress address() const { return bound; }

    /** Stops dispatching requests while an earlier one of their connection is unanswered, so that
        connections can close.
    */
    void drain() { draining = true; }

    /** Stops accepting connections and closes the listening socket. */
    void stopListening();

    /** Closes the connections on which no request is being read or answered. */
    void closeIdle();
    std::size_t connections() const { return openConnections.size(); }
    const ServerCounters& counters() const { return counts; }

    /** Bytes of responses that wait to be written, of all connections together. */
    std::size_t bufferedResponseBytes() const;

private:
    friend class ServerConnection;

    void accept();
    void remove (const std::shared_ptr<ServerConnection>& connection);

    std::shared_ptr<Reactor> reactor;
    ServerSettings settings;
    Socket listener;
    SocketAddress bound;
    Reactor::WatchId watch = 0;
    std::set<std::shared_ptr<ServerConnection>> openConnections;
    std::size_t unparsedBytes = 0; /**< Input of all connections that can't be parsed yet. */
    bool draining = false;
    ServerCounters counts;
};

} // namespace copperlead::sidecar
