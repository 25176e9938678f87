#include "sidecar/sidecar_settings.h"

#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

#include "mesh/milliseconds.h"

namespace copperlead::sidecar
{
namespace
{

namespace options = boost::program_options;

constexpr int maxExtraSlots = 64;

options::options_description describeOptions()
{
    options::options_description all ("copperlead-sidecar settings (flags or settings file)");
    const auto text = [] { return options::value<std::string>(); };
    const HeaderNames names;
    const auto header = [] (const std::string& name)
    { return options::value<std::string>()->default_value (name); };
    // clang-format off
    all.add_options()
        ("help", "show this text")
        ("settings", text(), "FILE with `key = value` lines; flags win")
        ("id", text(), "NAME of this node (required)")
        ("zone", text(), "NAME of this node's zone (required)")
        ("service", text(), "NAME of the service whose instance runs on this machine (required)")
        ("outbound", text(), "IP:PORT for this machine's clients and instance (required)")
        ("inbound", text(), "IP:PORT for other nodes; the port is the same on all (required)")
        ("readiness", text(), "IP:PORT that tells whether this node takes requests (required)")
        ("readiness-path", text()->default_value ("/readyz"), "PATH asked there")
        ("instance", text(), "IP:PORT of the instance on this machine (required)")
        ("source", text(), "IP:PORT of the configuration source (required)")
        ("relay", text()->default_value (""), "IP:PORT, UDP, for beats between nodes; the port is the same on all; empty: each reads the source alone")
        ("load-queries", text()->default_value (""), "IP:PORT, UDP, by which nodes ask each other for the load of instances; the port is the same on all; empty: none are asked")
        ("cpu-share", text()->default_value (""), "cores of this machine, 0.001 to 1024; empty: 1")
        ("link-mbps", text()->default_value (""), "bandwidth of this machine, 0.001 to 1000000; empty: 1000")
        ("memory-mb", text()->default_value (""), "memory of this machine for this process, in millions of bytes, 112 to 1000000; empty: 160")
        ("metrics", text()->default_value (""), "PORT/PATH for metrics, on the outbound IP")
        ("extra-slots", text()->default_value ("0"), "requests at the instance beyond its slots, 0 to 64")
        ("changes-within-ms", text()->default_value (""), "in which a configuration is to be in force on every node, 500 to 600000; empty: 2000")
        ("drain-within-ms", text()->default_value (""), "in which a leaving instance is to get nothing new, 500 to 600000; empty: 2000")
        ("entry-heartbeat-ms", text()->default_value (""), "at which instances renew their entries, which expire after three of them, 400 to 60000; empty: 1500")
        ("evacuate-within-ms", text()->default_value (""), "in which an evacuated zone's instances are to get nothing new, 500 to 600000; empty: 5000")
        ("cold-over", text()->default_value (""), "requests in a second that make a cold instance fall over, as a multiple of what it bears, 1 to 100; empty: 1")
        ("cold-slack", text()->default_value (""), "requests beyond that, 0 to 1000000; empty: 0")
        ("grace-s", text()->default_value (""), "seconds from SIGTERM until the kill, 1 to 3600; empty: 6")
        ("retry-ratio", text()->default_value (""), "retries for each request, over the fleet, 0 to 10; empty: 0.2")
        ("retry-slack", text()->default_value (""), "retries beyond that in a window, over the fleet, 0 to 1000000; empty: 64")
        ("retry-window-s", text()->default_value (""), "the window of the two, 1 to 3600; empty: 10")
        ("header-request-id", header (names.requestId), "field with a request's id")
        ("header-deadline", header (names.deadline), "field with the time a client waits, in ms")
        ("header-signature", header (names.signature), "field that instances sign answers with")
        ("header-expect-instance", header (names.expectInstance), "field that names the instance meant")
        ("header-instance-id", header (names.instanceId), "field by which an instance names itself")
        ("header-not-run", header (names.notRun), "field of answers to what was not run")
        ("header-cold-time", header (names.coldTime), "field of health answers that says how long the instance stays cold, in ms")
        ("header-rate-limit", header (names.rateLimit), "field of an instance's answers with the requests a second that it accepts from all nodes")
        ("header-leaving", header (names.leaving), "field that is 1 on the answers of an instance that leaves")
        ("header-caller", header (names.caller), "field with the calling service")
        ("header-credential", header (names.credential), "field with a client's key; goes to nobody")
        ("header-tenant", header (names.tenant), "field that tells instances whose key the client showed")
        ("zone-regions", text()->default_value (""), "the mesh's zones and their regions, as ZONE=REGION joined by commas; empty: one region")
        ("revoke-within-ms", text()->default_value (""), "after which, without a word of the source, a key may have been taken away, 500 to 600000; empty: 5000")
        ("revoke-fail-closed", text()->default_value (""), "true: keys aren't accepted after that; false or empty: they still are")
        ("crash-limit", text()->default_value (""), "crashes of instances under a request from which no instance gets it for a while, 0 to 8; 0: it is always sent on; empty: 2")
        ("crash-hold-s", text()->default_value (""), "seconds for which no instance gets it at first, 1 to 86400; empty: 60")
        ("quota-window-s", text()->default_value (""), "the window in which a tenant's quota holds, 1 to 3600; empty: 5")
        ("quota-over", text()->default_value (""), "by how much of it a quota may be exceeded over all nodes, 0 to 10; empty: 0.25")
        ("quota-slack", text()->default_value (""), "requests beyond that, 0 to 1000000; empty: 20");
    // clang-format on
    return all;
}

boost::leaf::error_id bad (const std::string& key, const std::string& value,
                           const std::string& allowed)
{
    return Fail (ErrorKind::kBadSetting, key, "\"" + value + "\" is not allowed: " + allowed);
}

/** Typed access to the values merged from flags and file. */
class Values
{
public:
    explicit Values (const options::variables_map& mapToRead)
        : map (mapToRead)
    {
    }

    std::string text (const std::string& key) const
    {
        return map.count (key) > 0 ? map[key].as<std::string>() : std::string();
    }

    Result<std::string> name (const std::string& key) const
    {
        auto value = text (key);

        if (value.empty() || value.find_first_of (" \t\r\n;") != std::string::npos)
            return bad (key, value, "a name without blanks (required)");

        return value;
    }

    Result<SocketAddress> address (const std::string& key) const
    {
        const auto value = text (key);
        const auto parsed = Resolve ([&] { return ParseSocketAddress (value); });

        if (! parsed)
            return bad (key, value, "a numeric IP:PORT (required)");

        return parsed.value();
    }

    Result<int> wholeNumber (const std::string& key, int minimum, int maximum) const
    {
        const auto value = text (key);
        int number = 0;
        const auto* const end = value.data() + value.size();
        const auto [stop, code] = std::from_chars (value.data(), end, number);

        if (code != std::errc() || stop != end || number < minimum || number > maximum)
            return bad (key, value,
                        "a whole number from " + std::to_string (minimum) + " to " +
                            std::to_string (maximum));

        return number;
    }

    /** Reads a number, or returns `defaultValue` for an empty text. */
    Result<double> number (const std::string& key, double minimum, double maximum,
                           double defaultValue) const
    {
        const auto value = text (key);

        if (value.empty())
            return defaultValue;

        double number = 0;
        const auto* const end = value.data() + value.size();
        const auto [stop, code] = std::from_chars (value.data(), end, number);

        if (code != std::errc() || stop != end || ! (number >= minimum && number <= maximum))
            return bad (key, value, fmt::format ("a number from {} to {}", minimum, maximum));

        return number;
    }

private:
    const options::variables_map& map;
};

/** Reads ZONE=REGION pairs that are joined by commas. */
Result<std::map<std::string, std::string>> readZoneRegions (const Values& values)
{
    const std::string key = "zone-regions";
    const auto value = values.text (key);
    std::map<std::string, std::string> regions;
    std::istringstream pairs (value);

    for (std::string pair; std::getline (pairs, pair, ',');)
    {
        const auto equals = pair.find ('=');

        if (equals == 0 || equals == std::string::npos || equals + 1 == pair.size())
            return bad (key, value, "ZONE=REGION pairs, joined by commas");

        regions[pair.substr (0, equals)] = pair.substr (equals + 1);
    }

    return regions;
}

Result<Done> readTenancy (const Values& values, SidecarSettings& settings)
{
    const std::string key = "revoke-fail-closed";
    const auto failClosed = values.text (key);

    if (! failClosed.empty() && failClosed != "true" && failClosed != "false")
        return bad (key, failClosed, "true or false");

    settings.credentials.failClosed = failClosed == "true";
    BOOST_LEAF_AUTO (window, values.number ("quota-window-s", 1, 3600, 5));
    settings.quotas.window = mesh::fromSeconds (window);
    BOOST_LEAF_ASSIGN (settings.quotas.excessShare, values.number ("quota-over", 0, 10, 0.25));
    BOOST_LEAF_ASSIGN (settings.quotas.slack, values.number ("quota-slack", 0, 1e6, 20));
    BOOST_LEAF_ASSIGN (settings.zoneRegions, readZoneRegions (values));
    return Done{};
}

/** Reads a bound for changes at the source to be in force on every node. */
Result<double> changeBound (const Values& values, const std::string& key, double defaultMs)
{
    constexpr double longestMs = 600'000;
    const auto leastMs = static_cast<double> (mesh::SourceTiming::leastBound.count());
    return values.number (key, leastMs, longestMs, defaultMs);
}

/** Reads the bounds of changes, of which the shortest determines how the source is read. */
Result<Done> readChangeBounds (const Values& values, SidecarSettings& settings)
{
    constexpr double longestHeartbeatMs = 60'000, usualHeartbeatMs = 1500;
    const auto leastHeartbeatMs =
        static_cast<double> (mesh::SourceTiming::leastEntryHeartbeat.count());
    BOOST_LEAF_AUTO (changes, changeBound (values, "changes-within-ms", 2000));
    BOOST_LEAF_AUTO (drain, changeBound (values, "drain-within-ms", 2000));
    BOOST_LEAF_AUTO (evacuate, changeBound (values, "evacuate-within-ms", 5000));
    BOOST_LEAF_AUTO (revoke, changeBound (values, "revoke-within-ms", 5000));
    BOOST_LEAF_AUTO (heartbeat, values.number ("entry-heartbeat-ms", leastHeartbeatMs,
                                               longestHeartbeatMs, usualHeartbeatMs));
    settings.entryHeartbeat = mesh::fromMillisecondCount (heartbeat);
    settings.credentials.revokeTime = mesh::fromMillisecondCount (revoke);
    const auto shortest = std::min ({ changes, drain, evacuate, revoke });
    settings.timing =
        mesh::SourceTiming::within (mesh::fromMillisecondCount (shortest), settings.entryHeartbeat);

    // What a node denies may have been allowed for as long as changes take, and not longer.
    auto& confirmationAge = settings.credentials.maxConfirmationAge;
    confirmationAge = std::min (mesh::fromMillisecondCount (changes),
                                std::max (confirmationAge, settings.timing.longestSilence()));
    return Done{};
}

Result<Done> readCrashLimits (const Values& values, mesh::CrashLimits& limits)
{
    BOOST_LEAF_AUTO (limit, values.number ("crash-limit", 0, 8, limits.crashesUntilHold));
    BOOST_LEAF_AUTO (hold, values.number ("crash-hold-s", 1, 86'400,
                                          mesh::toMilliseconds (limits.firstHold) / 1000));

    if (std::floor (limit) != limit)
        return bad ("crash-limit", values.text ("crash-limit"), "a whole number from 0 to 8");

    limits.crashesUntilHold = static_cast<int> (limit);
    limits.firstHold = mesh::fromSeconds (hold);
    return Done{};
}

Result<Done> readMemory (const Values& values, SidecarSettings& settings)
{
    constexpr double bytesPerMb = 1e6, mostMb = 1e6;
    constexpr double leastMb = mesh::MemoryPlan::leastMachineBytes / bytesPerMb;
    constexpr double defaultMb = mesh::MemoryPlan::defaultMachineBytes / bytesPerMb;
    BOOST_LEAF_AUTO (memory, values.number ("memory-mb", leastMb, mostMb, defaultMb));
    settings.memoryBytes = static_cast<std::size_t> (memory * bytesPerMb);
    return Done{};
}

Result<Done> readNumbers (const Values& values, SidecarSettings& settings)
{
    BOOST_LEAF_AUTO (grace, values.number ("grace-s", 1, 3600, 6));
    BOOST_LEAF_AUTO (window, values.number ("retry-window-s", 1, 3600, 10));
    BOOST_LEAF_ASSIGN (settings.retryRatio, values.number ("retry-ratio", 0, 10, 0.2));
    BOOST_LEAF_ASSIGN (settings.retrySlack, values.number ("retry-slack", 0, 1e6, 64));
    BOOST_LEAF_ASSIGN (settings.cpuShare, values.number ("cpu-share", 0.001, 1024, 1));
    BOOST_LEAF_ASSIGN (settings.linkMbps, values.number ("link-mbps", 0.001, 1e6, 1000));
    BOOST_LEAF_ASSIGN (settings.coldBounds.overloadFactor, values.number ("cold-over", 1, 100, 1));
    BOOST_LEAF_ASSIGN (settings.coldBounds.slack, values.number ("cold-slack", 0, 1e6, 0));
    settings.grace = mesh::fromSeconds (grace);
    settings.retryWindow = mesh::fromSeconds (window);
    return Done{};
}

/** Reads "PORT/PATH"; the IP is that of the outbound address. */
Result<Done> readMetrics (const Values& values, SidecarSettings& settings)
{
    const auto text = values.text ("metrics");

    if (text.empty())
        return Done{};

    const auto slash = text.find ('/');
    const auto port = text.substr (0, slash);
    const auto parsed =
        Resolve ([&] { return ParseSocketAddress (settings.outbound.ip + ":" + port); });

    if (! parsed)
        return bad ("metrics", text, "PORT/PATH");

    settings.metrics = parsed.value();
    settings.metricsPath = slash == std::string::npos ? "/" : text.substr (slash);
    return Done{};
}

void readHeaderNames (const Values& values, HeaderNames& names)
{
    names.requestId = values.text ("header-request-id");
    names.deadline = values.text ("header-deadline");
    names.signature = values.text ("header-signature");
    names.expectInstance = values.text ("header-expect-instance");
    names.instanceId = values.text ("header-instance-id");
    names.notRun = values.text ("header-not-run");
    names.coldTime = values.text ("header-cold-time");
    names.rateLimit = values.text ("header-rate-limit");
    names.leaving = values.text ("header-leaving");
    names.caller = values.text ("header-caller");
    names.credential = values.text ("header-credential");
    names.tenant = values.text ("header-tenant");
}

Result<SidecarSettings> readSettings (const Values& values)
{
    SidecarSettings settings;
    settings.file = values.text ("settings");
    BOOST_LEAF_ASSIGN (settings.id, values.name ("id"));
    BOOST_LEAF_ASSIGN (settings.zone, values.name ("zone"));
    BOOST_LEAF_ASSIGN (settings.service, values.name ("service"));
    BOOST_LEAF_ASSIGN (settings.outbound, values.address ("outbound"));
    BOOST_LEAF_ASSIGN (settings.inbound, values.address ("inbound"));
    BOOST_LEAF_ASSIGN (settings.readiness, values.address ("readiness"));
    BOOST_LEAF_ASSIGN (settings.instance, values.address ("instance"));
    BOOST_LEAF_ASSIGN (settings.source, values.address ("source"));
    BOOST_LEAF_ASSIGN (settings.extraSlots, values.wholeNumber ("extra-slots", 0, maxExtraSlots));
    BOOST_LEAF_CHECK (readNumbers (values, settings));
    BOOST_LEAF_CHECK (readMemory (values, settings));
    BOOST_LEAF_CHECK (readChangeBounds (values, settings));
    BOOST_LEAF_CHECK (readTenancy (values, settings));
    BOOST_LEAF_CHECK (readCrashLimits (values, settings.crashes));

    if (! values.text ("relay").empty())
    {
        BOOST_LEAF_ASSIGN (settings.relay, values.address ("relay"));
    }

    if (! values.text ("load-queries").empty())
    {
        BOOST_LEAF_ASSIGN (settings.loadQueries, values.address ("load-queries"));
    }

    BOOST_LEAF_CHECK (readMetrics (values, settings));
    settings.readinessPath = values.text ("readiness-path");
    readHeaderNames (values, settings.names);
    return settings;
}

Result<options::variables_map> parseAll (const options::options_description& description,
                                         const std::vector<std::string>& arguments)
{
    options::variables_map map;

    try
    {
        options::store (options::command_line_parser (arguments).options (description).run(), map);

        if (map.count ("settings") > 0)
        {
            const auto path = map["settings"].as<std::string>();
            std::ifstream file (path);

            if (! file)
                return Fail (ErrorKind::kUnreadableFile, path, "can't be opened");

            options::store (options::parse_config_file (file, description), map);
        }
    }
    catch (const options::error& error)
    {
        return Fail (ErrorKind::kBadSetting, "settings", error.what());
    }

    return map;
}

} // namespace

int readerStrength (const SidecarSettings& settings)
{
    // The minimum resources that a preferred reader of the source has.
    constexpr double minCpuShare = 0.2, minLinkMbps = 50;
    return (settings.cpuShare >= minCpuShare ? 1 : 0) + (settings.linkMbps >= minLinkMbps ? 1 : 0);
}

Result<ParsedSidecarSettings> parseSidecarSettings (const std::vector<std::string>& arguments)
{
    const auto description = describeOptions();
    BOOST_LEAF_AUTO (map, parseAll (description, arguments));
    ParsedSidecarSettings parsed;

    if (map.count ("help") > 0)
    {
        std::ostringstream text;
        text << description;
        parsed.help = true;
        parsed.helpText = text.str();
        return parsed;
    }

    BOOST_LEAF_ASSIGN (parsed.settings, readSettings (Values (map)));
    return parsed;
}

} // namespace copperlead::sidecar
