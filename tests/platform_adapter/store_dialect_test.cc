#include "platform/store_dialect.h"

#include <gtest/gtest.h>

namespace copperlead::platform
{
namespace
{

using mesh::SourceReply;

const std::string whole = R"({"version":"r7","routes":{
 "buy":{"host":"Shop.Example","path_prefix":"/buy/","kind":"non_idempotent","timeout_ms":600,
        "target_latency_ms":250,"priority":1,"service":"desk","max_attempts":2},
 "look":{"host":"shop.example","path_prefix":"/look/","kind":"idempotent","timeout_ms":500,
        "target_latency_ms":200,"priority":2,"max_attempts":2,
        "weighted_clusters":[{"service":"desk","weight":90},{"service":"hub","weight":10}]}},
 "services":{"desk":{"health_path":"/health","max_connections":130,"protocol":"h1","tls":false},
             "hub":{"health_path":"/health","max_connections":130}},
 "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,
           "idle_timeout_ms":15000}})";

std::string replaced (const std::string& what, const std::string& by)
{
    auto text = whole;
    const auto found = text.find (what);
    EXPECT_NE (found, std::string::npos) << what;
    return text.replace (found, what.size(), by);
}

TEST (ReadConfiguration, Whole)
{
    const auto read = Resolve ([] { return readConfiguration (whole); });
    ASSERT_TRUE (read) << ToString (read.error());
    const auto& config = read.value();
    EXPECT_EQ (config.version, 7U);
    ASSERT_EQ (config.routes.size(), 2U);
    EXPECT_EQ (config.routes[0].host, "shop.example");
    EXPECT_EQ (config.routes[0].repeatability, mesh::Repeatability::nonIdempotent);
    EXPECT_EQ (config.routes[0].services[0].service, "desk");
    EXPECT_EQ (config.routes[1].services[1].weight, 10U);
    EXPECT_EQ (config.routes[1].targetLatency, Milliseconds (200));
    EXPECT_EQ (config.services.at ("desk").maxConnections, 130);
    EXPECT_EQ (config.limits.idleTimeout, Milliseconds (15000));
    EXPECT_TRUE (Resolve ([&] { return mesh::checkConfiguration (config); }));
}

TEST (ReadConfiguration, DamageIsRefusedNamingThePlace)
{
    struct Case
    {
        std::string text, place;
    };
    const Case cases[] = {
        { whole.substr (0, whole.size() / 2), "configuration" },
        { "", "configuration" },
        { "[]", "configuration" },
        { replaced (R"("r7")", R"("7")"), "version" },
        { replaced (R"("r7")", R"("r")"), "version" },
        { replaced (R"("r7")", R"("r7x")"), "version" },
        { replaced (R"("r7")", "7"), "configuration" },
        { replaced (R"("kind":"idempotent")", R"("kind":"sometimes")"), "routes.look" },
        { replaced (R"("kind":"idempotent",)", ""), "routes.look" },
        { replaced (R"("timeout_ms":500)", R"("timeout_ms":"500")"), "routes.look" },
        { replaced (R"("timeout_ms":500)", R"("timeout_ms":-5)"), "routes.look" },
        { replaced (R"("service":"desk","max)", R"("max)"), "routes.buy" },
        { replaced (R"({"service":"hub","weight":10})", "4"), "routes.look.weighted_clusters" },
        { replaced (R"("max_body_bytes":67108864)", R"("max_body_bytes":"x")"), "limits" },
    };

    for (const auto& wanted : cases)
    {
        const auto read = Resolve ([&] { return readConfiguration (wanted.text); });
        ASSERT_FALSE (read) << wanted.text;
        EXPECT_EQ (read.error().place, wanted.place) << ToString (read.error());
        EXPECT_FALSE (read.error().cause.empty());
    }
}

TEST (StoreDialect, Targets)
{
    const StoreDialect dialect;
    mesh::SourceRequest list;
    EXPECT_EQ (dialect.target (list), "/v1/kv-range?path_prefix=");
    list.afterKey = "servers/a b&c";
    EXPECT_EQ (dialect.target (list), "/v1/kv-range?path_prefix=&after=servers/a%20b%26c");
    list.mayBeStale = true;
    EXPECT_EQ (dialect.target (list), "/v1/kv-range?stale=1&path_prefix=&after=servers/a%20b%26c");
    mesh::SourceRequest watch{ mesh::SourceCall::watch, {}, 41, Milliseconds (1500), {} };
    EXPECT_EQ (dialect.target (watch), "/v1/kv-watch?path_prefix=&after=41&wait_ms=1500");
}

TEST (StoreDialect, Answers)
{
    struct Case
    {
        int status;
        std::string body;
        SourceReply reply;
        std::size_t entries;
    };
    const Case cases[] = {
        { 200,
          R"({"items":[{"private_key":"a","value":"bm9kZS0x","revision":4,"created_at":2}],)"
          R"("has_more":true,"at":9})",
          SourceReply::entries, 1 },
        { 200, R"({"events":[{"private_key":"a","revision":5,"gone":true}],"at":5})",
          SourceReply::entries, 1 },
        { 200, R"({"events":[],"at":5})", SourceReply::entries, 0 },
        { 410, "", SourceReply::historyLost, 0 },
        { 429, "", SourceReply::refused, 0 },
        { 503, R"({"error":"x"})", SourceReply::refused, 0 },
        { 200, R"({"events":[{"private)", SourceReply::failed, 0 },
        { 200, R"({"at":5})", SourceReply::failed, 0 },
        { 200, R"({"events":[]})", SourceReply::failed, 0 },
        { 200, R"({"events":{},"at":5})", SourceReply::failed, 0 },
        { 200, R"({"events":[{"private_key":"a","value":"%%%","revision":4}],"at":5})",
          SourceReply::failed, 0 },
        { 200, R"({"events":[{"value":"bm9kZS0x","revision":4}],"at":5})", SourceReply::failed, 0 },
        { 200, "", SourceReply::failed, 0 },
    };

    for (const auto& wanted : cases)
    {
        const auto answer = StoreDialect().read (wanted.status, wanted.body);
        EXPECT_EQ (answer.reply, wanted.reply) << wanted.body;
        EXPECT_EQ (answer.entries.size(), wanted.entries) << wanted.body;
    }

    const auto first = StoreDialect().read (200, cases[0].body);
    EXPECT_TRUE (first.hasMore);
    EXPECT_EQ (first.at, 9U);
    EXPECT_EQ (first.entries[0].value, "node-1");
    EXPECT_EQ (first.entries[0].createdAt, 2U);
}

TEST (ReadInstance, WholeAndDamaged)
{
    const auto read = [] (const std::string& value) {
        return Resolve ([&] { return readInstance ({ "servers/i-1", value, 5, 3, false }); });
    };
    const auto instance = read (
        R"({"service":"desk","address":"10.0.0.9:80","zone":"z","slots":6,"state":"draining"})");
    ASSERT_TRUE (instance);
    EXPECT_EQ (instance.value().id, "i-1");
    EXPECT_EQ (instance.value().address.port, 80);
    EXPECT_TRUE (instance.value().draining);
    EXPECT_EQ (instance.value().createdAt, 3U);

    for (const auto* value :
         { "", "{", "4", R"({"service":"desk","zone":"z","state":"ready"})",
           R"({"service":"desk","address":"nowhere","zone":"z","state":"ready"})" })
        EXPECT_FALSE (read (value)) << value;
}

TEST (ReadConfiguration, HowTheInstancesOfAServiceBegin)
{
    const auto text = replaced (R"("protocol":"h1")", R"("cold_start_s":3.5,"cold_per_s":13.0)");
    const auto read = Resolve ([&] { return readConfiguration (text); });
    ASSERT_TRUE (read) << ToString (read.error());
    EXPECT_EQ (read.value().services.at ("desk").cold,
               (mesh::ColdProfile{ Milliseconds (3500), 13 }));
    EXPECT_EQ (read.value().services.at ("hub").cold, mesh::ColdProfile{}) << "never cold";

    const auto negative = replaced (R"("protocol":"h1")", R"("cold_start_s":-1)");
    const auto refused = Resolve ([&] { return readConfiguration (negative); });
    ASSERT_FALSE (refused);
    EXPECT_EQ (refused.error().place, "services.desk");
}

TEST (ReadInstance, HowLongItStaysCold)
{
    struct Case
    {
        std::string text;
        Milliseconds wanted;
    };
    const Case cases[] = {
        { "", Milliseconds (0) },
        { R"(,"cold_remaining_ms":null)", Milliseconds (0) },
        { R"(,"cold_remaining_ms":0)", Milliseconds (0) },
        { R"(,"cold_remaining_ms":2750.5)", Milliseconds (2750) },
        { R"(,"cold_remaining_ms":-4)", mesh::unreadableColdTime },
        { R"(,"cold_remaining_ms":1e15)", mesh::unreadableColdTime },
        { R"(,"cold_remaining_ms":"soon")", mesh::unreadableColdTime },
    };

    for (const auto& wanted : cases)
    {
        mesh::SourceEntry entry;
        entry.key = "servers/i-1";
        entry.value = R"({"service":"desk","address":"10.0.0.1:80","zone":"z","state":"ready")" +
                      wanted.text + "}";
        const auto read = Resolve ([&] { return readInstance (entry); });
        ASSERT_TRUE (read) << wanted.text;
        EXPECT_EQ (read.value().coldFor, wanted.wanted) << wanted.text;
    }
}

} // namespace
} // namespace copperlead::platform
