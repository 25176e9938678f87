/** The header fields by which clients, nodes and instances speak. The product's own names are the
    defaults; settings may give others.
*/
#pragma once

#include <string>

namespace copperlead::sidecar
{

struct HeaderNames
{
    std::string requestId = "copperlead-request-id"; /**< Of a client's attempt. */
    std::string deadline = "copperlead-deadline-ms"; /**< How long the client waits, in ms. */
    std::string signature = "copperlead-signature";  /**< Of the instance, on its answers. */
    std::string expectInstance = "copperlead-expect-instance"; /**< Another one answers 421. */
    std::string instanceId = "copperlead-instance";            /**< On 421 and health answers. */
    std::string notRun = "copperlead-not-run";   /**< On answers: the instance didn't run it. */
    std::string coldTime = "copperlead-cold-ms"; /**< On health answers: how long it stays cold. */
    std::string caller = "copperlead-caller";    /**< The service where the request began. */
    std::string credential = "copperlead-credential"; /**< A client's key; goes no further. */
    std::string tenant = "copperlead-tenant"; /**< To instances: whose key the client showed. */
};

} // namespace copperlead::sidecar
