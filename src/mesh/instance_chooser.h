/** Chooses the instance for a request by the time in which it is expected to finish there.

    expected = run x speed x (1 + max (0, load + 1 - slots) / slots) + crossing,

    where `run` is the route's usual run time, `speed` is the instance's run time relative to that,
    and `crossing` is the cost of sending the bytes to another zone, expressed as time. `load` is
    the load that the instance's node last reported; it decays with the age of the report and is
    never less than the number of requests that this node has in flight there. The price of a byte
    isn't known here, so the crossing cost is proportional to the route's target latency, and
    routes with a long target cross zones less often.
*/
#pragma once

#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "mesh/instance_directory.h"
#include "mesh/mesh_configuration.h"

namespace copperlead::mesh
{

struct ChooserSettings
{
    Locality locality;           /**< The zone and region of this node. */
    double crossingShare = 0.05; /**< Cost of a zone crossing, as a share of the target latency. */
    double crossingSharePerKilobyte = 0.04;
    double regionFactor = 6;     /**< Cost of a region crossing in zone crossings. */
    double loadHalfLifeMs = 500; /**< Time in which the weight of a reported load halves. */

    /** Relative random variation of the cost. It keeps nodes that have the same information from
        all choosing the same instance.
    */
    double noise = 0.1;
};

/** The load of a node's local instance, which the node reports with each answer. */
struct LoadReport
{
    double load = 0;           /**< Number of requests that are running or queued there. */
    double runMs = 0;          /**< Usual run time there, over all routes; 0 if unknown. */
    double bodyTransferMs = 0; /**< Expected time to transfer a large body over its node's link. */
};

/** The request for which an instance is chosen. */
struct ChoiceRequest
{
    const Route* route = nullptr;
    std::string service;
    std::size_t requestBytes = 0;
    std::vector<std::string> excluded; /**< Ids of the instances already tried. */
    const Tenant* tenant = nullptr;    /**< The tenant that sent the request, or null. */

    bool excludes (const std::string& id) const;
};

struct Choice
{
    Instance instance;
    double expectedMs = 0;
    double load = 0;  /**< The load estimate used for the choice. */
    double ageMs = 0; /**< Age of the load report; negative if there is none. */
};

/** Whether instances that are suspected are drawn for a poll when no other may have room. */
enum class Suspects : std::uint8_t
{
    leftOut,
    drawn
};

/** Not thread-safe. */
class InstanceChooser
{
public:
    InstanceChooser (ChooserSettings settingsToUse, std::uint64_t seed);

    /** Draws random instances that may get the request, for a poll. Instances that are avoided or
        lapsed aren't drawn, and those at their limits only if there are no others.
        @param suspects  whether suspected instances are drawn before those at their limits
    */
    std::vector<Instance> sample (Timestamp now, const DirectorySnapshot& directory,
                                  const ChoiceRequest& request, std::size_t count,
                                  Proximity proximity, Suspects suspects = Suspects::leftOut);

    /** @returns true if the allowed regions of the route and the tenant include the instance */
    bool isAllowed (const Instance& instance, const ChoiceRequest& request) const;
    const Locality& locality() const { return settings.locality; }

    /** @returns true while the instance is neither avoided nor suspected, and doesn't leave */
    bool mayPrefer (Timestamp now, const std::string& id) const;

    /** The cost of reaching the instance from this node's zone, expressed as time. */
    double crossingMs (const Instance& instance, const ChoiceRequest& request) const;

    /** @returns false when no instance may get the request now */
    bool choose (Timestamp now, const DirectorySnapshot& directory, const ChoiceRequest& request,
                 Choice& choice);

    void started (const std::string& id);
    void ended (const std::string& id);

    /** Updates the run time and answer size estimates after an answer. */
    void recordAnswer (const std::string& id, const Route& route, double runMs, std::size_t bytes);
    void recordReport (Timestamp now, const std::string& id, const LoadReport& report);

    /** Records the limit that an instance stated in an answer that this node has received.
        @param requestsPerSecond  nothing if it stated none
    */
    void recordLimit (const std::string& id, std::optional<double> requestsPerSecond)
    {
        views[id].statedLimit = requestsPerSecond;
    }

    /** Records that an instance stated that it leaves. This incarnation is never chosen again. */
    void recordLeaving (const std::string& id) { leaving.insert (id); }

    /** The limit that an instance stated in the latest answer that this node has received. */
    std::optional<double> statedLimit (const std::string& id) const;

    /** Ranks an instance behind others until its limit allows a request again. */
    void recordLimited (Timestamp now, const std::string& id, Duration availableIn);

    /** Excludes an instance from the choice for the given time. */
    void avoidInstance (Timestamp now, const std::string& id, Milliseconds howLong);

    /** Ranks an instance behind the others for the given time, or until it reports its load again.
        This is for an attempt that takes much longer than expected. Unlike avoidInstance(), it
        doesn't exclude the instance, since under load every instance may be slow.
    */
    void suspect (Timestamp now, const std::string& id, Milliseconds howLong);

    /** The usual run time of the route, in milliseconds. */
    double usualRunMs (const Route& route) const;

    /** Drops the records of instances that are no longer listed and have nothing in flight, and
        resets those of listed instances that have restarted.
    */
    void forgetUnlisted (const DirectorySnapshot& directory);

private:
    struct View
    {
        LoadReport report;
        Timestamp reportedAt{};
        bool hasReport = false;
        int inFlight = 0;
        int inFlightAtReport = 0;
        double speed = 1; /**< Run time relative to the usual one; above 1 is slower. */
        Timestamp avoidedUntil{}, suspectedUntil{};
        Timestamp limitedUntil{}; /**< Its limit allows no request before. */
        std::optional<double> statedLimit;
    };

    void resetIfRestarted (const Instance& instance);
    bool isLimited (Timestamp now, const std::string& id) const;
    bool isExcluded (Timestamp now, const std::string& id) const;
    bool isSuspected (Timestamp now, const std::string& id) const;
    bool mayBeDrawn (Timestamp now, const ListedInstance& candidate,
                     const ChoiceRequest& request) const;

    struct RouteHistory
    {
        double runMs = 0;
        double answerBytes = 1000;
    };

    double loadOf (Timestamp now, const View& view) const;

    /** The weight of the last report, which decays with its age. */
    double reportWeight (Timestamp now, const View& view) const;
    double expectedMs (Timestamp now, const ListedInstance& candidate, const View& view,
                       const ChoiceRequest& request) const;

    ChooserSettings settings;
    std::minstd_rand random;
    std::unordered_map<std::string, View> views;

    /** Start times in Unix ms by instance id, for the instances that state theirs. */
    std::unordered_map<std::string, std::uint64_t> startTimes;

    std::unordered_map<std::string, RouteHistory> routes;

    /** The instances that have stated that they leave. They, and their start times, are kept
        although their entries go, since an entry may be written again.
    */
    std::unordered_set<std::string> leaving;
};

} // namespace copperlead::mesh
