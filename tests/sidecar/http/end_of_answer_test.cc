/** Answers that come while their request's body is still being written, and whose connection then
    ends, in order or by a reset. The tests decide in which order the client meets the reset, its
    own failing write and the end of the input.
*/
#include <gtest/gtest.h>

#include <thread>

#include "tests/sidecar/http/uploading_client.h"

namespace copperlead::sidecar::test
{
namespace
{

constexpr std::size_t largeAnswerBytes = 900'000;
constexpr std::chrono::milliseconds pauseTime{ 200 };

class EndOfAnswer : public UploadingClient, public ::testing::WithParamInterface<PeerEnd>
{
protected:
    /** Makes the back end send a part of an answer and end the connection before the client acts.
     */
    void sendPartAndEndWhileHeld()
    {
        script = [this] (RawSocket& socket)
        {
            holdClient (
                [&]
                {
                    sendPart (socket);
                    endAndAwaitFailed (socket, GetParam());
                });
        };
    }
};

/** Guards against a partial answer that is taken for a complete one: the write of the request's
    body takes the error of the reset, and the read after it finds an end that looks orderly.
*/
TEST_P (EndOfAnswer, APartIsNoAnswerWhenTheResetArrivesBeforeTheWrite)
{
    sendPartAndEndWhileHeld();
    send (true);
    EXPECT_EQ (isAnsweredCompletely(), GetParam() == PeerEnd::orderlyThenReset);
}

TEST_P (EndOfAnswer, APartIsNoAnswerWhenTheResetArrivesBetweenTheWriteAndTheRead)
{
    sendPartAndEndWhileHeld();
    // Nothing is left to be written when the reset arrives.
    send (false);
    EXPECT_EQ (isAnsweredCompletely(), GetParam() == PeerEnd::orderlyThenReset);
}

TEST_P (EndOfAnswer, APartIsNoAnswerWhenTheResetArrivesAfterTheRead)
{
    script = [this] (RawSocket& socket)
    {
        sendPart (socket);
        awaitRead (socket);
        holdClient ([&] { endAndAwaitFailed (socket, GetParam()); });
    };
    send (true);
    EXPECT_EQ (isAnsweredCompletely(), GetParam() == PeerEnd::orderlyThenReset);
}

TEST_P (EndOfAnswer, APartIsNoAnswerWhenMoreOfTheUploadComesAfterTheReset)
{
    script = [this] (RawSocket& socket)
    {
        sendPart (socket);
        awaitRead (socket);
        holdClient (
            [&]
            {
                endAndAwaitFailed (socket, GetParam());
                continueUpload();
            });
    };
    send (false);
    EXPECT_EQ (isAnsweredCompletely(), GetParam() == PeerEnd::orderlyThenReset);
}

TEST_P (EndOfAnswer, APartOfALargeAnswerThatIsPassedOnNeverEndsInOrder)
{
    script = [this] (RawSocket& socket)
    {
        socket.Send (std::string (unsizedHead) + std::string (largeAnswerBytes, 'p'));
        awaitRead (socket);
        holdClient ([&] { endAndAwaitFailed (socket, GetParam()); });
    };
    send (true);
    const bool isOrderly = GetParam() == PeerEnd::orderlyThenReset;
    EXPECT_EQ (isAnsweredCompletely(), isOrderly);
    EXPECT_EQ (receivedBytes(), largeAnswerBytes);
}

/** Guards against a whole answer that is dropped, because its connection fails while the receiver
    takes nothing and the last bytes of it wait in the socket.
*/
TEST_P (EndOfAnswer, ASlowReceiverGetsWhatHasArrivedBeforeTheReset)
{
    const bool isOrderly = GetParam() == PeerEnd::orderlyThenReset;
    std::size_t sent = 0;
    isReceiverReady = false;
    script = [&] (RawSocket& socket)
    {
        socket.Send (unsizedHead);
        sent = sendUntilClientPauses (socket);
        holdClient ([&] { endAndAwaitFailed (socket, GetParam()); });
        setReceiverReady();
    };
    send (true);
    EXPECT_EQ (isAnsweredCompletely(), isOrderly);
    EXPECT_EQ (receivedBytes(), sent);
}

/** Guards against a process that polls without a pause, because a receiver takes nothing and bytes
    of the answer wait in the socket.
*/
TEST_F (EndOfAnswer, ASlowReceiverCostsNoProcessorTime)
{
    Duration used{};
    isReceiverReady = false;
    script = [&] (RawSocket& socket)
    {
        socket.Send (unsizedHead);
        sendUntilClientPauses (socket);
        const auto before = processorTimeOfReactor();
        std::this_thread::sleep_for (pauseTime);
        used = processorTimeOfReactor() - before;
        setReceiverReady();
        socket.EndSending();
    };
    send (true);
    EXPECT_TRUE (isAnsweredCompletely());
    EXPECT_LT (used, pauseTime / 2);
}

/** Guards against a request that is sent on a connection which has failed: it did so while reading
    paused, behind the last bytes of an answer that its length completes.
*/
TEST_F (EndOfAnswer, AConnectionThatFailedDuringAPauseIsNotUsedAgain)
{
    constexpr std::size_t lastBytes = BodyStream::capacity + pieceBytes;
    script = [this] (RawSocket& socket)
    {
        socket.Send (
            "HTTP/1.1 200 OK\r\nX-Id: q\r\nContent-Length: " + std::to_string (largeAnswerBytes) +
            "\r\n\r\n" + std::string (largeAnswerBytes - lastBytes, 'w'));
        EXPECT_TRUE (
            Eventually ([this] { return receivedBytes() == largeAnswerBytes - lastBytes; }));
        reactor->RunAndWait ([this] { isReceiverReady = false; });
        socket.Send (std::string (lastBytes, 'w'));
        EXPECT_TRUE (Eventually ([this] { return isStreamFull(); }));
        holdClient ([&] { endAndAwaitFailed (socket, PeerEnd::reset); });
        setReceiverReady();
    };
    send ("GET", {});
    EXPECT_TRUE (isAnsweredCompletely());
    EXPECT_EQ (receivedBytes(), largeAnswerBytes);
    reactor->RunAndWait (
        [this]
        {
            client->send (backEnd.address(), Message ("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), {},
                          [] (const CallResult&) {});
            EXPECT_EQ (client->counters().reused, 0U);
        });
}

TEST_F (EndOfAnswer, AWholeAnswerIsServedWhileTheServerStillReadsTheUpload)
{
    script = [] (RawSocket& socket)
    {
        socket.Send (std::string (unsizedHead) + std::string (3000, 'w'));
        socket.EndSending();
        socket.ReadToEnd (uploadBytes);
    };
    send (true);
    EXPECT_TRUE (isAnsweredCompletely());
    EXPECT_EQ (receivedBytes(), 3000);
}

INSTANTIATE_TEST_SUITE_P (Ends, EndOfAnswer,
                          ::testing::Values (PeerEnd::reset, PeerEnd::unread,
                                             PeerEnd::orderlyThenReset),
                          [] (const auto& info) -> std::string
                          {
                              switch (info.param)
                              {
                              case PeerEnd::reset:
                                  return "Reset";
                              case PeerEnd::unread:
                                  return "Unread";
                              case PeerEnd::orderlyThenReset:
                                  return "OrderlyThenReset";
                              }
                              return "";
                          });

} // namespace
} // namespace copperlead::sidecar::test
