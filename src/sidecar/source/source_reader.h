/** Runs a SourceFollower against a source over HTTP. A dialect encodes the calls and decodes the
    answers. Runs on the reactor's thread.
*/
#pragma once

#include <concepts>
#include <functional>
#include <memory>
#include <string>

#include "mesh/enum_names.h"
#include "mesh/memory_plan.h"
#include "mesh/source_follower.h"
#include "sidecar/decision_log.h"
#include "sidecar/http/http_client.h"
#include "sidecar/http/messages.h"

namespace copperlead::sidecar
{

/** Encodes the calls to one kind of source and decodes its answers. */
template <typename T>
concept SourceDialect = requires (const T& dialect, const mesh::SourceRequest& request,
                                  const ResponseHead& head, const std::string& body)
{
    {
        dialect.target (request)
        } -> std::convertible_to<std::string>;
    {
        dialect.read (head, body)
        } -> std::convertible_to<mesh::SourceAnswer>;
};

template <SourceDialect Dialect>
class SourceReader : public std::enable_shared_from_this<SourceReader<Dialect>>
{
public:
    using UpdateHandler = std::function<void (Timestamp, const mesh::SourceUpdate&)>;

    SourceReader (std::shared_ptr<Reactor> reactorToUse, SocketAddress sourceAddress,
                  Dialect dialectToUse, const mesh::FollowerSettings& followerSettings,
                  std::uint64_t seed, std::shared_ptr<DecisionLog> logToUse,
                  UpdateHandler handlerToUse)
        : reactor (std::move (reactorToUse))
        , address (std::move (sourceAddress))
        , dialect (std::move (dialectToUse))
        , follower (followerSettings, seed)
        , log (std::move (logToUse))
        , handleUpdate (std::move (handlerToUse))
        , client (std::make_shared<HttpClient> (reactor, clientSettings()))
    {
    }

    ~SourceReader() { client->closeAllIdleConnections(); }

    void start() { sendOrSchedule(); }

    /** Starts or stops reading.
        @param position  position reached by other means, if any
        @param zone      what other readers have reported
    */
    void setActive (bool active, mesh::SourcePosition position, mesh::ZoneConfirmation zone = {})
    {
        const bool drop = active ? follower.resume (SteadyClock().Now(), position, zone)
                                 : follower.pause (position);

        if (drop)
        {
            ++callsSent; // The result of the call in progress is ignored from now on.

            if (call != nullptr)
                call->cancel();
        }

        sendOrSchedule();
    }

    /** Sets the minimum time between calls to a failing source, since other nodes call it too. */
    void setMinRetryInterval (Milliseconds interval) { follower.setMinRetryInterval (interval); }

    /** Reports that another node runs a later version than this one. */
    void expediteWatch()
    {
        if (follower.expediteWatch (SteadyClock().Now()))
            cancelAndRequest();
    }

    /** Reports that a position was reached by other means. */
    void positionReceived (mesh::SourcePosition position)
    {
        if (follower.positionReceived (SteadyClock().Now(), position))
            cancelAndRequest();
    }

    /** Lists the source once more, to find nodes that have been listed since. */
    void refreshListing()
    {
        follower.refreshListing (SteadyClock().Now());
        sendOrSchedule();
    }

    const mesh::SourceFollower& state() const { return follower; }

    /** Returns the number of calls since the process started, by cause. */
    const mesh::SourceCallCounts& calls() const { return counts; }

private:
    static ClientSettings clientSettings()
    {
        ClientSettings settings;
        settings.connectTimeout = Milliseconds (500);
        settings.idleTime = Milliseconds (10'000);
        settings.maxAnswerBytes = mesh::maxSourceAnswerBytes;
        return settings;
    }

    void cancelAndRequest()
    {
        call->cancel();
        sendOrSchedule();
    }

    void sendOrSchedule()
    {
        const auto now = SteadyClock().Now();

        if (const auto request = follower.poll (now))
            return send (now, *request);

        const auto due = follower.nextDue();

        if (due == Timestamp::max() || due == armedFor)
            return;

        armedFor = due;
        reactor->RunAt (due,
                        [weak = this->weak_from_this()]
                        {
                            if (const auto self = weak.lock())
                            {
                                self->armedFor = {};
                                self->sendOrSchedule();
                            }
                        });
    }

    void send (Timestamp now, const mesh::SourceRequest& request)
    {
        CallOptions options;
        options.deadline = now + request.timeout;
        const HeaderFields fields{ { "Host", ToString (address) } };
        const auto number = ++callsSent;
        ++counts[static_cast<std::size_t> (request.cause)];
        // The callback may be called before send() returns; a call that has ended is safe to
        // cancel.
        call = client->send (address, requestMessage ("GET", dialect.target (request), fields, {}),
                             options,
                             [weak = this->weak_from_this(), number] (CallResult result)
                             {
                                 const auto self = weak.lock();

                                 if (self != nullptr && number == self->callsSent)
                                     self->onResult (std::move (result));
                             });
    }

    void onResult (CallResult result)
    {
        const auto now = SteadyClock().Now();
        mesh::SourceAnswer answer;

        if (result.end == CallEnd::answered)
            answer = dialect.read (result.head, result.body.bytes());
        else if (result.tooLarge)
            answer.reply = mesh::SourceReply::tooLarge;

        const auto reply = answer.reply;
        const bool wasFailing = follower.failing();
        const auto lastSuccess = follower.lastSuccess();
        const auto update = follower.handleAnswer (now, std::move (answer));
        logChange (now, wasFailing, lastSuccess, result, reply);

        if (update)
            handleUpdate (now, *update);

        reactor->RunAt (now,
                        [weak = this->weak_from_this()]
                        {
                            if (const auto self = weak.lock())
                                self->sendOrSchedule();
                        });
    }

    void logChange (Timestamp now, bool wasFailing, Timestamp lastSuccess, const CallResult& result,
                    mesh::SourceReply reply)
    {
        const auto since = std::chrono::duration_cast<Milliseconds> (now - lastSuccess).count();
        const auto epoch = static_cast<std::int64_t> (follower.position().epoch);
        const auto revision = static_cast<std::int64_t> (follower.position().revision);

        if (reply == mesh::SourceReply::historyLost)
            log->write (now, EventKind::historyLost,
                        { { "epoch", epoch },
                          { "revision", revision },
                          { "answered", static_cast<std::int64_t> (follower.latestEpoch()) } });

        if (reply == mesh::SourceReply::tooLarge)
            log->write (now, EventKind::sourceAnswerTooLarge,
                        { { "epoch", epoch },
                          { "revision", revision },
                          { "limit", static_cast<std::int64_t> (mesh::maxSourceAnswerBytes) } });

        if (follower.failing() && ! wasFailing)
            log->write (now, EventKind::sourceLost,
                        { { "call", mesh::nameOf (result.end, callEndNames) },
                          { "cause", mesh::nameOf (reply, mesh::sourceReplyNames) },
                          { "last_word_ms", since },
                          { "epoch", epoch },
                          { "revision", revision } });
        else if (wasFailing && ! follower.failing())
            log->write (now, EventKind::sourceRegained,
                        { { "after_ms", since }, { "epoch", epoch }, { "revision", revision } });
    }

    std::shared_ptr<Reactor> reactor;
    SocketAddress address;
    Dialect dialect;
    mesh::SourceFollower follower;
    std::shared_ptr<DecisionLog> log;
    UpdateHandler handleUpdate;
    std::shared_ptr<HttpClient> client;
    CallPointer call;
    mesh::SourceCallCounts counts{};
    std::uint64_t callsSent = 0;
    Timestamp armedFor{};
};

} // namespace copperlead::sidecar
