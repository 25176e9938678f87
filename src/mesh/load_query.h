/** The query that a node sends to another node just before it sends a request there, and the reply,
    which states how the instance's node would handle the request now. Both are datagrams, so either
    may be lost, late or forged. A reply therefore only affects which instance is preferred, never
    whether a request may run.
*/
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "mesh/admission_queue.h"
#include "mesh/hop_header.h"

namespace copperlead::mesh
{

struct LoadQuery
{
    std::uint64_t number = 0; /**< Assigned by the asking node and repeated in the reply. */
    std::string service;      /**< The service that the request is for. */
    std::string instanceId;   /**< The instance whose load is queried. */
    std::string route;
    std::int32_t priority = 0;
    Milliseconds timeLeft{};   /**< Time left until the request's deadline. */
    Milliseconds targetLeft{}; /**< Time left until the answer counts as late; may be negative. */
    double usualRunMs = 0;     /**< Usual run time of the route, as estimated by the asking node. */
};

struct LoadReply
{
    std::uint64_t number = 0; /**< The query's number. */
    std::string instanceId;   /**< The query's instance. */
    AdmissionDecision decision = AdmissionDecision::refuse;
    HopCause cause = HopCause::none; /**< Cause of a refusal. */
    /** Expected time until the request ends there, with queueing. For a refusal as
        `instanceLimited` the time until a request is accepted.
    */
    double expectedMs = 0;
    double load = 0;           /**< Number of requests that are running or queued there. */
    double runMs = 0;          /**< Usual run time there, over all routes. */
    double bodyTransferMs = 0; /**< Expected time to transfer a large body. */
    double failureShare = 0;   /**< Share of the latest runs there that failed. */
};

std::string encode (const LoadQuery& query);
std::string encode (const LoadReply& reply);

/** @returns nothing if the datagram isn't a complete query, or holds a value out of range */
std::optional<LoadQuery> decodeLoadQuery (std::string_view bytes);
/** @returns nothing if the datagram isn't a complete reply, or holds a value out of range */
std::optional<LoadReply> decodeLoadReply (std::string_view bytes);

} // namespace copperlead::mesh
