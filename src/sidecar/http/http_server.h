/** Takes HTTP/1.1 requests whole and writes whole answers, on a reactor's thread. A request is
    handed on once its body has arrived; while it is worked on, the client's leaving is noticed at
    once. Pipelined requests are handed on beside open ones where the settings allow it; answers go
    out in the order of the requests. Everything here belongs to the reactor's thread.
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
#include "sidecar/instance/link_pacer.h"
#include "transport/reactor.h"

namespace copperlead::sidecar
{

class ServerConnection;

/** One request and the way to answer it. */
class Exchange
{
public:
    RequestHead head;
    std::string body;
    Timestamp arrivedAt{};  /**< When its last byte was read. */
    bool fromOwnIp = false; /**< Its sender has the IP that it was sent to. */

    /** Called at most once, when the client left, or its connection closed, before it was answered.
     */
    std::function<void()> onGone;

    /** Writes a whole message. Once; without effect when the client has left.
        @param close  the message says that the connection closes
    */
    void respond (const std::string& message, bool close);

    /** Tells the client to send the body that it holds back (see ServerSettings::bodyGate). */
    void continueBody();

    /** True when the client has closed the connection, also if that hasn't been handled yet. */
    bool clientLeft() const;

    /** True when the connection can't be kept, whatever the answer says. */
    bool mustClose() const { return closeAfter; }

    /** True when no request of the connection was handed on after this one, so that its answer may
        close the connection without cutting off another.
    */
    bool isLatest() const;
    bool isHead() const { return head.method == "HEAD"; }

private:
    friend class ServerConnection;
    std::weak_ptr<ServerConnection> connection;
    bool closeAfter = false;
};

using ExchangePointer = std::shared_ptr<Exchange>;

/** An answer of the server's own to what it can't take as a request: its whole message. */
using ErrorMessage = std::function<std::string (int status, std::string_view cause)>;

struct ServerSettings
{
    std::function<mesh::ClientLimits()> limits;
    std::function<void (ExchangePointer)> handler;
    ErrorMessage errorMessage;

    /** Whether a request may be handed on while earlier ones of its connection are unanswered. Such
        a request may be cancelled, and be sent again by its client. Empty: none may.
    */
    std::function<bool (const RequestHead&)> mayRunBeside;

    /** Asked with the head alone when a client holds a body back until it is told to send it
        (Expect: 100-continue). It calls continueBody(), at any time, or respond(): then the body
        never comes and the connection is as good as before. Empty: each is told at once.
    */
    std::function<void (const ExchangePointer&)> bodyGate;
    std::shared_ptr<LinkPacer> link; /**< For large answers; null: they are written as they come. */
    std::size_t mostConnections = 3000;
    std::size_t mostBufferedBytes = 96 << 20; /**< Of all requests that are being read. */
};

/** Counted since the start. */
struct ServerCounters
{
    std::uint64_t besideOthers = 0;    /**< Requests handed on beside unanswered ones. */
    mesh::LatencyHistogram answerHeld; /**< Of answers ready before earlier ones were. */
};

class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    HttpServer (std::shared_ptr<Reactor> reactorToUse, ServerSettings settingsToUse);
    ~HttpServer();

    /** @returns kBadAddress or kAddressInUse naming the address */
    Result<Done> listen (const SocketAddress& address);
    SocketAddress address() const { return bound; }

    /** From now on no request is handed on beside an unanswered one, so that connections can close.
     */
    void drain() { draining = true; }

    /** New connections are refused from now on. */
    void stopListening();

    /** Closes the connections on which no request is being read or answered. */
    void closeIdle();
    std::size_t connections() const { return open.size(); }
    const ServerCounters& counters() const { return counts; }

private:
    friend class ServerConnection;

    void accept();
    void remove (const std::shared_ptr<ServerConnection>& connection);

    std::shared_ptr<Reactor> reactor;
    ServerSettings settings;
    Socket listener;
    SocketAddress bound;
    Reactor::WatchId watch = 0;
    std::set<std::shared_ptr<ServerConnection>> open;
    std::size_t bufferedBytes = 0;
    bool draining = false;
    ServerCounters counts;
};

} // namespace copperlead::sidecar
