#include "mesh/instance_chooser.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

#include "mesh/hop_header.h"
#include "mesh/milliseconds.h"

namespace copperlead::mesh
{
namespace
{

constexpr double learningRate = 0.1;
constexpr double slowestSpeed = 8, fastestSpeed = 0.25;
// Before a route's first answer, its run time is estimated as this share of its target latency.
constexpr double initialRunShare = 0.3;
// A sample draws up to this many further instances in place of those that can't be used.
constexpr std::size_t extraDraws = 5;
// An instance that states a limit is asked again after this time, since the limit may have ended.
constexpr Milliseconds maxLimitedTime{ 500 };
// Above this number, those that aren't listed are dropped.
constexpr std::size_t maxLeavingInstances = 4096;
constexpr double lapsedPenaltyMs = 10'000, suspectedPenaltyMs = 5'000;

} // namespace

bool ChoiceRequest::excludes (const std::string& id) const
{
    return std::find (excluded.begin(), excluded.end(), id) != excluded.end();
}

InstanceChooser::InstanceChooser (ChooserSettings settingsToUse, std::uint64_t seed)
    : settings (std::move (settingsToUse))
    , random (static_cast<std::minstd_rand::result_type> (seed % std::minstd_rand::modulus))
{
}

double InstanceChooser::usualRunMs (const Route& route) const
{
    const auto found = routes.find (route.name);

    if (found == routes.end() || found->second.runMs <= 0)
        return initialRunShare * static_cast<double> (route.targetLatency.count());

    return found->second.runMs;
}

double InstanceChooser::loadOf (Timestamp now, const View& view) const
{
    const double own = view.inFlight;

    if (! view.hasReport)
        return own;

    const auto decayed = view.report.load * reportWeight (now, view);
    return std::max (own, decayed + view.inFlight - view.inFlightAtReport);
}

double InstanceChooser::reportWeight (Timestamp now, const View& view) const
{
    return std::exp2 (-toMilliseconds (now - view.reportedAt) / settings.loadHalfLifeMs);
}

double InstanceChooser::expectedMs (Timestamp now, const ListedInstance& candidate,
                                    const View& view, const ChoiceRequest& request) const
{
    const auto& instance = candidate.instance;
    const double slots = std::max (instance.slots, 1);
    const auto run = usualRunMs (*request.route) * view.speed;
    const auto meanRun = view.report.runMs > 0 ? view.report.runMs : run;
    const auto ahead = std::max (0.0, loadOf (now, view) + 1 - slots) / slots;
    auto expected = run + ahead * meanRun;

    if (request.requestBytes >= largeBodyBytes)
        expected += view.report.bodyTransferMs * reportWeight (now, view);

    return expected + crossingMs (instance, request);
}

double InstanceChooser::crossingMs (const Instance& instance, const ChoiceRequest& request) const
{
    const auto proximity = settings.locality.proximityTo (instance.zone);

    if (proximity == Proximity::sameZone)
        return 0;

    const auto history = routes.find (request.route->name);
    const auto answer = history == routes.end() ? 1000.0 : history->second.answerBytes;
    const auto kilobytes = (static_cast<double> (request.requestBytes) + answer) / 1000.0;
    const auto factor = proximity == Proximity::otherRegion ? settings.regionFactor : 1;
    return static_cast<double> (request.route->targetLatency.count()) * factor *
           (settings.crossingShare + settings.crossingSharePerKilobyte * kilobytes);
}

bool InstanceChooser::isAllowed (const Instance& instance, const ChoiceRequest& request) const
{
    const auto& locality = settings.locality;
    return locality.allows (request.route->allowedRegions, instance.zone) &&
           (request.tenant == nullptr ||
            locality.allows (request.tenant->allowedRegions, instance.zone));
}

bool InstanceChooser::mayPrefer (Timestamp now, const std::string& id) const
{
    return ! isExcluded (now, id) && ! isSuspected (now, id);
}

bool InstanceChooser::isExcluded (Timestamp now, const std::string& id) const
{
    const auto found = views.find (id);
    return leaving.contains (id) || (found != views.end() && found->second.avoidedUntil > now);
}

bool InstanceChooser::isSuspected (Timestamp now, const std::string& id) const
{
    const auto found = views.find (id);
    return found != views.end() && found->second.suspectedUntil > now;
}

bool InstanceChooser::isLimited (Timestamp now, const std::string& id) const
{
    const auto found = views.find (id);
    return found != views.end() && found->second.limitedUntil > now;
}

bool InstanceChooser::mayBeDrawn (Timestamp now, const ListedInstance& candidate,
                                  const ChoiceRequest& request) const
{
    const auto& id = candidate.instance.id;
    return ! request.excludes (id) && candidate.state == InstanceState::ready &&
           ! isExcluded (now, id) && isAllowed (candidate.instance, request);
}

std::optional<double> InstanceChooser::statedLimit (const std::string& id) const
{
    const auto found = views.find (id);
    return found == views.end() ? std::nullopt : found->second.statedLimit;
}

void InstanceChooser::recordLimited (Timestamp now, const std::string& id, Duration availableIn)
{
    views[id].limitedUntil = now + std::min<Duration> (availableIn, maxLimitedTime);
}

std::vector<Instance> InstanceChooser::sample (Timestamp now, const DirectorySnapshot& directory,
                                               const ChoiceRequest& request, std::size_t count,
                                               Proximity proximity, Suspects suspects)
{
    std::vector<Instance> drawn;
    const auto listed = directory.byService.find (request.service);

    if (listed == directory.byService.end())
        return drawn;

    const auto& all = listed->second;
    const auto range = rangeOf (all, proximity);
    const auto most = std::min (range.size(), count + extraDraws);
    std::vector<std::size_t> tried;
    std::vector<Instance> limited, suspected;

    while (drawn.size() < count && tried.size() < most)
    {
        std::uniform_int_distribution<std::size_t> any (range.begin, range.end - 1);
        const auto place = any (random);

        if (std::find (tried.begin(), tried.end(), place) != tried.end())
            continue;

        tried.push_back (place);
        const auto& candidate = all[place];

        if (! mayBeDrawn (now, candidate, request))
            continue;

        const auto& id = candidate.instance.id;
        auto& rank = isSuspected (now, id) ? suspected : isLimited (now, id) ? limited : drawn;
        rank.push_back (candidate.instance);
    }

    if (drawn.empty() && suspects == Suspects::drawn)
        drawn = std::move (suspected);

    if (drawn.empty())
        drawn = std::move (limited);

    drawn.resize (std::min (drawn.size(), count));
    return drawn;
}

bool InstanceChooser::choose (Timestamp now, const DirectorySnapshot& directory,
                              const ChoiceRequest& request, Choice& choice)
{
    const auto listed = directory.byService.find (request.service);

    if (listed == directory.byService.end())
        return false;

    std::uniform_real_distribution<double> spread (1 - settings.noise, 1 + settings.noise);
    const ListedInstance* best = nullptr;
    auto bestCost = std::numeric_limits<double>::max();

    for (const auto& candidate : listed->second)
    {
        const auto& id = candidate.instance.id;
        const auto& view = views[id];

        if (view.avoidedUntil > now || request.excludes (id) || leaving.contains (id) ||
            ! isAllowed (candidate.instance, request))
            continue;

        auto cost = expectedMs (now, candidate, view, request) * spread (random);

        if (candidate.state == InstanceState::lapsed)
            cost += lapsedPenaltyMs;

        if (view.limitedUntil > now)
            cost += toMilliseconds (view.limitedUntil - now);

        if (view.suspectedUntil > now)
            cost += suspectedPenaltyMs;

        if (cost < bestCost)
        {
            best = &candidate;
            bestCost = cost;
        }
    }

    if (best == nullptr)
        return false;

    const auto& view = views[best->instance.id];
    choice.instance = best->instance;
    choice.expectedMs = bestCost;
    choice.load = loadOf (now, view);
    choice.ageMs = view.hasReport ? toMilliseconds (now - view.reportedAt) : -1;
    return true;
}

void InstanceChooser::started (const std::string& id) { ++views[id].inFlight; }

void InstanceChooser::ended (const std::string& id)
{
    auto& view = views[id];
    view.inFlight = std::max (0, view.inFlight - 1);
    view.inFlightAtReport = std::min (view.inFlightAtReport, view.inFlight);
}

void InstanceChooser::recordAnswer (const std::string& id, const Route& route, double runMs,
                                    std::size_t bytes)
{
    auto& history = routes[route.name];
    auto& view = views[id];

    if (history.runMs <= 0)
        history.runMs = runMs;

    const auto ratio = runMs / std::max (history.runMs, 1.0);
    view.speed += learningRate * (std::clamp (ratio, fastestSpeed, slowestSpeed) - view.speed);
    // The route's time is learned at half the rate, so that slow instances change it less.
    history.runMs += learningRate / 2 * (runMs - history.runMs);
    history.answerBytes += learningRate * (static_cast<double> (bytes) - history.answerBytes);
}

void InstanceChooser::recordReport (Timestamp now, const std::string& id, const LoadReport& report)
{
    auto& view = views[id];
    view.report = report;
    view.reportedAt = now;
    view.hasReport = true;
    view.suspectedUntil = {};
    view.inFlightAtReport = view.inFlight;
}

void InstanceChooser::avoidInstance (Timestamp now, const std::string& id, Milliseconds howLong)
{
    auto& until = views[id].avoidedUntil;
    until = std::max (until, now + howLong);
}

void InstanceChooser::suspect (Timestamp now, const std::string& id, Milliseconds howLong)
{
    auto& until = views[id].suspectedUntil;
    until = std::max (until, now + howLong);
}

void InstanceChooser::resetIfRestarted (const Instance& instance)
{
    if (instance.startTimeMs == 0)
        return;

    auto& known = startTimes[instance.id];
    const bool hasRestarted = known != 0 && instance.startTimeMs > known;
    known = std::max (known, instance.startTimeMs);

    if (! hasRestarted)
        return;

    leaving.erase (instance.id);
    const auto found = views.find (instance.id);

    if (found == views.end())
        return;

    // Attempts in flight are kept, since ended() is still called for each of them.
    const int inFlight = found->second.inFlight;
    found->second = {};
    found->second.inFlight = inFlight;
}

void InstanceChooser::forgetUnlisted (const DirectorySnapshot& directory)
{
    std::set<std::string> listed;

    for (const auto& [service, instances] : directory.byService)
        for (const auto& candidate : instances)
        {
            listed.insert (candidate.instance.id);
            resetIfRestarted (candidate.instance);
        }

    std::erase_if (views, [&] (const auto& item)
                   { return item.second.inFlight == 0 && ! listed.contains (item.first); });

    if (leaving.size() > maxLeavingInstances)
        std::erase_if (leaving, [&] (const auto& id) { return ! listed.contains (id); });

    std::erase_if (startTimes,
                   [&] (const auto& item)
                   {
                       return ! listed.contains (item.first) && ! views.contains (item.first) &&
                              ! leaving.contains (item.first);
                   });
}

} // namespace copperlead::mesh
