/** A client request in the first hop, with its attempts and answer. Internal to FirstHop. */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "mesh/retry_decision.h"
#include "sidecar/hop/first_hop.h"

namespace copperlead::sidecar
{

/** The tenant of a request, and the lifetime of the quota grant that it used. */
struct RequestTenant
{
    const mesh::Tenant* tenant = nullptr; /**< Null if the request has no tenant. */
    Timestamp quotaExpiresAt{};           /**< When the grant that it was charged to expires. */
};

class ActiveRequest : public std::enable_shared_from_this<ActiveRequest>
{
public:
    ActiveRequest (std::shared_ptr<FirstHop> owner, ExchangePointer exchangeToAnswer,
                   std::shared_ptr<const mesh::RouteTable> routesToUse,
                   const mesh::Route& routeToUse, const RequestTenant& tenantToUse, std::string id);
    ~ActiveRequest();

    void begin();

    /** Gives the final answer, since the deadline has passed. Does nothing if it was answered. */
    void onDeadline();

private:
    /** A hop call, running or ended. */
    struct Attempt
    {
        mesh::Choice choice;
        HopCallHandle call;
        bool isLocal = false;
        bool active = true;
        Timestamp startedAt{};
    };

    void startAttempt();
    mesh::ChoiceRequest choiceRequest() const;
    mesh::LoadQuery loadQuery() const;
    void onSearchEnded (const SearchResult& result);
    void launch (const mesh::Choice& choice);
    void endWithoutLaunch (mesh::HopCause cause);
    HopCall makeCall (const mesh::Choice& choice) const;
    void send (std::size_t index, HopCall call);
    void onDelivery (std::size_t index, HopDelivery delivery, const HopAnswer& answer);
    void onAnswer (std::size_t index, const HopAnswer& answer);
    mesh::AttemptOutcome recordOutcome (std::size_t index, const HopAnswer& answer);
    void applyStep (mesh::NextStep step, mesh::AttemptOutcome outcome, const HopAnswer& answer);
    void finish (mesh::NextStep step, const HopAnswer& answer);
    Milliseconds targetLeft() const;
    mesh::RetryFacts facts() const;
    bool isBodyConsumed() const;
    mesh::RetryClaim retryClaim() const;
    void recordStatement (const mesh::HopReport& report);
    void avoid (const Attempt& attempt, const HopAnswer& answer);
    void scheduleSlowCheck (std::size_t index);
    void onSlow (std::size_t index);
    void hedge();
    void onClientLeft();
    void cancelAttempts();
    void setDone();
    void release();
    int activeCount() const;
    void passOn (const HopAnswer& answer);
    void end (int status, std::string_view cause);
    void refuse (mesh::HopCause cause, Duration availableIn);
    void logEnd (EventKind kind, int status, std::string_view cause,
                 std::optional<Milliseconds> retryAfter = std::nullopt);
    void logSearch (const SearchResult& result);
    void logAttempt (const Attempt& attempt, const HopAnswer& answer, mesh::AttemptOutcome outcome,
                     mesh::NextStep step);

    std::shared_ptr<FirstHop> hop;
    ExchangePointer exchange;
    std::shared_ptr<const mesh::RouteTable> routes; /**< Keeps `route` alive. */
    const mesh::Route& route;
    const mesh::Tenant* tenant; /**< Null if there is none. Kept alive by `routes`. */
    const Timestamp quotaExpiresAt;
    std::string requestId, service;
    HeaderFields fields;
    Timestamp deadline{};
    Timestamp clientGivesUpAt{};      /**< When the client stops waiting. */
    Milliseconds priorAttemptsTime{}; /**< Spent on earlier attempts of the client. */
    std::vector<Attempt> attempts;
    std::shared_ptr<InstanceSearch> search; /**< For the next attempt; null if none is running. */

    /** The end of the last attempt, which decides the answer if no other instance is found. */
    mesh::AttemptOutcome lastOutcome = mesh::AttemptOutcome::notOffered;
    HopAnswer lastAnswer;
    int arrivals = 0, notOffered = 0;
    bool mayHaveRun = false, hedged = false, done = false;
};

} // namespace copperlead::sidecar
