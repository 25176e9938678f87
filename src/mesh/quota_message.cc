#include "mesh/quota_message.h"

#include "mesh/datagram_archive.h"

namespace copperlead::mesh
{
namespace
{

constexpr std::uint32_t askMark = 0x636f7161, grantMark = 0x636f7167, pingMark = 0x636f7170;

// Values above these limits are treated as damage, and the message is rejected.
constexpr std::uint32_t maxTokens = 1'000'000;
constexpr double maxPerSecond = 1e9; // The limit applies to bursts as well.
constexpr std::uint32_t maxRetryMs = 60'000;

bool isInRange (const Quota& quota)
{
    return quota.requestsPerSecond > 0 && quota.requestsPerSecond <= maxPerSecond &&
           quota.burst >= 0 && quota.burst <= maxPerSecond;
}

} // namespace

template <typename Archive>
void serialize (Archive& archive, QuotaRequest& ask)
{
    auto perSecond = static_cast<float> (ask.quota.requestsPerSecond);
    auto burst = static_cast<float> (ask.quota.burst);
    archive (ask.number, ask.tenant, ask.wanted, ask.returned, perSecond, burst, ask.candidates);
    ask.quota = { perSecond, burst };
}

template <typename Archive>
void serialize (Archive& archive, QuotaGrant& grant)
{
    archive (grant.number, grant.granted, grant.retryAfterMs, grant.keeper,
             grant.fallbackPerSecond);
}

template <typename Archive>
void serialize (Archive& archive, CandidatesDigest& item)
{
    archive (item.tenant, item.digest);
}

template <typename Archive>
void serialize (Archive& archive, QuotaPing& ping)
{
    archive (ping.isReply);
    ping.digests.resize (archiveCount (archive, ping.digests.size(), QuotaPing::maxDigests));

    for (auto& item : ping.digests)
        archive (item);
}

std::string encode (const QuotaRequest& ask) { return encodeDatagram (askMark, ask); }
std::string encode (const QuotaGrant& grant) { return encodeDatagram (grantMark, grant); }
std::string encode (const QuotaPing& ping) { return encodeDatagram (pingMark, ping); }

std::optional<QuotaRequest> decodeQuotaRequest (std::string_view bytes)
{
    auto ask = decodeDatagram<QuotaRequest> (askMark, bytes);

    if (! ask || ask->wanted > maxTokens || ask->returned > maxTokens || ! isInRange (ask->quota))
        return std::nullopt;

    return ask;
}

std::optional<QuotaGrant> decodeQuotaGrant (std::string_view bytes)
{
    auto grant = decodeDatagram<QuotaGrant> (grantMark, bytes);

    if (! grant || grant->granted > maxTokens || grant->retryAfterMs > maxRetryMs ||
        ! (grant->fallbackPerSecond >= 0 && grant->fallbackPerSecond <= maxPerSecond))
        return std::nullopt;

    return grant;
}

std::optional<QuotaPing> decodeQuotaPing (std::string_view bytes)
{
    return decodeDatagram<QuotaPing> (pingMark, bytes);
}

} // namespace copperlead::mesh
