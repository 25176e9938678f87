/** Asks the instance beside a node how it is, at its health address: which one it is, and for how
    long it stays cold. Of the reactor's thread.
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
    std::string instanceId; /**< That answered; empty when it doesn't tell. */

    /** Zero of a warm instance, which leaves the field out; nothing of an answer that holds no time
        that can be meant.
    */
    std::optional<Milliseconds> coldFor;
};

class HealthProbe : public std::enable_shared_from_this<HealthProbe>
{
public:
    using Callback = std::function<void (const HealthAnswer&)>;

    HealthProbe (std::shared_ptr<HttpClient> clientToUse, HeaderNames namesToUse,
                 SocketAddress instanceAddress, std::shared_ptr<DecisionLog> logToUse);

    void setPath (std::string newPath) { path = std::move (newPath); }

    /** False while a question is out, or the health address isn't known. */
    bool mayAsk() const { return ! underWay && ! path.empty(); }

    /** The callback comes once, also without an answer. */
    void ask (Callback callback);

private:
    std::optional<Milliseconds> coldTimeOf (const HeaderFields& fields) const;

    std::shared_ptr<HttpClient> client;
    HeaderNames names;
    SocketAddress address;
    std::shared_ptr<DecisionLog> log;
    std::string path;
    bool underWay = false;
};

} // namespace copperlead::sidecar
