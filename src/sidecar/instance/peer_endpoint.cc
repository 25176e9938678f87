#include "sidecar/instance/peer_endpoint.h"

#include "mesh/enum_names.h"
#include "mesh/mesh_update.h"
#include "sidecar/http/messages.h"
#include "sidecar/source/relay.h"

namespace copperlead::sidecar
{
namespace
{

// Limits the age of a cached answer, since an entry that expires doesn't change the revision.
constexpr Milliseconds encodedChangesLifetime{ 100 };

/** Answers a hop call with its report. */
void answerHopCall (const ExchangePointer& exchange, HopAnswer answer)
{
    answer.fields.push_back ({ std::string (mesh::hopField), mesh::encode (answer.report) });
    const int status = answer.status == 0 ? 503 : answer.status;
    exchange->respond (
        answerMessage ({ status, answer.reason, {}, exchange->mustClose(), exchange->isHead() },
                       answer.fields, std::move (answer.body)),
        exchange->mustClose());
}

std::size_t announcedBytes (const Exchange& exchange)
{
    std::uint64_t bytes = 0;
    ParseWholeNumber (onlyValue (exchange.head.fields, "Content-Length"), bytes);
    return bytes;
}

} // namespace

PeerEndpoint::PeerEndpoint (HeaderNames namesToUse, std::shared_ptr<LastHop> lastHopToUse,
                            std::shared_ptr<BodyAdmission> bodiesToAdmit,
                            std::shared_ptr<DecisionLog> logToUse,
                            const mesh::MeshState& stateToUse)
    : names (std::move (namesToUse))
    , lastHop (std::move (lastHopToUse))
    , bodies (std::move (bodiesToAdmit))
    , log (std::move (logToUse))
    , state (stateToUse)
{
}

void PeerEndpoint::take (const ExchangePointer& exchange)
{
    if (exchange->head.target.starts_with (changesPath))
        answerChanges (exchange);
    else
        takeHopCall (exchange);
}

void PeerEndpoint::answerChanges (const ExchangePointer& exchange)
{
    const auto numbers = std::string_view (exchange->head.target).substr (changesPath.size());
    const auto firstSlash = numbers.find ('/');
    const auto secondSlash =
        firstSlash == std::string_view::npos ? firstSlash : numbers.find ('/', firstSlash + 1);
    mesh::SourcePosition from;
    std::uint64_t version = 0;

    if (secondSlash == std::string_view::npos ||
        ! ParseWholeNumber (numbers.substr (0, firstSlash), from.epoch) ||
        ! ParseWholeNumber (numbers.substr (firstSlash + 1, secondSlash - firstSlash - 1),
                            from.revision) ||
        ! ParseWholeNumber (numbers.substr (secondSlash + 1), version))
        return exchange->respond (plainAnswer (400, "not an epoch, a revision and a version"),
                                  true);

    exchange->respond (
        answerMessage (
            { 200, {}, encodedChanges (from, version), exchange->mustClose(), exchange->isHead() },
            {}),
        exchange->mustClose());
}

const std::string& PeerEndpoint::encodedChanges (mesh::SourcePosition from, std::uint64_t version)
{
    const auto now = SteadyClock().Now();
    const auto ownVersion = state.configurations().version();
    const bool same = cachedChanges.from == from && cachedChanges.version == version &&
                      cachedChanges.at == state.reached() && cachedChanges.ownVersion == ownVersion;

    if (! same || now - cachedChanges.madeAt > encodedChangesLifetime)
        cachedChanges = {
            from,       version, state.reached(),
            ownVersion, now,     mesh::encode (state.changesSince (now, from, version))
        };

    return cachedChanges.bytes;
}

void PeerEndpoint::refuseBody (const ExchangePointer& exchange, const mesh::HopRequest& facts,
                               std::size_t bytes, mesh::HopCause cause)
{
    log->write (SteadyClock().Now(), EventKind::bodyRefused,
                { { "request", facts.requestId },
                  { "cause", mesh::nameOf (cause, mesh::hopCauseNames) },
                  { "bytes", static_cast<std::int64_t> (bytes) },
                  { "waiting", static_cast<std::int64_t> (bodies->waiting()) },
                  { "in_transfer", static_cast<std::int64_t> (bodies->inTransfer()) },
                  { "expected_ms", bodies->expectedMs() },
                  { "target_ms", static_cast<std::int64_t> (facts.targetLeft.count()) },
                  { "left_ms", static_cast<std::int64_t> (facts.timeLeft.count()) } });
    HopAnswer answer;
    answer.report = lastHop->refusal (cause);
    answerHopCall (exchange, std::move (answer));
}

Message PeerEndpoint::memoryRefusal() const
{
    // Nodes of earlier releases know this cause.
    const auto report = lastHop->refusal (mesh::HopCause::linkFull);
    return answerMessage ({ 503, {}, {}, true, false },
                          { { std::string (mesh::hopField), mesh::encode (report) } });
}

void PeerEndpoint::admitBody (const ExchangePointer& exchange)
{
    const auto facts = mesh::decodeHopRequest (onlyValue (exchange->head.fields, mesh::hopField));

    if (! facts)
        return exchange->respond (plainAnswer (400, "not a hop call"), true);

    const auto bytes = announcedBytes (*exchange);

    if (const auto cause = lastHop->refusalOf (*facts); cause != mesh::HopCause::none)
        return refuseBody (exchange, *facts, bytes, cause);

    const auto* key = exchange.get();
    // The connection owns the exchange, and the admission's callback must not keep it alive.
    exchange->onDisconnect = [weak = weak_from_this(), key]
    {
        if (const auto self = weak.lock())
            self->bodyLeft (key);
    };
    const auto id = bodies->requestAdmission (
        *facts, bytes,
        [weak = weak_from_this(), waiting = std::weak_ptr<Exchange> (exchange), facts,
         bytes] (bool granted)
        {
            const auto self = weak.lock();
            const auto held = waiting.lock();

            if (self == nullptr || held == nullptr)
                return;

            if (granted)
                return held->continueBody();

            self->admitted.erase (held.get());
            self->refuseBody (held, *facts, bytes, mesh::HopCause::linkFull);
        });

    admitted.emplace (key, id);
}

void PeerEndpoint::bodyLeft (const Exchange* exchange)
{
    if (const auto found = admitted.extract (exchange))
        bodies->cancel (found.mapped());
}

void PeerEndpoint::reportArrival (BodyAdmission::Id id, const Body& body)
{
    if (body.stream() == nullptr)
        return bodies->arrived (id, body.size());

    body.stream()->onEnded = [admission = bodies, id, bytes = body.size()] (BodyEnd end)
    {
        if (end == BodyEnd::complete)
            admission->arrived (id, bytes);
        else
            admission->cancel (id);
    };
}

void PeerEndpoint::takeHopCall (const ExchangePointer& exchange)
{
    if (const auto found = admitted.extract (exchange.get()))
        reportArrival (found.mapped(), exchange->body);

    const auto facts = mesh::decodeHopRequest (onlyValue (exchange->head.fields, mesh::hopField));

    if (! facts)
        return exchange->respond (plainAnswer (400, "not a hop call"), true);

    HopCall call;
    call.facts = *facts;
    call.overLink = true;
    call.method = exchange->head.method;
    call.target = exchange->head.target;
    call.fields = forwardedFields (exchange->head.fields, names);
    call.fields.insert (call.fields.begin(),
                        { "Host", std::string (onlyValue (exchange->head.fields, "Host")) });
    call.body = std::move (exchange->body);

    call.abandoned = [weak = std::weak_ptr<Exchange> (exchange)]
    {
        const auto held = weak.lock();
        return held == nullptr || held->clientDisconnected();
    };

    auto id = std::make_shared<LastHop::CallId> (0);
    exchange->onDisconnect = [weak = std::weak_ptr<LastHop> (lastHop), id]
    {
        if (const auto hop = weak.lock())
            hop->cancel (*id);
    };
    *id = lastHop->start (std::move (call), [exchange] (HopAnswer answer)
                          { answerHopCall (exchange, std::move (answer)); });
}

} // namespace copperlead::sidecar
