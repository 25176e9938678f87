/** What a node asks another just before it sends a request there, and the answer: how the node
    beside the instance would take the request now. Datagrams, so either may be lost, late or
    forged; a reply says which instance to prefer and never whether a request may be run.
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
    std::uint64_t number = 0; /**< Of the asking node; comes back with the reply. */
    std::string service;      /**< That the request is for. */
    std::string instanceId;   /**< That is asked about. */
    std::string route;
    std::int32_t priority = 0;
    Milliseconds timeLeft{};   /**< Until the request's deadline. */
    Milliseconds targetLeft{}; /**< Until its answer counts as late; may be negative. */
    double usualRunMs = 0;     /**< Of the route, as the asking node knows it. */
};

struct LoadReply
{
    std::uint64_t number = 0; /**< Of the query. */
    std::string instanceId;   /**< Of the query. */
    AdmissionDecision decision = AdmissionDecision::refuse;
    HopCause cause = HopCause::none; /**< Of a refusal. */
    double expectedMs = 0;           /**< Until the request's end there, its wait included. */
    double load = 0;                 /**< Requests that run and wait there. */
    double runMs = 0;                /**< Usual time of a run there, over all routes. */
    double bodyMs = 0;               /**< Until a large body would have arrived. */
    double failureShare = 0;         /**< Of the latest runs there. */
};

std::string encode (const LoadQuery& query);
std::string encode (const LoadReply& reply);

/** @returns nothing when the datagram is no whole query or reply, or holds a value out of range */
std::optional<LoadQuery> decodeLoadQuery (std::string_view bytes);
std::optional<LoadReply> decodeLoadReply (std::string_view bytes);

} // namespace copperlead::mesh
