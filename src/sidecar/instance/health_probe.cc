#include "sidecar/instance/health_probe.h"

#include <utility>

#include "mesh/cold_start.h"
#include "sidecar/http/messages.h"

namespace copperlead::sidecar
{
namespace
{

// Ample for a call on the same machine, and short enough for a prompt refusal.
constexpr Milliseconds probeTimeout{ 400 };

} // namespace

HealthProbe::HealthProbe (std::shared_ptr<HttpClient> clientToUse, HeaderNames namesToUse,
                          SocketAddress instanceAddress, std::shared_ptr<DecisionLog> logToUse)
    : client (std::move (clientToUse))
    , names (std::move (namesToUse))
    , address (std::move (instanceAddress))
    , log (std::move (logToUse))
{
}

void HealthProbe::probe (Callback callback)
{
    inProgress = true;
    CallOptions options;
    options.deadline = SteadyClock().Now() + probeTimeout;
    options.freshConnection = true;
    const HeaderFields fields{ { "Host", ToString (address) } };
    client->send (
        address, requestMessage ("GET", path, fields, {}), options,
        [weak = weak_from_this(), onAnswer = std::move (callback)] (const CallResult& result)
        {
            const auto self = weak.lock();

            if (self == nullptr)
                return;

            self->inProgress = false;
            const auto& received = result.head.fields;
            onAnswer ({ result, std::string (onlyValue (received, self->names.instanceId)),
                        self->coldTimeOf (received) });
        });
}

std::optional<Milliseconds> HealthProbe::coldTimeOf (const HeaderFields& fields) const
{
    const auto text = onlyValue (fields, names.coldTime);
    std::uint64_t count = 0;
    const auto longest = static_cast<std::uint64_t> (mesh::maxColdTime.count());

    if (text.empty())
        return Milliseconds (0);

    if (ParseWholeNumber (text, count) && count <= longest)
        return Milliseconds (static_cast<std::int64_t> (count));

    log->write (SteadyClock().Now(), EventKind::valueDoubted,
                { { "key", ToString (address) }, { "place", names.coldTime }, { "cause", text } });
    return std::nullopt;
}

} // namespace copperlead::sidecar
