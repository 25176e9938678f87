/** Answers what other nodes ask of this one: hop calls, with or before their bodies, and the
    changes that they lack. Of the reactor's thread.
*/
#pragma once

#include <memory>
#include <unordered_map>

#include "mesh/mesh_state.h"
#include "sidecar/decision_log.h"
#include "sidecar/header_names.h"
#include "sidecar/http/http_server.h"
#include "sidecar/instance/body_admission.h"
#include "sidecar/instance/last_hop.h"

namespace copperlead::sidecar
{

class PeerEndpoint : public std::enable_shared_from_this<PeerEndpoint>
{
public:
    /** @param stateToTell  outlives this */
    PeerEndpoint (HeaderNames namesToUse, std::shared_ptr<LastHop> lastHopToUse,
                  std::shared_ptr<BodyAdmission> bodiesToAdmit,
                  std::shared_ptr<DecisionLog> logToUse, const mesh::MeshState& stateToTell);

    /** Answers the exchange now or once the instance has. */
    void take (const ExchangePointer& exchange);

    /** Decides by the head of a hop call whether its body may come, and when. */
    void admitBody (const ExchangePointer& exchange);

private:
    void refuseBody (const ExchangePointer& exchange, const mesh::HopRequest& facts,
                     std::size_t bytes, mesh::HopCause cause);
    void bodyLeft (const Exchange* exchange);
    void takeHopCall (const ExchangePointer& exchange);
    void answerChanges (const ExchangePointer& exchange);

    /** The last changes that were asked for, encoded: after each beat all nodes of a zone ask for
        the same.
    */
    struct EncodedChanges
    {
        mesh::SourcePosition from; /**< The position that the asking node has reached. */
        std::uint64_t version = 0; /**< The version that the asking node runs. */
        mesh::SourcePosition at;   /**< The position of this node's state. */
        std::uint64_t ownVersion = 0;
        Timestamp madeAt{};
        std::string bytes;
    };

    const std::string& encodedChanges (mesh::SourcePosition from, std::uint64_t version);

    HeaderNames names;
    std::shared_ptr<LastHop> lastHop;
    std::shared_ptr<BodyAdmission> bodies;
    std::shared_ptr<DecisionLog> log;
    const mesh::MeshState& state;
    EncodedChanges lastChanges;

    /** Hop calls whose bodies were called for, or wait for that. */
    std::unordered_map<const Exchange*, BodyAdmission::Id> admitted;
};

} // namespace copperlead::sidecar
