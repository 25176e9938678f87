/** Chooses the instance of a request by the time in which it is expected to finish there.

    expected = run x speed x (1 + max (0, load + 1 - slots) / slots) + crossing,

    where `run` is the route's usual time, `speed` the instance's pace relative to that, `load` what
    its node last told, fading, and never under what this node has there, and `crossing` what it
    costs to send the bytes to another zone. The price of a byte isn't known here: it is taken in
    proportion to the route's target latency, so that patient routes cross zones less.
*/
#pragma once

#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "mesh/instance_directory.h"
#include "mesh/mesh_configuration.h"

namespace copperlead::mesh
{

struct ChooserSettings
{
    Locality locality;           /**< Of this node. */
    double crossingShare = 0.05; /**< Of the target latency, for each crossing of zones. */
    double crossingSharePerKilobyte = 0.04;
    double regionFactor = 6;     /**< Crossings of regions in those of zones. */
    double loadHalfLifeMs = 500; /**< In which what was told of a load halves. */
    double noise = 0.1;          /**< Spreads nodes that know the same. */
};

/** What a node tells of the instance beside it, with each answer. */
struct LoadReport
{
    double load = 0;   /**< Requests that run and wait there. */
    double runMs = 0;  /**< Usual time of a run there, over all routes; 0: unknown. */
    double bodyMs = 0; /**< Until a large body would have arrived over its node's link. */
};

/** What is asked for. */
struct ChoiceRequest
{
    const Route* route = nullptr;
    std::string service;
    std::size_t requestBytes = 0;
    std::vector<std::string> excluded; /**< Ids of instances that were tried. */
    const Tenant* tenant = nullptr;    /**< Whose request it is; null: nobody's. */

    bool excludes (const std::string& id) const;
};

struct Choice
{
    Instance instance;
    double expectedMs = 0;
    double load = 0;  /**< That it was chosen by. */
    double ageMs = 0; /**< Of the report behind it; negative: never heard. */
};

/** Not thread-safe. */
class InstanceChooser
{
public:
    InstanceChooser (ChooserSettings settingsToUse, std::uint64_t seed);

    /** Draws instances at random that may get the request, for a poll. Those that are shunned,
        suspected or lapsed aren't drawn.
    */
    std::vector<Instance> sample (Timestamp now, const DirectorySnapshot& directory,
                                  const ChoiceRequest& request, std::size_t count,
                                  Proximity proximity);

    /** Whether the request may be served there: by the regions of its route and its tenant. */
    bool isAllowed (const Instance& instance, const ChoiceRequest& request) const;
    const Locality& locality() const { return settings.locality; }

    /** @returns true while the instance may be preferred: neither shunned nor suspected */
    bool mayPrefer (Timestamp now, const std::string& id) const;

    /** What it costs to reach the instance from this zone, as time. */
    double crossingMs (const Instance& instance, const ChoiceRequest& request) const;

    /** @returns false when no instance may get the request now */
    bool choose (Timestamp now, const DirectorySnapshot& directory, const ChoiceRequest& request,
                 Choice& choice);

    void started (const std::string& id);
    void ended (const std::string& id);

    /** Learns from an answer: how long the run took there and how large the answer was. */
    void answered (const std::string& id, const Route& route, double runMs, std::size_t bytes);
    void reported (Timestamp now, const std::string& id, const LoadReport& report);

    /** Keeps requests away from an instance for a while. */
    void shun (Timestamp now, const std::string& id, Milliseconds howLong);

    /** An attempt there takes much longer than expected: others go first for a while, or until it
        answers. Softer than shun(), since under load every instance may be slow.
    */
    void suspect (Timestamp now, const std::string& id, Milliseconds howLong);

    /** The usual time of a run of the route, in milliseconds. */
    double usualRunMs (const Route& route) const;

    /** Drops what is known of instances that are no longer listed, and of former incarnations of
        those that are.
    */
    void forgetAllBut (const DirectorySnapshot& directory);

private:
    struct View
    {
        LoadReport report;
        Timestamp reportedAt{};
        bool heard = false;
        int inFlight = 0;
        int inFlightAtReport = 0;
        double speed = 1; /**< Over 1: slower than usual. */
        Timestamp shunnedUntil{}, suspectedUntil{};
    };

    void forgetFormer (const Instance& instance);

    struct RouteHistory
    {
        double runMs = 0;
        double answerBytes = 1000;
    };

    double loadOf (Timestamp now, const View& view) const;

    /** The share of what was told that is still counted on. */
    double fading (Timestamp now, const View& view) const;
    double expectedMs (Timestamp now, const ListedInstance& candidate, const View& view,
                       const ChoiceRequest& request) const;

    ChooserSettings settings;
    std::minstd_rand random;
    std::unordered_map<std::string, View> views;
    std::unordered_map<std::string, std::uint64_t> born; /**< Of those that tell, by id; Unix ms. */
    std::unordered_map<std::string, RouteHistory> routes;
};

} // namespace copperlead::mesh
