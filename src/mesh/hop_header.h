/** The header field in which two nodes exchange data about a request: one in the request, one in
    the answer. It holds `name=value` pairs joined by ';'. The reader ignores unknown names. Texts
   of any bytes come out as they went in.
*/
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "mesh/mesh_configuration.h"

namespace copperlead::mesh
{

/** Name of the header field, both in requests and in answers. */
inline constexpr std::string_view hopField = "copperlead-hop";

/** Size from which on the body of a request is sent only when the other node asks for it. */
inline constexpr std::size_t largeBodyBytes = 16'384;

/** Sent by the node that received the request to the node beside the chosen instance. */
struct HopRequest
{
    std::string requestId;
    std::string service;       /**< The service to which the configuration routes the request. */
    std::string callerService; /**< The service whose instance sent the request. */
    std::string instanceId;    /**< The chosen instance. */
    std::string route;
    Milliseconds timeLeft{};
    Milliseconds targetLeft{}; /**< Time until the answer counts as late; may be negative. */
    int priority = 0;
    bool mayRepeat = false;
    bool isRepeat = false; /**< An instance may have run this request before. */
    double usualRunMs = 0;
    std::string tenant; /**< Empty for a request without a tenant. */

    /** The limit that the chosen instance stated in the latest answer that the sender passed on. It
        reaches a node that has started since and hasn't seen an answer itself.
    */
    std::optional<double> statedLimit;
};

/** The result of the request at the node beside the instance. */
enum class HopOutcome : std::uint8_t
{
    ran,      /**< The rest of the answer comes from the instance. */
    notRun,   /**< The request wasn't sent to any instance. */
    rejected, /**< The instance reported that it did not run the request. */
    unknown   /**< The request may have run. */
};

inline constexpr std::string_view hopOutcomeNames[] = { "ran", "not_run", "rejected", "unknown" };

/** The reason why a request did not run or its answer is missing. */
enum class HopCause : std::uint8_t
{
    none,
    queueFull, /**< It can't be expected to finish in time behind the queued requests. */
    expired,   /**< Its deadline passed while it was queued. */
    instanceLeaving,
    instanceUnknown, /**< The node doesn't know yet which instance runs beside it. */
    instanceDown,
    otherService,
    instanceRejected, /**< The instance reported that it did not run it. */
    otherInstance,    /**< The address belongs to another instance. */
    answerLost,   /**< The connection ended, or the deadline passed, without a complete answer. */
    answerBroken, /**< The answer was not the complete, signed answer of the instance. */
    nodeStopping,
    linkFull,     /**< Its body can't be expected to arrive in time over the node's link. */
    instanceCold, /**< Like queueFull, at an instance that is cold. */
    zoneEvacuated,
    crashSuspect,   /**< Instances crashed while this request ran there; see CrashLedger. */
    instanceLimited /**< Beyond the rate of requests that the instance states to accept. */
};

inline constexpr std::string_view hopCauseNames[] = {
    "none",          "queue_full",      "expired",           "instance_leaving", "instance_unknown",
    "instance_down", "other_service",   "instance_rejected", "other_instance",   "answer_lost",
    "answer_broken", "node_stopping",   "link_full",         "instance_cold",    "zone_evacuated",
    "crash_suspect", "instance_limited"
};

/** Returns whether a request was refused for lack of capacity. */
constexpr bool isOverload (HopCause cause)
{
    return cause == HopCause::queueFull || cause == HopCause::linkFull ||
           cause == HopCause::instanceCold || cause == HopCause::instanceLimited;
}

/** Sent with the answer by the node beside the chosen instance. */
struct HopReport
{
    HopOutcome outcome = HopOutcome::unknown;
    HopCause cause = HopCause::none;
    std::string instanceId;    /**< The instance beside the answering node. */
    double load = 0;           /**< Number of requests running and waiting there. */
    double runMs = 0;          /**< Usual duration of a run there. */
    double tookMs = 0;         /**< Duration of this run at the instance. */
    double waitedMs = 0;       /**< Time spent in the queue of the answering node. */
    double bodyTransferMs = 0; /**< Time until a large body sent now would arrive over its link. */
    std::uint64_t configurationVersion = 0;

    /** Requests per second that the instance states to accept; nothing without a limit. */
    std::optional<double> statedLimit;
    bool statedLeaving = false; /**< The instance itself has stated that it leaves. */
    double availableMs = 0;     /**< For `instanceLimited`: time until a request is accepted. */
};

std::string encode (const HopRequest& request);
std::string encode (const HopReport& report);

/** @returns nothing when a pair is malformed or a required one is missing */
std::optional<HopRequest> decodeHopRequest (std::string_view text);
std::optional<HopReport> decodeHopReport (std::string_view text);

} // namespace copperlead::mesh
