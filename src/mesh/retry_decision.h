/** What follows an attempt that gave no answer to pass on: another attempt or a final answer. One
    table for every kind of request and fault; no I/O.
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
    answered,    /**< The instance's whole answer. */
    failedByApp, /**< The instance's own whole failure (5xx): it ran. */
    notOffered,  /**< No instance saw it: refused or unreachable before it. */
    rejected,    /**< An instance said that it did not run it. */
    unknown,     /**< It may have run; no usable answer came. */
    timedOut,    /**< The time that the request had is over. */
};

inline constexpr std::string_view attemptOutcomeNames[] = { "answered",    "failed_by_app",
                                                            "not_offered", "rejected",
                                                            "unknown",     "timed_out" };

/** What is known of the request when an attempt has ended. */
struct RetryFacts
{
    bool mayRepeat = false;  /**< The route's requests are idempotent. */
    int maxAttempts = 1;     /**< Of the route. */
    int arrivals = 0;        /**< Instances that have, or may have, been sent it. */
    int notOffered = 0;      /**< Attempts that no instance saw. */
    Duration timeLeft{};     /**< Until its deadline. */
    Duration usualRun{};     /**< Of its route. */
    bool isHeld = false;     /**< No instance is to get it any more. */
    bool mayHaveRun = false; /**< An earlier attempt's outcome is unknown, or it failed. */
};

enum class NextStep : std::uint8_t
{
    passOn,     /**< Pass the instance's answer on. */
    tryAgain,   /**< Another instance that nobody offered it to yet; needs no budget. */
    spendRetry, /**< Another arrival, if the budget has one. */
    refuse,     /**< 503: it has not run and never will. */
    giveUp,     /**< 502: it may have run. */
    timeOut     /**< 504. */
};

inline constexpr std::string_view nextStepNames[] = { "pass_on", "try_again", "spend_retry",
                                                      "refuse",  "give_up",   "time_out" };

/** The most nodes that a request is handed to without any instance seeing it. */
inline constexpr int mostHandBacks = 4;

NextStep decideNextStep (const RetryFacts& facts, AttemptOutcome outcome);

/** The final answer when a retry was wanted and the budget or the instances have none. */
NextStep withoutRetry (const RetryFacts& facts, AttemptOutcome outcome);

} // namespace copperlead::mesh
