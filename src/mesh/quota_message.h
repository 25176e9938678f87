/** What nodes say to each other about quotas, by datagrams: a node asks the keeper of a tenant's
    quota for room, and the keeper answers; keepers find out whom they reach. Any of it may be lost,
    late or doubled: what isn't answered wasn't granted, and what was granted lapses.
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

struct QuotaAsk
{
    std::uint64_t number = 0; /**< Of the asking node; comes back with the grant. */
    std::string tenant;
    std::uint32_t wanted = 0;   /**< Requests. */
    std::uint32_t returned = 0; /**< Of an earlier grant, which won't be used. */
    Quota quota{}; /**< As the asking node knows it, for a keeper whose version lacks it. */
    std::uint64_t candidates = 0; /**< Digest of those that the asking node knows. */
};

struct QuotaGrant
{
    std::uint64_t number = 0; /**< Of the ask. */
    std::uint32_t granted = 0;
    std::uint32_t retryAfterMs = 0; /**< When there may be room again, if less was granted. */
    std::string keeper;             /**< IP of the node to ask instead; empty: this one. */
    double alonePerSecond = 0; /**< What the asking node may pass on while it reaches nobody. */
};

/** A digest of the candidates of a tenant's quota, as one node knows them. */
struct CandidatesDigest
{
    std::string tenant;
    std::uint64_t digest = 0; /**< See digestOf(). */
};

/** A keeper asks whether a node can be reached and whom it takes for candidates. */
struct QuotaPing
{
    bool isReply = false;

    /** Of the tenants that the keeper keeps; a reply has its sender's own, for the same tenants. */
    std::vector<CandidatesDigest> digests;

    static constexpr std::size_t mostDigests = 32;
};

std::string encode (const QuotaAsk& ask);
std::string encode (const QuotaGrant& grant);
std::string encode (const QuotaPing& ping);

/** @returns nothing when the datagram is no whole message of the kind or holds a value out of range
 */
std::optional<QuotaAsk> decodeQuotaAsk (std::string_view bytes);
std::optional<QuotaGrant> decodeQuotaGrant (std::string_view bytes);
std::optional<QuotaPing> decodeQuotaPing (std::string_view bytes);

} // namespace copperlead::mesh
