/** The names of the header fields that clients, nodes and instances exchange. Settings may replace
    the default names.
*/
#pragma once

#include <string>

namespace copperlead::sidecar
{

struct HeaderNames
{
    std::string requestId = "copperlead-request-id"; /**< Identifies a client's attempt. */
    std::string deadline = "copperlead-deadline-ms"; /**< How long the client waits, in ms. */
    std::string signature = "copperlead-signature"; /**< The instance's signature of its answers. */
    std::string expectInstance =
        "copperlead-expect-instance";               /**< Any other instance answers 421. */
    std::string instanceId = "copperlead-instance"; /**< On 421 and health answers. */
    std::string notRun = "copperlead-not-run";   /**< On answers to requests that have not run. */
    std::string coldTime = "copperlead-cold-ms"; /**< On health answers: remaining cold time. */
    /** On an instance's answers: the requests per second that it accepts from all nodes. */
    std::string rateLimit = "copperlead-rate-limit";
    std::string leaving = "copperlead-leaving"; /**< "1" on the answers of a leaving instance. */
    std::string caller = "copperlead-caller";   /**< The service that sent the request. */
    std::string credential = "copperlead-credential"; /**< A client's key; not forwarded. */
    std::string tenant = "copperlead-tenant"; /**< To instances: the tenant of the client's key. */
};

} // namespace copperlead::sidecar
