/** One client request on its way through the first hop: its attempts and its one answer. Internal
    to FirstHop.
*/
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "mesh/retry_decision.h"
#include "sidecar/hop/first_hop.h"

namespace copperlead::sidecar
{

/** Whose a request is, and how its tenant's quota passed it. */
struct RequestTenant
{
    const mesh::Tenant* tenant = nullptr; /**< Null: nobody's. */
    Timestamp quotaLapsesAt{};            /**< When the grant lapses that it was counted on. */
};

class ActiveRequest : public std::enable_shared_from_this<ActiveRequest>
{
public:
    ActiveRequest (std::shared_ptr<FirstHop> owner, ExchangePointer exchangeToAnswer,
                   std::shared_ptr<const mesh::RouteTable> routesToUse,
                   const mesh::Route& routeToUse, const RequestTenant& tenantToUse, std::string id);
    ~ActiveRequest();

    void begin();

    /** Its time is over: it gets its final answer now. Without effect once it has one. */
    void onDeadline();

private:
    /** One hop call that is under way, or ended. */
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
    void onFound (const Found& found);
    void launch (const mesh::Choice& choice);
    void endHeld();
    HopCall makeCall (const mesh::Choice& choice) const;
    void send (std::size_t index, HopCall call);
    void onDelivery (std::size_t index, HopDelivery delivery, const HopAnswer& answer);
    void onAnswer (std::size_t index, const HopAnswer& answer);
    mesh::AttemptOutcome learn (std::size_t index, const HopAnswer& answer);
    void follow (mesh::NextStep step, mesh::AttemptOutcome outcome, const HopAnswer& answer);
    void finish (mesh::NextStep step, const HopAnswer& answer);
    Milliseconds targetLeft() const;
    mesh::RetryFacts facts() const;
    mesh::RetryClaim retryClaim() const;
    void avoid (const Attempt& attempt, const HopAnswer& answer);
    void armSlowCheck (std::size_t index);
    void onSlow (std::size_t index);
    void hedge();
    void onClientLeft();
    void cancelAttempts();
    void setDone();
    void release();
    int activeCount() const;
    void passOn (const HopAnswer& answer);
    void end (int status, std::string_view cause);
    void refuse (mesh::HopCause cause);
    void logEnd (EventKind kind, int status, std::string_view cause,
                 std::optional<Milliseconds> retryAfter = std::nullopt);
    void logSearch (const Found& found);
    void logAttempt (const Attempt& attempt, const HopAnswer& answer, mesh::AttemptOutcome outcome,
                     mesh::NextStep step);

    std::shared_ptr<FirstHop> hop;
    ExchangePointer exchange;
    std::shared_ptr<const mesh::RouteTable> routes; /**< Keeps `route` alive. */
    const mesh::Route& route;
    const mesh::Tenant* tenant; /**< Whose request it is; null: nobody's. Kept alive, too. */
    const Timestamp quotaLapsesAt;
    std::string requestId, service;
    HeaderFields fields;
    Timestamp deadline{};
    Timestamp clientLeaves{}; /**< When its client waits no longer. */
    Milliseconds age{};       /**< That earlier attempts of its client took. */
    std::vector<Attempt> attempts;
    std::shared_ptr<InstanceSearch> search; /**< For the next attempt's instance; null: none. */

    /** How the last attempt ended, for the case that no further instance is found. */
    mesh::AttemptOutcome lastOutcome = mesh::AttemptOutcome::notOffered;
    HopAnswer lastAnswer;
    int arrivals = 0, notOffered = 0;
    bool mayHaveRun = false, hedged = false, done = false;
};

} // namespace copperlead::sidecar
