/** One connection to a server, with at most one call on it. Internal to HttpClient. */
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "sidecar/http/body_decoder.h"
#include "sidecar/http/http_client.h"

namespace copperlead::sidecar
{

class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    ClientConnection (std::shared_ptr<HttpClient> owner, std::string targetName);
    ~ClientConnection();

    /** @returns false when the system refuses at once */
    bool connect (const SocketAddress& address);
    void begin (CallPointer newCall, std::string message, const CallOptions& newOptions);
    void close();

    /** True while nothing speaks against another call. */
    bool usable (Timestamp now) const;
    bool serves (const Call& other) const { return call.get() == &other; }
    const std::string& target() const { return name; }

private:
    friend class HttpClient;

    enum class State : std::uint8_t
    {
        connecting,
        idle,
        waiting, /**< For an answer's head. */
        body,
        closed
    };

    void onEvents (std::uint32_t events);
    void onConnected();
    void write();
    void readAll();
    void advance();
    bool takeHead();
    void onAnswer();
    bool holdsBodyBack() const { return sendable < output.size(); }
    void onEndOfStream (bool orderly);
    void finish (CallEnd end, std::string cause);
    void finishKept();
    void learnKeepAlive();
    void armTimer (Timestamp when);
    void onTimer();
    void setInterest (std::uint32_t wanted);

    std::shared_ptr<HttpClient> client;
    std::string name;
    Socket socket;
    Reactor::WatchId watch = 0;
    std::uint32_t interest = 0;
    State state = State::connecting;
    CallPointer call;
    CallOptions options;
    CallResult result;
    std::string input, output;
    std::size_t written = 0;
    std::size_t sendable = 0; /**< Bytes of `output` that may be written so far. */
    std::optional<BodyDecoder> decoder;
    bool foreign = false; /**< The answer that is being read belongs to another request. */
    bool keepable = true;
    bool usedBefore = false;
    Timestamp connectBy = Timestamp::max(), idleUntil{}, timerAt = Timestamp::max(), sentAt{};
};

} // namespace copperlead::sidecar
