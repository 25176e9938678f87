#include "sidecar/sidecar_settings.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace copperlead::sidecar
{
namespace
{

using Arguments = std::vector<std::string>;

const Arguments complete = { "--id",        "n1",          "--zone",     "z1",
                             "--service",   "desk",        "--source",   "127.0.0.1:9",
                             "--outbound",  "127.0.0.1:1", "--inbound",  "127.0.0.1:2",
                             "--readiness", "127.0.0.1:3", "--instance", "127.0.0.1:4" };

auto parse (Arguments more)
{
    auto all = complete;
    all.insert (all.end(), more.begin(), more.end());
    return Resolve ([&] { return parseSidecarSettings (all); });
}

TEST (SidecarSettings, DefaultsAndNumbers)
{
    const auto parsed = parse ({ "--grace-s", "7.5", "--retry-slack", "" });
    ASSERT_TRUE (parsed);
    const auto& settings = parsed.value().settings;
    EXPECT_EQ (settings.grace, Milliseconds (7500));
    EXPECT_EQ (settings.retrySlack, 64);
    EXPECT_EQ (settings.outbound.port, 1);
    EXPECT_EQ (settings.names.requestId, "copperlead-request-id");
    EXPECT_TRUE (settings.metrics.empty());
}

// Guards against a machine without room for all buffers whose process is ended later.
TEST (SidecarSettings, AMachineThatCannotHoldAllBuffersIsRefusedAtTheStart)
{
    EXPECT_EQ (parse ({ "--memory-mb", "" }).value().settings.memoryBytes, 160'000'000U);
    EXPECT_EQ (parse ({ "--memory-mb", "260" }).value().settings.memoryBytes, 260'000'000U);

    for (const auto* memory : { "111", "0", "-1", "many", "nan", "1e9" })
    {
        const auto parsed = parse ({ "--memory-mb", memory });
        ASSERT_FALSE (parsed) << memory;
        EXPECT_EQ (parsed.error().place, "memory-mb");
        EXPECT_NE (parsed.error().cause.find ("a number from 112"), std::string::npos);
    }
}

TEST (SidecarSettings, TheWatchIntervalIsAQuarterOfTheTighterBound)
{
    const auto intervalOf = [] (const char* changes, const char* drain)
    {
        return parse ({ "--changes-within-ms", changes, "--drain-within-ms", drain })
            .value()
            .settings.timing.watchInterval;
    };
    EXPECT_EQ (intervalOf ("3000", "2000"), Milliseconds (500));
    EXPECT_EQ (intervalOf ("2000", "3000"), Milliseconds (500));
    EXPECT_EQ (intervalOf ("600", "3000"), Milliseconds (150));
    EXPECT_EQ (intervalOf ("", ""), Milliseconds (500));
    EXPECT_EQ (parse ({ "--changes-within-ms", "60000", "--drain-within-ms", "60000",
                        "--evacuate-within-ms", "60000", "--revoke-within-ms", "60000",
                        "--entry-heartbeat-ms", "60000" })
                   .value()
                   .settings.timing.watchInterval,
               Milliseconds (1000));
}

// Guards against denying a route or key that was added longer ago than changes may take.
TEST (SidecarSettings, WhatIsDeniedIsConfirmedWithinTheBoundOfChanges)
{
    const auto ageWith = [] (const char* changes, const char* heartbeat)
    {
        return parse ({ "--changes-within-ms", changes, "--drain-within-ms", "5000",
                        "--entry-heartbeat-ms", heartbeat })
            .value()
            .settings.credentials.maxConfirmationAge;
    };
    EXPECT_EQ (ageWith ("1000", ""), Milliseconds (1000));
    EXPECT_EQ (ageWith ("", ""), Milliseconds (2000));
    EXPECT_EQ (ageWith ("10000", ""), Milliseconds (2500));
    EXPECT_GT (ageWith ("10000", "60000"), Milliseconds (2500)) << "watches wait longer";
}

TEST (SidecarSettings, BadValuesNameTheKeyTheValueAndWhatIsAllowed)
{
    struct Case
    {
        const char *key, *value, *allowed;
    };
    const Case cases[] = {
        { "grace-s", "soon", "a number from 1 to 3600" },
        { "grace-s", "0", "a number from 1 to 3600" },
        { "grace-s", "6s", "a number from 1 to 3600" },
        { "changes-within-ms", "0", "a number from 500 to 600000" },
        { "drain-within-ms", "2s", "a number from 500 to 600000" },
        { "drain-within-ms", "499", "a number from 500 to 600000" },
        { "evacuate-within-ms", "100", "a number from 500 to 600000" },
        { "entry-heartbeat-ms", "399", "a number from 400 to 60000" },
        { "retry-ratio", "nan", "a number from 0 to 10" },
        { "retry-slack", "-1", "a number from 0 to 1000000" },
        { "extra-slots", "65", "a whole number from 0 to 64" },
        { "metrics", "x/metrics", "PORT/PATH" },
        { "zone-regions", "a=b,c", "ZONE=REGION" },
        { "zone-regions", "=b", "ZONE=REGION" },
        { "zone-regions", "a=", "ZONE=REGION" },
        { "revoke-fail-closed", "maybe", "true or false" },
        { "revoke-within-ms", "0", "a number from 500 to 600000" },
        { "quota-window-s", "0", "a number from 1 to 3600" },
        { "quota-over", "-1", "a number from 0 to 10" },
        { "quota-slack", "x", "a number from 0 to 1000000" },
        { "crash-limit", "9", "a number from 0 to 8" },
        { "crash-limit", "1.5", "a whole number from 0 to 8" },
        { "crash-hold-s", "0", "a number from 1 to 86400" },
    };

    for (const auto& wanted : cases)
    {
        const auto parsed = parse ({ std::string ("--") + wanted.key, wanted.value });
        ASSERT_FALSE (parsed) << wanted.key << wanted.value;
        EXPECT_EQ (parsed.error().place, wanted.key);
        EXPECT_NE (parsed.error().cause.find (wanted.value), std::string::npos);
        EXPECT_NE (parsed.error().cause.find (wanted.allowed), std::string::npos)
            << parsed.error().cause;
    }
}

TEST (SidecarSettings, TenantsAndRegions)
{
    const auto parsed =
        parse ({ "--zone-regions", "z1=north,z2=south", "--revoke-fail-closed", "true",
                 "--revoke-within-ms", "3000", "--quota-window-s", "4", "--quota-over", "0.1",
                 "--quota-slack", "7", "--crash-limit", "3", "--crash-hold-s", "30" });
    ASSERT_TRUE (parsed) << ToString (parsed.error());
    const auto& settings = parsed.value().settings;
    EXPECT_EQ (settings.zoneRegions.at ("z2"), "south");
    EXPECT_TRUE (settings.credentials.failClosed);
    EXPECT_EQ (settings.credentials.revokeTime, Milliseconds (3000));
    EXPECT_EQ (settings.quotas.window, Milliseconds (4000));
    EXPECT_EQ (settings.quotas.excessShare, 0.1);
    EXPECT_EQ (settings.quotas.slack, 7);
    EXPECT_EQ (settings.crashes.crashesUntilHold, 3);
    EXPECT_EQ (settings.crashes.firstHold, Milliseconds (30'000));

    const auto usual = parse ({}).value().settings;
    EXPECT_TRUE (usual.zoneRegions.empty());
    EXPECT_FALSE (usual.credentials.failClosed);
    EXPECT_EQ (usual.quotas.slack, 20);
    EXPECT_EQ (usual.crashes.crashesUntilHold, 2);
    EXPECT_EQ (usual.crashes.firstHold, Milliseconds (60'000));
}

TEST (SidecarSettings, MissingAndUnknownKeysAreRefused)
{
    for (std::size_t missing = 0; missing < complete.size(); missing += 2)
    {
        auto arguments = complete;
        arguments.erase (arguments.begin() + std::ptrdiff_t (missing),
                         arguments.begin() + std::ptrdiff_t (missing) + 2);
        const auto parsed = Resolve ([&] { return parseSidecarSettings (arguments); });
        ASSERT_FALSE (parsed) << complete[missing];
        EXPECT_EQ ("--" + parsed.error().place, complete[missing]);
    }

    EXPECT_FALSE (parse ({ "--colour", "red" }));
}

TEST (SidecarSettings, FilesAreReadAndFlagsWin)
{
    const std::string path = ::testing::TempDir() + "copperlead-sidecar-settings.conf";
    std::ofstream (path)
        << "# a comment\nretry-ratio = 0.3\nzone = other\nmetrics = 9000/metrics\n";
    const auto parsed = parse ({ "--settings", path });
    std::remove (path.c_str());
    ASSERT_TRUE (parsed);
    EXPECT_EQ (parsed.value().settings.zone, "z1");
    EXPECT_EQ (parsed.value().settings.retryRatio, 0.3);
    EXPECT_EQ (parsed.value().settings.metrics.port, 9000);
    EXPECT_EQ (parsed.value().settings.metricsPath, "/metrics");

    const auto unreadable = parse ({ "--settings", "/nowhere/settings.conf" });
    ASSERT_FALSE (unreadable);
    EXPECT_EQ (unreadable.error().kind, ErrorKind::kUnreadableFile);
    EXPECT_EQ (unreadable.error().place, "/nowhere/settings.conf");
}

} // namespace
} // namespace copperlead::sidecar
