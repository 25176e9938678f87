/** The last hop of a request: from the node beside an instance to that instance. No other component
    sends requests to the instance, so the last hop limits what runs there, detects which instance
    it actually is, and reports whether a request has run. Runs on the reactor's thread.
*/
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "mesh/admission_queue.h"
#include "mesh/cold_start.h"
#include "mesh/crash_watch.h"
#include "mesh/failure_share.h"
#include "mesh/hop_header.h"
#include "mesh/instance_directory.h"
#include "mesh/latency_histogram.h"
#include "mesh/load_query.h"
#include "mesh/local_instance.h"
#include "sidecar/decision_log.h"
#include "sidecar/earliest_timer.h"
#include "sidecar/header_names.h"
#include "sidecar/http/http_client.h"
#include "sidecar/instance/crash_guard.h"
#include "sidecar/instance/health_probe.h"
#include "sidecar/instance/instance_statement.h"

namespace copperlead::sidecar
{

/** A request for the instance, from another node or from this one. */
struct HopCall
{
    mesh::HopRequest facts;
    std::string method, target;
    /** End-to-end fields, including Host. */
    HeaderFields fields;
    Body body;
    /** Returns true if the caller has disconnected, even if the event hasn't been handled yet. */
    std::function<bool()> abandoned;
    bool overLink = false; /**< The answer goes to another node. */
};

mesh::RequestIdentity identityOf (const HopCall& call);

/** The result of a call. All members except the report are empty unless the instance answered. */
struct HopAnswer
{
    mesh::HopReport report;
    int status = 0;
    std::string reason;
    HeaderFields fields;
    Body body;
};

struct LastHopSettings
{
    HeaderNames names;
    SocketAddress instanceAddress;
    /** The instance's service according to the settings. */
    std::string service;
    std::string zone;
    /** Requests that may run at the instance beyond its slots. */
    int extraSlots = 0;
    mesh::ColdBounds coldBounds;
    BufferPools answerPools; /**< Memory for the instance's responses. */
};

/** Counters since the process started. */
struct LastHopCounters
{
    mesh::LatencyHistogram queue, instance; /**< Time in the queue, and at the instance. */
    std::uint64_t coldProbes = 0;           /**< Probes of whether the instance is cold. */
    std::uint64_t limitProbes = 0; /**< Probes of whether the instance's limit still holds. */
    std::uint64_t crashProbes = 0; /**< Probes of whether the instance has crashed. */
    /** Crashes of the instance while requests ran there. */
    std::uint64_t crashes = 0;
    /** Fields of its answers that were ignored since their values can't be used. */
    std::uint64_t unusableFields = 0;
};

class LastHop : public std::enable_shared_from_this<LastHop>
{
public:
    using Callback = std::function<void (HopAnswer)>;
    using CallId = std::uint64_t;

    LastHop (std::shared_ptr<Reactor> reactorToUse, LastHopSettings settingsToUse,
             std::shared_ptr<DecisionLog> logToUse);
    ~LastHop();

    /** Returns the cause for which a request would be refused immediately, regardless of the load;
        `none` if it wouldn't be.
    */
    mesh::HopCause refusalOf (const mesh::HopRequest& facts) const;

    /** Returns the report for a request that isn't run. */
    mesh::HopReport refusal (mesh::HopCause cause) const
    {
        return report (mesh::HopOutcome::notRun, cause);
    }

    /** Predicts what would happen to a request that arrived now.
        @param overLink  whether the request would come from another node
    */
    mesh::LoadReply forecast (const mesh::LoadQuery& query, bool overLink) const;

    /** Returns the id of the instance beside this node. */
    const std::string& instanceId() const { return instance.id(); }

    /** Returns the time in milliseconds until a large body would have arrived over this node's
        link, for the reports.
    */
    std::function<double()> bodyTransferMs;

    /** Returns the time in milliseconds until a large answer of this size would have been sent over
        this node's link.
    */
    std::function<double (double bytes)> answerMs;

    /** Starts a call. The callback is never called before this function returns, nor after
        cancel().
    */
    CallId start (HopCall call, Callback callback);

    /** Cancels a call whose caller no longer wants the answer. A request that may be repeated is
        also aborted at the instance.
    */
    void cancel (CallId id);

    void setDirectory (Timestamp now, const mesh::DirectorySnapshot& directory);
    void setServiceSettings (const mesh::ServiceSettings& service);
    void setService (std::string service);

    /** Sets the guard that receives crashes and decides which requests are held. Without one, no
        request is held.
    */
    void setCrashGuard (std::shared_ptr<CrashGuard> newGuard) { guard = std::move (newGuard); }
    void setConfigurationVersion (std::uint64_t version) { configurationVersion = version; }

    /** From now on, refuses requests that are not expected to finish before `end`. */
    void setRunDeadline (Timestamp end) { runDeadline = end; }

    /** Refuses all waiting requests, and all that arrive from now on. */
    void stopAccepting();

    /** Probes an instance that is lost, unknown or possibly cold. Has to be called several times a
        second.
    */
    void tick (Timestamp now);

    /** Returns the share of repeated requests among the recent runs. */
    double repeatShare() const { return repeats; }

    /** Returns the share of failures among the recent runs. */
    double failureShare (Timestamp now) const { return failures.at (now); }

    /** Returns whether the instance leaves, by its entry or by its own statement. */
    bool instanceLeaving() const { return instance.leaving(); }

    /** Returns how long the instance stays cold, in ms; zero or negative if it is warm. */
    double coldMs (Timestamp now) const;

    std::size_t inFlight() const { return calls.size() + transfers.size(); }
    const LastHopCounters& counters() const { return counts; }
    const mesh::AdmissionQueue& admission() const { return queue; }
    const ClientCounters& clientCounters() const { return client->counters(); }

private:
    /** A call that waits in the queue or runs at the instance. */
    struct PendingCall
    {
        HopCall call;
        DeferredCallback<HopAnswer> callback;
        Timestamp arrivedAt{}, deadline{}, startedAt{};
        std::string addressedId; /**< The instance that the request was sent to. */
        CallPointer http;
    };

    mesh::HopCause refusalOf (const std::string& service, double usualRunMs) const;
    void run (CallId id, Timestamp now);
    bool dropAbandoned (CallId id);
    bool dropHeld (CallId id);
    bool isHeld (const HopCall& call) const;
    void pump();
    void armTimer();
    void adoptIdentity (Timestamp now, mesh::IdentitySource by, const std::string& before);
    void setEvacuated (Timestamp now, bool isEvacuated);
    void presumeCold (Timestamp now, std::string_view cause);
    void applyColdState (Timestamp now, std::string_view cause);
    void probeIfColdUnknown (Timestamp now);
    mesh::HopCause queueRefusalCause (Timestamp now) const;
    void refuse (CallId id, mesh::HopCause cause);
    void refuseAll (const std::vector<CallId>& ids, mesh::HopCause cause);
    void onResult (CallId id, CallResult result);
    void updateInstance (const CallResult& result, const std::string& addressedId);
    void recordStatement (Timestamp now, const CallResult& result, bool isHealthAnswer);
    void recordLimit (Timestamp now, const CallResult& result, std::optional<double> perSecond,
                      bool isHealthAnswer);
    void adoptLimit (Timestamp now, const mesh::HopRequest& facts);
    void logLeaving (Timestamp now, std::string_view by);
    void handleLimitChange (Timestamp now);
    void followLimit (Timestamp now);
    void probeIfLimitUnconfirmed (Timestamp now);
    void logLimit (Timestamp now);
    void recordUnanswered (const PendingCall& running);
    void recordAlive (Timestamp sentAt);
    void recordRefusedConnection (Timestamp now);
    void recordLostProbe();
    void armCrashCheck();
    void checkForCrash();
    void reportCrash();
    void recordFailure (mesh::HopOutcome outcome, const CallResult& result);
    void complete (CallId id, HopAnswer answer);
    void trackTransfer (CallId id, const PendingCall& running, BodyStream& rest);
    void recordBrokenOff (const std::string& requestId, const std::string& instanceId,
                          Timestamp startedAt, Timestamp deadline);
    mesh::HopReport report (mesh::HopOutcome outcome, mesh::HopCause cause) const;
    Message messageFor (const PendingCall& running, Timestamp now) const;
    void probe();
    void onProbeAnswer (const HealthAnswer& answer);
    static Timestamp targetOf (const PendingCall& running);
    double transferMs (const std::string& route, bool overLink) const;
    void updateAnswerSize (const std::string& route, std::size_t bytes);
    void logRefusal (const PendingCall& running, mesh::HopCause cause);

    std::shared_ptr<Reactor> reactor;
    /** Fires at the next expiry or start in the queue. */
    EarliestTimer timer;
    LastHopSettings settings;
    std::shared_ptr<DecisionLog> log;
    std::shared_ptr<HttpClient> client;
    std::shared_ptr<HealthProbe> health;
    mesh::AdmissionQueue queue;
    mesh::LocalInstance instance;
    mesh::ColdStart coldStart;
    mesh::CrashWatch crashes;
    /** Null if no request is to be held. */
    std::shared_ptr<CrashGuard> guard;
    bool crashCheckArmed = false, crashReportArmed = false;
    std::unordered_map<CallId, PendingCall> calls;
    /** The callbacks of calls that have ended, until they are called. */
    std::unordered_map<CallId, DeferredCallback<HopAnswer>> ended;
    /** Calls whose large answers are still being passed on. */
    std::unordered_set<CallId> transfers;
    LastHopCounters counts;
    CallId lastId = 0;
    const Timestamp createdAt = SteadyClock().Now();
    double repeats = 0;
    mesh::FailureShare failures;
    /** Average size of large answers, by route. */
    std::unordered_map<std::string, double> answerBytes;
    std::uint64_t configurationVersion = 0;
    Timestamp runDeadline = Timestamp::max();
    bool stopping = false;
    /** Whether this node's zone is evacuated. */
    bool evacuated = false;
    std::uint64_t sentSinceLimitLine = 0;
    Timestamp limitLineAt{};
};

} // namespace copperlead::sidecar
