/** One client's connection: reads requests one after the other, writes their answers. Internal to
    HttpServer.
*/
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "sidecar/body_decoder.h"
#include "sidecar/http_server.h"

namespace copperlead::sidecar
{

class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection (std::shared_ptr<HttpServer> owner, Socket socketToUse);
    ~ServerConnection();

    void start();
    void respond (const Exchange& answered, const std::string& message, bool close);
    void close();

    /** The client has closed its side, read or not. */
    bool clientLeft() const;

    /** No request is being read or answered. */
    bool idle() const { return state == State::head && input.empty() && output.empty(); }

private:
    enum class State : std::uint8_t
    {
        head, /**< Reads a head, or rests between requests. */
        body,
        answering, /**< The request is being worked on. */
        lingering, /**< The last answer is written; what still arrives is dropped. */
        closed
    };

    void onEvents (std::uint32_t events);
    void readAll();
    void advance();
    void takeHead();
    void takeBody();
    void handOn();
    void fail (int status, std::string_view cause);
    void write();
    void finishWriting();
    void onEndOfStream();
    void linger();
    void updateInterest();
    void armTimer (Timestamp when);
    void onTimer();
    Timestamp deadline() const;
    void countBuffered (std::size_t bytes);

    std::shared_ptr<HttpServer> server;
    Socket socket;
    Reactor::WatchId watch = 0;
    std::uint32_t interest = 0;
    State state = State::head;
    std::string input, output;
    std::size_t written = 0;
    bool closeAfterWrite = false;
    bool reading = false; /**< Guards against advance() from within advance(). */
    ExchangePointer exchange;
    std::optional<BodyDecoder> decoder;
    std::size_t buffered = 0;
    Timestamp headStartedAt{}, restingSince{}, timerAt = Timestamp::max(), lingerUntil{};
};

} // namespace copperlead::sidecar
