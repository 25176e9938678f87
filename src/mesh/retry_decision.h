/** Decides what follows an attempt without an answer to pass on: another attempt or a final answer.
    One decision table covers every kind of request and fault. Does no I/O.
*/
#pragma once

#include <cstdint>
#include <string_view>

#include "base/time.h"
#include "mesh/mesh_configuration.h"

namespace copperlead::mesh
{

/** How one attempt ended. */
enum class AttemptOutcome : std::uint8_t
{
    answered,    /**< The instance answered completely. */
    failedByApp, /**< The instance ran the request and answered with a complete 5xx response. */
    notOffered,  /**< No instance received the request; it was refused or failed on the way. */
    rejected,    /**< An instance reported that it did not run the request. */
    unknown,     /**< The request may have run, but no usable answer arrived. */
    timedOut,    /**< The deadline of the request has passed. */
};

inline constexpr std::string_view attemptOutcomeNames[] = { "answered",    "failed_by_app",
                                                            "not_offered", "rejected",
                                                            "unknown",     "timed_out" };

/** The state of a request when an attempt has ended. */
struct RetryFacts
{
    bool mayRepeat = false;    /**< The route's requests are idempotent. */
    int maxAttempts = 1;       /**< The route's limit on `arrivals`. */
    int arrivals = 0;          /**< Attempts that have, or may have, reached an instance. */
    int notOffered = 0;        /**< Attempts that reached no instance. */
    Duration timeLeft{};       /**< Time until the deadline. */
    Duration usualRun{};       /**< Typical run time of the route. */
    bool isHeld = false;       /**< The request must not be sent to any further instance. */
    bool bodyConsumed = false; /**< A part of its body was sent and is no longer there. */
    bool mayHaveRun = false;   /**< An earlier attempt's outcome is unknown, or it failed. */
};

enum class NextStep : std::uint8_t
{
    passOn,     /**< Pass the instance's answer on. */
    tryAgain,   /**< Try an instance that has not been offered the request; needs no budget. */
    spendRetry, /**< Send it to an instance again if the retry budget allows it. */
    refuse,     /**< Answer 503: the request has not run and never will. */
    giveUp,     /**< Answer 502: the request may have run. */
    timeOut     /**< Answer 504: the deadline has passed. */
};

inline constexpr std::string_view nextStepNames[] = { "pass_on", "try_again", "spend_retry",
                                                      "refuse",  "give_up",   "time_out" };

/** Limit on the attempts of a request that reach no instance. */
inline constexpr int maxNotOffered = 4;

NextStep decideNextStep (const RetryFacts& facts, AttemptOutcome outcome);

/** The final answer when a retry is not possible or the budget does not allow it. */
NextStep withoutRetry (const RetryFacts& facts, AttemptOutcome outcome);

} // namespace copperlead::mesh
