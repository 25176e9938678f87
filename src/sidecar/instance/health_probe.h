/** Queries the health address of the instance beside a node for the instance's identity and for how
    long it stays cold. Runs on the reactor's thread.
*/
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "sidecar/decision_log.h"
#include "sidecar/header_names.h"
#include "sidecar/http/http_client.h"

namespace copperlead::sidecar
{

struct HealthAnswer
{
    CallResult call;
    /** Empty if the answer doesn't name the instance. */
    std::string instanceId;

    /** Zero for a warm instance, which leaves the field out; no value if the field holds no
        plausible time.
    */
    std::optional<Milliseconds> coldRemaining;
};

class HealthProbe : public std::enable_shared_from_this<HealthProbe>
{
public:
    using Callback = std::function<void (const HealthAnswer&)>;

    HealthProbe (std::shared_ptr<HttpClient> clientToUse, HeaderNames namesToUse,
                 SocketAddress instanceAddress, std::shared_ptr<DecisionLog> logToUse);

    void setPath (std::string newPath) { path = std::move (newPath); }

    /** Returns false while a probe is in progress or no health path is configured. */
    bool canProbe() const { return ! inProgress && ! path.empty(); }

    /** Sends a probe. The callback is called once, also if no answer arrives. */
    void probe (Callback callback);

private:
    std::optional<Milliseconds> coldTimeOf (const HeaderFields& fields) const;

    std::shared_ptr<HttpClient> client;
    HeaderNames names;
    SocketAddress address;
    std::shared_ptr<DecisionLog> log;
    std::string path;
    bool inProgress = false;
};

} // namespace copperlead::sidecar
