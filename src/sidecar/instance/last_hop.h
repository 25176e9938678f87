/** The last hop of a request: from the node beside an instance into that instance. It alone speaks
    to the instance, so it bounds what runs there, knows which instance it truly is, and says
   whether a request has run. Of the reactor's thread.
*/
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

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

namespace copperlead::sidecar
{

/** A request that another node, or this one, hands over. */
struct HopCall
{
    mesh::HopRequest facts;
    std::string method, target;
    HeaderFields fields; /**< End-to-end ones, with Host. */
    std::string body;
    std::function<bool()> abandoned; /**< Whether its caller has left, also if unhandled so far. */
    bool overLink = false;           /**< Its answer goes to another node. */
};

mesh::RequestIdentity identityOf (const HopCall& call);

/** What came of it; everything but the report is empty unless the instance answered. */
struct HopAnswer
{
    mesh::HopReport report;
    int status = 0;
    std::string reason;
    HeaderFields fields;
    std::string body;
};

struct LastHopSettings
{
    HeaderNames names;
    SocketAddress instanceAddress;
    std::string service; /**< That the settings name for the instance. */
    std::string zone;
    int extraSlots = 0; /**< Requests at the instance beyond its slots. */
    mesh::ColdBounds coldBounds;
};

/** Counted since the start. */
struct LastHopCounters
{
    mesh::LatencyHistogram queue, instance; /**< Wait before a run, and time at the instance. */
    std::uint64_t coldQuestions = 0;        /**< Whether the instance is cold. */
    std::uint64_t crashQuestions = 0;       /**< Whether the instance has crashed. */
    std::uint64_t crashes = 0;              /**< Of the instance, while something ran there. */
};

class LastHop : public std::enable_shared_from_this<LastHop>
{
public:
    using Callback = std::function<void (HopAnswer)>;
    using CallId = std::uint64_t;

    LastHop (std::shared_ptr<Reactor> reactorToUse, LastHopSettings settingsToUse,
             std::shared_ptr<DecisionLog> logToUse);
    ~LastHop();

    /** What would be said at once to a request, whatever runs and waits; none: nothing. */
    mesh::HopCause refusalOf (const mesh::HopRequest& facts) const;

    /** The report of a request that isn't run. */
    mesh::HopReport refusal (mesh::HopCause cause) const
    {
        return report (mesh::HopOutcome::notRun, cause);
    }

    /** How a request would be taken that came now.
        @param overLink  from another node
    */
    mesh::LoadReply forecast (const mesh::LoadQuery& query, bool overLink) const;

    /** The instance beside this node. */
    const std::string& instanceId() const { return instance.id(); }

    /** Until a large body would have come over this node's link, for its reports. */
    std::function<double()> bodyMs;

    /** Until a large answer of that many bytes would be through, over this node's link. */
    std::function<double (double bytes)> answerMs;

    /** The callback may come before this returns; after cancel() it doesn't come. */
    CallId start (HopCall call, Callback callback);

    /** The caller no longer wants the answer. What may be repeated is broken off at the instance.
     */
    void cancel (CallId id);

    void setDirectory (Timestamp now, const mesh::DirectorySnapshot& directory);
    void setServiceSettings (const mesh::ServiceSettings& service);
    void setService (std::string service);

    /** Told of crashes, and asked what not to run; without one everything is run. */
    void setCrashGuard (std::shared_ptr<CrashGuard> newGuard) { guard = std::move (newGuard); }
    void setConfigurationVersion (std::uint64_t version) { configurationVersion = version; }

    /** Refuses from now on what can't be expected to end before `end`. */
    void setEnd (Timestamp end) { endsAt = end; }

    /** Refuses what comes from now on, and what waits. */
    void stopTaking();

    /** To be called some times a second: probes an instance that is lost or not known, or may be
        cold.
    */
    void tick (Timestamp now);

    /** The share of repeats among the runs here lately. */
    double repeatShare() const { return repeats; }

    /** The share of failures among the runs here lately. */
    double failureShare (Timestamp now) const { return failures.at (now); }

    /** For how long the instance stays cold; negative or zero when it is warm. */
    double coldMs (Timestamp now) const;

    std::size_t inFlight() const { return calls.size(); }
    const LastHopCounters& counters() const { return counts; }
    const mesh::AdmissionQueue& admission() const { return queue; }
    const ClientCounters& clientCounters() const { return client->counters(); }

private:
    struct Running
    {
        HopCall call;
        Callback callback;
        Timestamp arrivedAt{}, deadline{}, startedAt{};
        CallPointer http;
    };

    mesh::HopCause refusalOf (const std::string& service, double usualRunMs) const;
    void run (CallId id, Timestamp now);
    bool dropAbandoned (CallId id);
    bool dropHeld (CallId id);
    bool isHeld (const HopCall& call) const;
    void pump();
    void armTimer();
    void takeIdentity (Timestamp now, mesh::IdentitySource by, const std::string& before);
    void setEvacuated (Timestamp now, bool isEvacuated);
    void presumeCold (Timestamp now, std::string_view cause);
    void followColdStart (Timestamp now, std::string_view cause);
    void askWhetherCold (Timestamp now);
    mesh::HopCause fullCause (Timestamp now) const;
    void refuse (CallId id, mesh::HopCause cause);
    void refuseAll (const std::vector<CallId>& ids, mesh::HopCause cause);
    void onResult (CallId id, CallResult result);
    void learn (const CallResult& result);
    void learnUnanswered (const Running& running);
    void learnAlive (Timestamp sentAt);
    void learnGone (Timestamp now);
    void learnQuestionCut();
    void armCrashCheck();
    void checkForCrash();
    void reportCrash();
    void learnFailure (mesh::HopOutcome outcome, const CallResult& result);
    void complete (CallId id, HopAnswer answer);
    mesh::HopReport report (mesh::HopOutcome outcome, mesh::HopCause cause) const;
    std::string messageFor (const Running& running, Timestamp now) const;
    void probe();
    void onProbed (const HealthAnswer& answer);
    static Timestamp targetOf (const Running& running);
    double transferMs (const std::string& route, bool overLink) const;
    void learnSize (const std::string& route, std::size_t bytes);
    void logRefusal (const Running& running, mesh::HopCause cause);

    std::shared_ptr<Reactor> reactor;
    EarliestTimer timer; /**< For what waits in the queue. */
    LastHopSettings settings;
    std::shared_ptr<DecisionLog> log;
    std::shared_ptr<HttpClient> client;
    std::shared_ptr<HealthProbe> health;
    mesh::AdmissionQueue queue;
    mesh::LocalInstance instance;
    mesh::ColdStart coldStart;
    mesh::CrashWatch crashes;
    std::shared_ptr<CrashGuard> guard; /**< Null: nothing is held. */
    bool crashCheckArmed = false, crashReportArmed = false;
    std::unordered_map<CallId, Running> calls;
    LastHopCounters counts;
    CallId lastId = 0;
    const Timestamp createdAt = SteadyClock().Now();
    double repeats = 0;
    mesh::FailureShare failures;
    std::unordered_map<std::string, double>
        answerBytes; /**< Usual ones of large answers, by route. */
    std::uint64_t configurationVersion = 0;
    Timestamp endsAt = Timestamp::max();
    bool stopping = false;
    bool evacuated = false; /**< The zone is. */
};

} // namespace copperlead::sidecar
