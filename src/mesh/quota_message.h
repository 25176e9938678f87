/** Datagrams that nodes exchange about quotas. A node asks the keeper of a tenant's quota for
    tokens, and the keeper answers; keepers send pings to find out which nodes they reach.
    Datagrams may be lost, delayed or duplicated: a node treats a quota request without an answer
    as not granted, and granted tokens expire.
*/
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mesh/tenant.h"

namespace copperlead::mesh
{

/** A node's request for tokens of a tenant's quota. */
struct QuotaRequest
{
    std::uint64_t number = 0; /**< Chosen by the asking node and repeated in the answer. */
    std::string tenant;
    std::uint32_t wanted = 0;   /**< Tokens, one for each request of the tenant. */
    std::uint32_t returned = 0; /**< Tokens of earlier grants that expired unused. */
    /** The quota in the asking node's configuration, for a keeper whose version lacks the
        tenant.
    */
    Quota quota{};
    std::uint64_t candidates = 0; /**< Digest of the candidates that the asking node knows. */
};

/** A keeper's answer to a QuotaRequest. */
struct QuotaGrant
{
    std::uint64_t number = 0;  /**< Number of the QuotaRequest that this answers. */
    std::uint32_t granted = 0; /**< Tokens. */
    /** Delay until tokens may be available, if too few were granted. */
    std::uint32_t retryAfterMs = 0;
    std::string keeper; /**< IP of the node to ask instead; empty if the sender is the keeper. */
    /** Requests per second to pass on while no keeper can be reached. */
    double fallbackPerSecond = 0;
};

/** Digest of the candidates that one node knows for a tenant's quota. */
struct CandidatesDigest
{
    std::string tenant;
    std::uint64_t digest = 0; /**< Result of digestOf(). */
};

/** A keeper's check whether a node can be reached and knows the same candidates. */
struct QuotaPing
{
    bool isReply = false;

    /** Digests for the tenants whose quotas the keeper keeps. A reply holds the replying node's
        digests for the same tenants.
    */
    std::vector<CandidatesDigest> digests;

    /** Most digests that one datagram may hold. */
    static constexpr std::size_t maxDigests = 32;
};

std::string encode (const QuotaRequest& ask);
std::string encode (const QuotaGrant& grant);
std::string encode (const QuotaPing& ping);

/** @returns the message; nothing if the datagram is truncated, of another kind or
    holds a value out of range
*/
std::optional<QuotaRequest> decodeQuotaRequest (std::string_view bytes);
std::optional<QuotaGrant> decodeQuotaGrant (std::string_view bytes);
std::optional<QuotaPing> decodeQuotaPing (std::string_view bytes);

} // namespace copperlead::mesh
