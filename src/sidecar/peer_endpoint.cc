#include "sidecar/peer_endpoint.h"

#include "mesh/mesh_update.h"
#include "sidecar/messages.h"
#include "sidecar/relay.h"

namespace copperlead::sidecar
{
PeerEndpoint::PeerEndpoint (HeaderNames namesToUse, std::shared_ptr<LastHop> lastHopToUse,
                            const mesh::MeshState& stateToTell)
    : names (std::move (namesToUse))
    , lastHop (std::move (lastHopToUse))
    , state (stateToTell)
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
    const auto slash = numbers.find ('/');
    std::uint64_t from = 0, version = 0;

    if (slash == std::string_view::npos || ! ParseWholeNumber (numbers.substr (0, slash), from) ||
        ! ParseWholeNumber (numbers.substr (slash + 1), version))
        return exchange->respond (plainAnswer (400, "not a revision and a version"), true);

    const auto update = state.changesSince (from, version);
    exchange->respond (
        answerMessage (
            { 200, {}, mesh::encode (update), exchange->mustClose(), exchange->isHead() }, {}),
        exchange->mustClose());
}

void PeerEndpoint::takeHopCall (const ExchangePointer& exchange)
{
    const auto facts = mesh::decodeHopRequest (onlyValue (exchange->head.fields, mesh::hopField));

    if (! facts)
        return exchange->respond (plainAnswer (400, "not a hop call"), true);

    HopCall call;
    call.facts = *facts;
    call.method = exchange->head.method;
    call.target = exchange->head.target;
    call.fields = forwardedFields (exchange->head.fields, names);
    call.fields.insert (call.fields.begin(),
                        { "Host", std::string (onlyValue (exchange->head.fields, "Host")) });
    call.body = std::move (exchange->body);

    call.abandoned = [weak = std::weak_ptr<Exchange> (exchange)]
    {
        const auto held = weak.lock();
        return held == nullptr || held->clientLeft();
    };

    auto id = std::make_shared<LastHop::CallId> (0);
    exchange->onGone = [weak = std::weak_ptr<LastHop> (lastHop), id]
    {
        if (const auto hop = weak.lock())
            hop->cancel (*id);
    };
    *id = lastHop->start (std::move (call),
                          [exchange] (HopAnswer answer)
                          {
                              answer.fields.push_back (
                                  { std::string (mesh::hopField), mesh::encode (answer.report) });
                              const int status = answer.status == 0 ? 503 : answer.status;
                              exchange->respond (
                                  answerMessage ({ status, answer.reason, answer.body,
                                                   exchange->mustClose(), exchange->isHead() },
                                                 answer.fields),
                                  exchange->mustClose());
                          });
}

} // namespace copperlead::sidecar
