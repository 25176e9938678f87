/** Sends HTTP/1.1 requests whole and takes whole answers, over kept connections, on a reactor's
    thread. Each call ends exactly once, by its callback or by cancel(). Everything here belongs to
    the reactor's thread.
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
#include "transport/reactor.h"

namespace copperlead::sidecar
{

/** How far a call came. */
enum class CallEnd : std::uint8_t
{
    answered,       /**< A whole answer. */
    notConnected,   /**< Nothing was sent, or only a head whose body was held back. */
    connectionLost, /**< The connection ended before an answer began; the request may have run. */
    broken,         /**< An answer that is malformed or was cut off. */
    timedOut,       /**< No whole answer in time. */
};

inline constexpr std::string_view callEndNames[] = { "answered", "not_connected", "connection_lost",
                                                     "broken", "timed_out" };

struct CallResult
{
    CallEnd end = CallEnd::notConnected;
    ResponseHead head;
    std::string body;
    bool reused = false;  /**< Over a kept connection. */
    bool sent = false;    /**< Something was written. */
    bool refused = false; /**< Nothing listens at the target: not connected for that reason. */
    Duration took{};      /**< Since the request was written. */
    std::string cause;    /**< Of a failure, in words. */
};

struct CallOptions
{
    Timestamp deadline = Timestamp::max();
    bool isHead = false;
    bool freshConnection = false;
    /** When not empty: answers whose field `idField` differs belong to another request and are
        passed over; one that lacks it is broken.
    */
    std::string idField, id;

    /** Told when the message, or its head if the body is held back, has been written. */
    std::function<void()> onSent;

    /** Bytes of the message after which the server is asked whether to go on; 0: none. The message
        says so itself (Expect: 100-continue). A call that ends before has sent nothing that could
        run.
    */
    std::size_t headBytes = 0;
};

struct ClientSettings
{
    Milliseconds connectTimeout{ 300 };
    Milliseconds unacknowledged{ 600 };
    Milliseconds idleTime{ 4000 }; /**< For which an unused connection is kept. */
    std::size_t mostIdle = 64;     /**< For each target. */
    std::size_t mostAnswerBytes = 16 << 20;
};

class ClientConnection;

/** One call that is under way. */
class Call
{
public:
    /** Ends the call without its callback, and its connection. */
    void cancel();

private:
    friend class HttpClient;
    friend class ClientConnection;
    std::weak_ptr<ClientConnection> connection;
    std::function<void (CallResult)> callback;
};

using CallPointer = std::shared_ptr<Call>;

/** Counted since the start. */
struct ClientCounters
{
    std::uint64_t connections = 0, calls = 0, reused = 0;
    mesh::LatencyHistogram connect; /**< Until a connection is open. */
};

class HttpClient : public std::enable_shared_from_this<HttpClient>
{
public:
    HttpClient (std::shared_ptr<Reactor> reactorToUse, ClientSettings settingsToUse);
    ~HttpClient();

    /** Sends a whole message. The callback may come before this returns. */
    CallPointer send (const SocketAddress& target, std::string message, const CallOptions& options,
                      std::function<void (CallResult)> callback);

    /** Closes the unused connections to a target. */
    void dropIdle (const SocketAddress& target);

    /** To be called before the client is let go: it and its idle connections own each other. */
    void dropAllIdle();

    const ClientCounters& counters() const { return counts; }

private:
    friend class ClientConnection;
    using IdleList = std::vector<std::shared_ptr<ClientConnection>>;

    std::shared_ptr<ClientConnection> takeIdle (const std::string& target);
    void keep (const std::shared_ptr<ClientConnection>& connection);
    void forget (const ClientConnection& connection);

    std::shared_ptr<Reactor> reactor;
    ClientSettings settings;
    std::unordered_map<std::string, IdleList> idle;
    std::unordered_map<const ClientConnection*, std::shared_ptr<ClientConnection>> busy;
    ClientCounters counts;
};

} // namespace copperlead::sidecar
