/** What two nodes tell each other about a request, in one header field of the request and one of
    the answer: `name=value` pairs joined by ';'. Names that the reader doesn't know are passed
   over.
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

/** The field's name in requests and answers. */
inline constexpr std::string_view hopField = "copperlead-hop";

/** Bodies of that many bytes are held back until the other node calls for them. */
inline constexpr std::size_t largeBodyBytes = 16'384;

/** From the node that took the request to the node beside the chosen instance. */
struct HopRequest
{
    std::string requestId;
    std::string service;       /**< That the configuration sends the request to. */
    std::string callerService; /**< Beside whose instance the request began. */
    std::string instanceId;    /**< That was chosen. */
    std::string route;
    Milliseconds timeLeft{};
    Milliseconds targetLeft{}; /**< Until the answer counts as late; may be negative. */
    int priority = 0;
    bool mayRepeat = false;
    bool isRepeat = false; /**< An instance may have run this request before. */
    double usualRunMs = 0;
    std::string tenant; /**< Whose request it is; empty: nobody's. */
};

/** What became of the request at the node beside the instance. */
enum class HopOutcome : std::uint8_t
{
    ran,      /**< The rest of the answer is the instance's. */
    notRun,   /**< No instance was offered it. */
    rejected, /**< The instance said that it did not run it. */
    unknown   /**< It may have run. */
};

inline constexpr std::string_view hopOutcomeNames[] = { "ran", "not_run", "rejected", "unknown" };

/** Why a request was not run, or its answer is missing. */
enum class HopCause : std::uint8_t
{
    none,
    queueFull, /**< It can't be expected to finish in time behind the others. */
    expired,   /**< Its time ran out in the queue. */
    instanceLeaving,
    instanceUnknown, /**< The node hasn't learned yet which instance runs beside it. */
    instanceDown,
    otherService,
    instanceRejected, /**< By the instance's own word. */
    otherInstance,    /**< Another instance has the address. */
    answerLost,       /**< The connection ended, or the time, without a whole answer. */
    answerBroken,     /**< The answer was not the instance's whole, signed one. */
    nodeStopping,
    linkFull,     /**< Its body can't be expected to arrive in time over the node's link. */
    instanceCold, /**< As queueFull, at an instance that is cold. */
    zoneEvacuated,
    crashSuspect /**< Instances crashed while this request ran there; see CrashLedger. */
};

inline constexpr std::string_view hopCauseNames[] = {
    "none",          "queue_full",    "expired",           "instance_leaving", "instance_unknown",
    "instance_down", "other_service", "instance_rejected", "other_instance",   "answer_lost",
    "answer_broken", "node_stopping", "link_full",         "instance_cold",    "zone_evacuated",
    "crash_suspect"
};

/** True when a request was turned away since more was asked than there was room for. */
constexpr bool isAboutLoad (HopCause cause)
{
    return cause == HopCause::queueFull || cause == HopCause::linkFull ||
           cause == HopCause::instanceCold;
}

struct HopReport
{
    HopOutcome outcome = HopOutcome::unknown;
    HopCause cause = HopCause::none;
    std::string instanceId; /**< That runs beside the answering node. */
    double load = 0;        /**< Requests that run and wait there. */
    double runMs = 0;       /**< Usual time of a run there. */
    double tookMs = 0;      /**< This run's time at the instance. */
    double waitedMs = 0;    /**< In this node's queue. */
    double bodyMs = 0;      /**< Until a large body would have arrived over its link. */
    std::uint64_t configurationVersion = 0;
};

std::string encode (const HopRequest& request);
std::string encode (const HopReport& report);

/** @returns nothing when a pair is malformed or a needed one is missing */
std::optional<HopRequest> decodeHopRequest (std::string_view text);
std::optional<HopReport> decodeHopReport (std::string_view text);

} // namespace copperlead::mesh
