/** One client's connection: reads requests, writes their answers in the order of the requests.
    Requests that come before the first is answered (HTTP/1.1 pipelining) are worked on side by
    side when the server's settings allow it for them; others wait for those before them. Internal
    to HttpServer.
*/
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "sidecar/http/answer_queue.h"
#include "sidecar/http/body_decoder.h"
#include "sidecar/http/http_server.h"

namespace copperlead::sidecar
{

class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    /** @param isFromOwnIp  the client has the IP that the server listens on */
    ServerConnection (std::shared_ptr<HttpServer> owner, Socket socketToUse, bool isFromOwnIp);
    ~ServerConnection();

    void start();

    /** Gives the answer of one of the open requests; it is written once those before it are. */
    void respond (const Exchange& answered, const std::string& message, bool close);

    /** Tells the client to send the body of the request that is being read. */
    void continueBody (const Exchange& asked);

    /** Ends the connection; those whose requests are open are told that the client is gone. */
    void close();

    /** The client has closed its side, read or not. */
    bool clientLeft() const;

    /** No request is being read or answered. */
    bool idle() const;

    /** No request that was handed on came after this one. */
    bool isLatest (const Exchange& exchange) const;

private:
    /** What is read at present. */
    enum class State : std::uint8_t
    {
        head, /**< A head, or nothing while the connection rests. */
        body,
        held,      /**< Nothing: a whole request waits for the answers before it. */
        lingering, /**< The last answer is written; what still arrives is dropped. */
        closed
    };

    void onEvents (std::uint32_t events);
    void readAll();
    void advance();
    void takeHead();
    void takeBody();
    void bodyTaken();
    void askGate();
    bool gated() const;
    bool bodyMayFollow() const;
    void abandonBody();
    void handOn();
    bool mayTakeNext() const;
    bool mayHandOn() const;
    bool blocked() const;
    void sendContinue();
    void fail (int status, std::string_view cause);
    void writeAnswers();
    void write();
    std::size_t writableBytes();
    void countWritten (std::size_t bytes);
    void onTurn();
    void endTransfer();
    bool waitsForTurn() const { return transfer != 0 && ! stalled; }
    void linger();
    void dropOpen();
    static void tellGone (Exchange& exchangeToLeave);
    void updateInterest();
    void armTimer (Timestamp when);
    void onTimer();
    Timestamp deadline() const;
    void countBuffered();

    std::shared_ptr<HttpServer> server;
    Socket socket;
    Reactor::WatchId watch = 0;
    std::uint32_t interest = 0;
    State state = State::head;
    bool fromOwnIp;
    std::string input, output;
    std::size_t written = 0;
    bool closeAfterWrite = false;
    LinkPacer::Id transfer = 0; /**< Of a large answer that is being written; 0: none is. */
    bool stalled = false;       /**< Its client takes nothing at present. */
    bool lastTaken = false;     /**< What comes behind the requests taken so far isn't read. */
    bool owesContinue = false;  /**< The client waits for a word before it sends the body. */
    bool advancing = false;     /**< Guards against advance() from within advance(). */
    ExchangePointer exchange;   /**< That is being read, or held. */
    std::optional<BodyDecoder> decoder;
    AnswerQueue open;         /**< Requests that were handed on. */
    std::size_t buffered = 0; /**< Bytes of bodies that the server has counted. */
    Timestamp headStartedAt{}, restingSince{}, wroteAt{}, timerAt = Timestamp::max(), lingerUntil{};
};

} // namespace copperlead::sidecar
