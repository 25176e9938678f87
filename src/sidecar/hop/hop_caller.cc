#include "sidecar/hop/hop_caller.h"

#include "sidecar/http/messages.h"

namespace copperlead::sidecar
{
namespace
{

// Leaves time for an answer that the instance gives at the deadline.
constexpr Milliseconds answerGrace{ 30 };

ClientSettings peerClientSettings (const BufferPools& answerPools)
{
    ClientSettings settings;
    settings.answerPools = answerPools;
    settings.streamsAnswers = true;
    settings.connectTimeout = Milliseconds (300);
    settings.unacknowledgedTimeout = Milliseconds (600);
    settings.idleTime = Milliseconds (10'000);
    return settings;
}

HopDelivery deliveryOf (CallEnd end)
{
    switch (end)
    {
    case CallEnd::answered:
        return HopDelivery::answered;
    case CallEnd::notConnected:
        return HopDelivery::unreachable;
    default:
        return HopDelivery::lost;
    }
}

/** Derives the report of a call. A node that wasn't reached has run nothing; a node that was
    reached may have run the request unless its report says otherwise.
*/
mesh::HopReport reportOf (const CallResult& result)
{
    mesh::HopReport report;
    report.outcome = mesh::HopOutcome::unknown;
    report.cause = mesh::HopCause::answerLost;

    if (result.end == CallEnd::notConnected)
    {
        report.outcome = mesh::HopOutcome::notRun;
        report.cause = mesh::HopCause::instanceDown;
    }
    else if (result.end == CallEnd::answered)
    {
        const auto decoded = mesh::decodeHopReport (onlyValue (result.head.fields, mesh::hopField));
        report = decoded.value_or (report);
    }

    return report;
}

HopAnswer answerOf (CallResult result)
{
    HopAnswer answer;
    answer.report = reportOf (result);

    if (result.end != CallEnd::answered)
        return answer;

    answer.status = result.head.status;
    answer.reason = std::move (result.head.reason);
    answer.fields = forwardedAnswerFields (result.head.fields);
    std::erase_if (answer.fields, [] (const HeaderField& field)
                   { return EqualsIgnoringCase (field.name, mesh::hopField); });
    answer.body = std::move (result.body);
    return answer;
}

} // namespace

void HopCallHandle::cancel()
{
    if (isLocal())
        lastHop->cancel (local);
    else if (remote != nullptr)
        remote->cancel();
}

HopCaller::HopCaller (const std::shared_ptr<Reactor>& reactor,
                      std::shared_ptr<LastHop> lastHopToUse, std::string ownIpToUse,
                      std::uint16_t port, const BufferPools& answerPools)
    : lastHop (std::move (lastHopToUse))
    , ownIp (std::move (ownIpToUse))
    , peerPort (port)
    , client (std::make_shared<HttpClient> (reactor, peerClientSettings (answerPools)))
{
}

HopCaller::~HopCaller() { client->closeAllIdleConnections(); }

HopCallHandle HopCaller::send (const std::string& ip, HopCall call, Timestamp deadline,
                               Callback callback)
{
    if (isLocal (ip))
        return sendLocal (std::move (call), std::move (callback));

    return sendRemote (ip, std::move (call), deadline, std::move (callback));
}

HopCallHandle HopCaller::sendLocal (HopCall call, Callback callback)
{
    HopCallHandle handle;
    handle.lastHop = lastHop;
    handle.local = lastHop->start (std::move (call),
                                   [callback = std::move (callback)] (const HopAnswer& answer)
                                   { callback (HopDelivery::answered, answer); });
    return handle;
}

HopCallHandle HopCaller::sendRemote (const std::string& ip, HopCall call, Timestamp deadline,
                                     Callback callback)
{
    call.fields.push_back ({ std::string (mesh::hopField), mesh::encode (call.facts) });
    CallOptions options;
    options.deadline = deadline + answerGrace;
    options.isHead = call.method == "HEAD";
    const bool large = call.body.size() >= mesh::largeBodyBytes;

    if (large)
        call.fields.push_back ({ "Expect", "100-continue" });

    const auto message = requestMessage (call.method, call.target, call.fields, call.body);

    if (large)
        options.headBytes = message.head.size();

    HopCallHandle handle;
    handle.remote = client->send ({ ip, peerPort }, message, options,
                                  [callback = std::move (callback)] (CallResult result)
                                  {
                                      const auto delivery = deliveryOf (result.end);
                                      callback (delivery, answerOf (std::move (result)));
                                  });
    return handle;
}

} // namespace copperlead::sidecar
