/** An HTTP/1.1 client with persistent connections, which sends complete requests and reports
    complete responses. Each call ends exactly once, by its callback or by cancel(). Everything here
    must be used on the reactor's thread.
*/
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/address.h"
#include "base/time.h"
#include "mesh/latency_histogram.h"
#include "proxy/http_message.h"
#include "sidecar/buffer_pool.h"
#include "sidecar/http/body.h"
#include "transport/reactor.h"

namespace copperlead::sidecar
{

/** How a call ended. */
enum class CallEnd : std::uint8_t
{
    answered,       /**< A response was received; of a large one, the first part. */
    notConnected,   /**< Nothing was sent, or only a head whose body was withheld. */
    connectionLost, /**< The connection ended before a response began; the request may have run. */
    broken,         /**< The response is malformed or truncated. */
    timedOut,       /**< The deadline passed before the response was complete. */
    requestCut,     /**< The rest of the request's body did not come; it can't have been read. */
};

inline constexpr std::string_view callEndNames[] = { "answered", "not_connected", "connection_lost",
                                                     "broken",   "timed_out",     "request_cut" };

struct CallResult
{
    CallEnd end = CallEnd::notConnected;
    ResponseHead head;
    Body body;
    bool reused = false; /**< An existing connection was used. */
    bool sent = false;   /**< At least one byte was written. */
    bool connectionRefused =
        false; /**< Nothing listens at the target, so that the connection was refused. */
    bool tooLarge = false; /**< The response exceeds ClientSettings::maxAnswerBytes. */
    Duration took{};       /**< Time since the request was written. */
    Timestamp headAt{};    /**< When the head of the response had arrived. */
    std::string cause;     /**< Description of a failure. */
};

struct CallOptions
{
    Timestamp deadline = Timestamp::max();
    bool isHead = false;
    bool freshConnection = false;

    /** Uses only connections that have been idle for this long and on which nothing has arrived
        since. Some servers close a connection just after an answer without having announced it; a
        request that crosses that is lost, and whether it ran is unknown.
    */
    Duration minIdleTime{};
    /** The name of the header field that carries the request id, and the id that it must have. If
        the id isn't empty, a response with another id belongs to another request and is skipped,
        and one without the field is treated as broken.
    */
    std::string idField, id;

    /** Called when the message, or its head if the body is withheld, has been written. Like all
        callbacks, it runs after the call that caused it.
    */
    std::function<void()> onSent;

    /** Size of the head if the body is withheld until the server sends 100 Continue; 0 sends the
        whole message at once. The message must carry "Expect: 100-continue" itself. A call that
        ends while the body is withheld has sent nothing that could run.
    */
    std::size_t headBytes = 0;

    /** Breaks a response off that goes on arriving after the deadline, once it exceeds
        mesh::TransferLimit. Only a response that is passed on as it arrives can do so.
    */
    bool limitsTransfer = false;
};

struct ClientSettings
{
    Milliseconds connectTimeout{ 300 };
    Milliseconds unacknowledgedTimeout{ 600 };
    Milliseconds idleTime{ 4000 };     /**< Time for which an idle connection is kept. */
    std::size_t maxIdlePerTarget = 64; /**< Maximum number of idle connections per target. */
    std::size_t maxAnswerBytes = 16
                                 << 20; /**< Of responses that aren't passed on as they arrive. */
    BufferPools answerPools;            /**< Memory for response bodies. */

    /** Reports a response with a large body once its first part has arrived. The rest follows in
        Body::stream().
    */
    bool streamsAnswers = false;

    /** True if servers may answer a request before they have read its body. Bytes that were
       written, or acknowledged by the server's kernel, may then lie unread on the connection, and a
       further request would wait behind them. A connection that has carried a body isn't used
       again.
    */
    bool mayLeaveBodiesUnread = false;
};

class ClientConnection;

/** A call in progress. */
class Call
{
public:
    /** Ends the call without calling its callback, and closes its connection. */
    void cancel();

private:
    friend class HttpClient;
    friend class ClientConnection;
    std::weak_ptr<ClientConnection> connection;
    DeferredCallback<CallResult> callback;
};

using CallPointer = std::shared_ptr<Call>;

/** Counters since the start of the client. */
struct ClientCounters
{
    std::uint64_t connections = 0, calls = 0, reused = 0;
    mesh::LatencyHistogram connect; /**< Time until a connection was established. */
};

class HttpClient : public std::enable_shared_from_this<HttpClient>
{
public:
    HttpClient (std::shared_ptr<Reactor> reactorToUse, ClientSettings settingsToUse);
    ~HttpClient();

    /** Sends a message. The callback is never called before this returns. */
    CallPointer send (const SocketAddress& target, const Message& message,
                      const CallOptions& options, std::function<void (CallResult)> callback);

    /** Closes the idle connections to a target. */
    void closeIdleConnections (const SocketAddress& target);

    /** Closes all idle connections. This must be called before the client is released, since it and
        its idle connections own each other.
    */
    void closeAllIdleConnections();

    const ClientCounters& counters() const { return counts; }

private:
    friend class ClientConnection;
    using IdleList = std::vector<std::shared_ptr<ClientConnection>>;

    std::shared_ptr<ClientConnection> takeIdle (const std::string& target, Duration minIdleTime);
    void returnToIdle (const std::shared_ptr<ClientConnection>& connection);
    void removeFromIdle (const ClientConnection& connection);
    void forget (const ClientConnection& connection);

    std::shared_ptr<Reactor> reactor;
    ClientSettings settings;
    std::unordered_map<std::string, IdleList> idle;
    std::unordered_map<const ClientConnection*, std::shared_ptr<ClientConnection>> busy;
    ClientCounters counts;
};

} // namespace copperlead::sidecar
