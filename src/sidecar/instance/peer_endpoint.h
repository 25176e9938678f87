/** Answers the requests of other nodes: hop calls, whose large bodies are admitted first, and
    requests for changes that those nodes lack. Runs on the reactor's thread.
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
    /** @param stateToUse  has to outlive this object */
    PeerEndpoint (HeaderNames namesToUse, std::shared_ptr<LastHop> lastHopToUse,
                  std::shared_ptr<BodyAdmission> bodiesToAdmit,
                  std::shared_ptr<DecisionLog> logToUse, const mesh::MeshState& stateToUse);

    /** Answers an exchange immediately, or once the instance has answered. */
    void take (const ExchangePointer& exchange);

    /** Decides from the head of a hop call whether its body may be sent, and when. */
    void admitBody (const ExchangePointer& exchange);

    /** Returns the response to a hop call for whose body there is no memory. */
    Message memoryRefusal() const;

private:
    void refuseBody (const ExchangePointer& exchange, const mesh::HopRequest& facts,
                     std::size_t bytes, mesh::HopCause cause);
    void bodyLeft (const Exchange* exchange);
    void takeHopCall (const ExchangePointer& exchange);
    void reportArrival (BodyAdmission::Id id, const Body& body);
    void answerChanges (const ExchangePointer& exchange);

    /** The encoded answer to the latest request for changes. It is kept because after each
        heartbeat all nodes of a zone request the same changes.
    */
    struct EncodedChanges
    {
        mesh::SourcePosition from; /**< Position that the requesting node has reached. */
        std::uint64_t version = 0; /**< Version that the requesting node runs. */
        mesh::SourcePosition at;   /**< Position of this node's state. */
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
    EncodedChanges cachedChanges;

    /** Hop calls whose bodies have been admitted or wait for admission. */
    std::unordered_map<const Exchange*, BodyAdmission::Id> admitted;
};

} // namespace copperlead::sidecar
