#include "mesh/quota_message.h"

#include "mesh/datagram_archive.h"

namespace copperlead::mesh
{
namespace
{

constexpr std::uint32_t askMark = 0x636f7161, grantMark = 0x636f7167, pingMark = 0x636f7170;
constexpr std::uint32_t mostTokens = 1'000'000;  // Beyond it a message is no message.
constexpr double mostPerSecond = 1e9;            // Likewise.
constexpr std::uint32_t longestRetryMs = 60'000; // Likewise.

bool isSane (const Quota& quota)
{
    return quota.requestsPerSecond > 0 && quota.requestsPerSecond <= mostPerSecond &&
           quota.burst >= 0 && quota.burst <= mostPerSecond;
}

} // namespace

template <typename Archive>
void serialize (Archive& archive, QuotaAsk& ask)
{
    auto perSecond = static_cast<float> (ask.quota.requestsPerSecond);
    auto burst = static_cast<float> (ask.quota.burst);
    archive (ask.number, ask.tenant, ask.wanted, ask.returned, perSecond, burst, ask.candidates);
    ask.quota = { perSecond, burst };
}

template <typename Archive>
void serialize (Archive& archive, QuotaGrant& grant)
{
    archive (grant.number, grant.granted, grant.retryAfterMs, grant.keeper, grant.alonePerSecond);
}

template <typename Archive>
void serialize (Archive& archive, CandidatesDigest& told)
{
    archive (told.tenant, told.digest);
}

template <typename Archive>
void serialize (Archive& archive, QuotaPing& ping)
{
    archive (ping.isReply);
    ping.digests.resize (archiveCount (archive, ping.digests.size(), QuotaPing::mostDigests));

    for (auto& told : ping.digests)
        archive (told);
}

std::string encode (const QuotaAsk& ask) { return encodeDatagram (askMark, ask); }
std::string encode (const QuotaGrant& grant) { return encodeDatagram (grantMark, grant); }
std::string encode (const QuotaPing& ping) { return encodeDatagram (pingMark, ping); }

std::optional<QuotaAsk> decodeQuotaAsk (std::string_view bytes)
{
    auto ask = decodeDatagram<QuotaAsk> (askMark, bytes);

    if (! ask || ask->wanted > mostTokens || ask->returned > mostTokens || ! isSane (ask->quota))
        return std::nullopt;

    return ask;
}

std::optional<QuotaGrant> decodeQuotaGrant (std::string_view bytes)
{
    auto grant = decodeDatagram<QuotaGrant> (grantMark, bytes);

    if (! grant || grant->granted > mostTokens || grant->retryAfterMs > longestRetryMs ||
        ! (grant->alonePerSecond >= 0 && grant->alonePerSecond <= mostPerSecond))
        return std::nullopt;

    return grant;
}

std::optional<QuotaPing> decodeQuotaPing (std::string_view bytes)
{
    return decodeDatagram<QuotaPing> (pingMark, bytes);
}

} // namespace copperlead::mesh
