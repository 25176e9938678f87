/** Answers what other nodes ask of this one: hop calls, and the changes that they lack. Of the
    reactor's thread.
*/
#pragma once

#include <memory>

#include "mesh/mesh_state.h"
#include "sidecar/header_names.h"
#include "sidecar/http_server.h"
#include "sidecar/last_hop.h"

namespace copperlead::sidecar
{

class PeerEndpoint
{
public:
    /** @param stateToTell  outlives this */
    PeerEndpoint (HeaderNames namesToUse, std::shared_ptr<LastHop> lastHopToUse,
                  const mesh::MeshState& stateToTell);

    /** Answers the exchange now or once the instance has. */
    void take (const ExchangePointer& exchange);

private:
    void takeHopCall (const ExchangePointer& exchange);
    void answerChanges (const ExchangePointer& exchange);

    HeaderNames names;
    std::shared_ptr<LastHop> lastHop;
    const mesh::MeshState& state;
};

} // namespace copperlead::sidecar
