/** The connection of one client, which reads requests and writes the responses in the same order.
    Pipelined requests, which arrive before an earlier one is answered, run concurrently if the
    server's settings permit it for them; all others wait for the requests before them. Internal to
    HttpServer.
*/
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "sidecar/http/answer_queue.h"
#include "sidecar/http/body_buffer.h"
#include "sidecar/http/body_decoder.h"
#include "sidecar/http/http_server.h"
#include "sidecar/http/outgoing_bytes.h"

namespace copperlead::sidecar
{

class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    /** @param isFromSameIp  the client has the IP that the server listens on */
    ServerConnection (std::shared_ptr<HttpServer> owner, Socket socketToUse, bool isFromSameIp);
    ~ServerConnection();

    void start();

    /** Sets the response to a pending request, which is written after all earlier responses. */
    void respond (const Exchange& answered, Message message, bool close);

    /** Sends 100 Continue, so that the client sends the body of the request that is being read. */
    void continueBody (const Exchange& asked);

    /** Closes the connection and calls Exchange::onDisconnect for each pending request. */
    void close();

    /** @returns true if the client has closed its side, also if the end hasn't been read yet */
    bool peerHasClosed() const;

    /** @returns true if no request is being read or answered */
    bool idle() const;

    /** @returns true if nothing of a later request has been read */
    bool isLastRead (const Exchange& asked) const;

    /** @returns true if bytes of a request's body may still arrive */
    bool isBodyLeft (const Exchange& exchange) const;

    /** @returns the bytes of responses that wait to be written */
    std::size_t bufferedResponseBytes() const
    {
        return output.remaining() + pending.messageBytes();
    }

private:
    /** What the connection is reading. */
    enum class State : std::uint8_t
    {
        head, /**< A request head, or nothing while the connection is idle. */
        body,
        waiting,   /**< Nothing: a complete request waits for earlier responses. */
        lingering, /**< The last response is written, and further input is discarded. */
        closed
    };

    /** Runs a handler. An exception closes the connection, whose state is unknown then, before it
        goes on to the reactor.
    */
    void closeOnException (const std::function<void()>& handler);
    void onEvents (std::uint32_t events);
    void readAll();
    void advance();
    void readHead();
    void readBody();
    void setMemoryWanted (const BodyFraming& framing);
    bool reserveBodyMemory();
    bool reserveMemory (std::size_t bytes, const std::shared_ptr<BufferPool>& pool);
    void growBodyMemory();
    void onMemoryGranted();
    void beginStream();
    void readStream();
    bool isStreamPaused() const;
    void dropBody();
    void onBodyComplete();
    void dispatchIfPossible();
    void callBodyGate();

    /** @returns true if the request that is being read has been passed to the body gate */
    bool isCurrentQueued() const;

    bool bodyMayFollow() const;
    void abandonBody();
    void dispatch();
    bool canReadNext() const;
    bool canDispatch() const;

    /** @returns true if a response that may break off is being written or prepared */
    bool mayBreakOff() const;
    bool isReadingBlocked() const;
    std::size_t readSize() const;
    void sendContinue();
    void sendAllowedContinue();
    void fail (int status, std::string_view cause);
    void writeAnswers();
    void write();
    std::size_t writableBytes();
    void recordWritten (std::size_t bytes);
    void onLinkAllowance();
    void endTransfer();
    bool isWaitingForLink() const { return transfer != 0 && ! stalled; }
    void linger();
    void dropPending();
    void notifyDisconnect (Exchange& abandoned);

    /** Queues a call with a request of this connection, unless that has ended by then. */
    void queueHandler (std::function<void (ExchangePointer)> ServerSettings::*handler,
                       const ExchangePointer& passed);
    void updateInterest();
    void armTimer (Timestamp when);
    void onTimer();
    Timestamp deadline() const;
    void updateUnparsedBytes();
    void onBytesOfAnswer();
    void onStreamRoom();
    void abortResponse();

    std::shared_ptr<HttpServer> server;
    Socket socket;
    Reactor::WatchId watch = 0;
    std::uint32_t interest = 0;
    State state = State::head;
    bool fromSameIp;
    std::string input;
    OutgoingBytes output;
    bool closeAfterWrite = false;
    LinkPacer::Id transfer = 0;   /**< The large response that is being written, or 0. */
    bool stalled = false;         /**< The client accepts no more bytes of the transfer for now. */
    bool noMoreRequests = false;  /**< Input after the requests read so far is ignored. */
    bool continuePending = false; /**< The client may wait for 100 Continue. */
    bool continueAllowed = false; /**< It may be sent as soon as there is memory for the body. */
    bool advancing = false;       /**< Prevents recursive calls of advance(). */
    ExchangePointer exchange;     /**< The request that is being read, or is waiting. */
    std::optional<BodyDecoder> decoder;
    BodyBuffer body;              /**< The part of the body that has been read. */
    std::size_t memoryWanted = 0; /**< For the body, and not reserved yet. */
    std::size_t streamLength = 0; /**< Length of a body that is passed on as it arrives, or 0. */
    std::weak_ptr<BodyStream> stream; /**< What its request is dispatched with. */
    bool streaming = false;           /**< The rest of the body is read into the stream. */
    Timestamp lastReadAt{};
    AnswerQueue pending;               /**< Dispatched requests, and one at the body gate. */
    std::size_t countedInputBytes = 0; /**< This connection's share of HttpServer::unparsedBytes. */
    Timestamp headStartedAt{}, idleSince{}, lastWriteAt{}, timerAt = Timestamp::max(), lingerEnd{};
};

} // namespace copperlead::sidecar
