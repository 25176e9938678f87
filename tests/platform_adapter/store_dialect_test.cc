#include "platform/store_dialect.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

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

mesh::SourceAnswer readAnswer (int status, const std::string& body, const HeaderFields& fields = {})
{
    return StoreDialect().read ({ status, {}, 1, fields }, body);
}

std::string replaced (const std::string& what, const std::string& by)
{
    auto text = whole;
    const auto found = text.find (what);
    EXPECT_NE (found, std::string::npos) << what;
    return text.replace (found, what.size(), by);
}

/** Reads a configuration and checks that it contains no unknown values. */
Result<mesh::MeshConfiguration> readKnownValues (const std::string& text)
{
    std::vector<UnknownValue> unknownValues;
    auto read = readConfiguration (text, unknownValues);
    EXPECT_TRUE (unknownValues.empty());
    return read;
}

TEST (ReadConfiguration, Whole)
{
    const auto read = Resolve ([] { return readKnownValues (whole); });
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

TEST (ReadConfiguration, DamageIsRefusedWithItsPlace)
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
        { replaced (R"("kind":"idempotent")", R"("kind":7)"), "routes.look" },
        { replaced (R"("kind":"idempotent",)", ""), "routes.look" },
        { replaced (R"("timeout_ms":500)", R"("timeout_ms":"500")"), "routes.look" },
        { replaced (R"("timeout_ms":500)", R"("timeout_ms":-5)"), "routes.look" },
        { replaced (R"("service":"desk","max)", R"("max)"), "routes.buy" },
        { replaced (R"({"service":"hub","weight":10})", "4"), "routes.look.weighted_clusters" },
        { replaced (R"("max_body_bytes":67108864)", R"("max_body_bytes":"x")"), "limits" },
    };

    for (const auto& wanted : cases)
    {
        const auto read = Resolve ([&] { return readKnownValues (wanted.text); });
        ASSERT_FALSE (read) << wanted.text;
        EXPECT_EQ (read.error().place, wanted.place) << ToString (read.error());
        EXPECT_FALSE (read.error().cause.empty());
    }
}

TEST (ReadConfiguration, AnUnknownKindIsReadAsNonIdempotent)
{
    std::vector<UnknownValue> unknownValues;
    const auto text = replaced (R"("kind":"idempotent")", R"("kind":"sometimes")");
    const auto read = Resolve ([&] { return readConfiguration (text, unknownValues); });
    ASSERT_TRUE (read) << ToString (read.error());
    EXPECT_EQ (read.value().routes[1].repeatability, mesh::Repeatability::nonIdempotent);
    ASSERT_EQ (unknownValues.size(), 1U);
    EXPECT_EQ (unknownValues[0].place, "routes.look.kind");
    EXPECT_EQ (unknownValues[0].value, "sometimes");
}

TEST (ReadConfiguration, DownloadsMayBeRepeated)
{
    const auto text = replaced (R"("kind":"idempotent")", R"("kind":"download")");
    const auto read = Resolve ([&] { return readKnownValues (text); });
    ASSERT_TRUE (read) << ToString (read.error());
    EXPECT_EQ (read.value().routes[1].repeatability, mesh::Repeatability::download);
    EXPECT_TRUE (read.value().routes[1].mayRepeat());
}

const std::string tenants = R"({"gold":{"api_keys":["k1","k2"],"priority":0,"rate_per_s":12.5,
 "burst":4,"allowed_regions":["north"]},"plain":{"api_keys":[]}})";

std::string withTenants (const std::string& text)
{
    return replaced (R"("services":{)", R"("tenants":)" + text + R"(,"services":{)");
}

TEST (ReadConfiguration, TenantsAndRouteRestrictions)
{
    auto text = withTenants (tenants);
    const std::string kind = R"("kind":"idempotent")";
    text.replace (text.find (kind), kind.size(),
                  kind + R"(,"public":true,"allowed_regions":["south"])");
    const auto read = Resolve ([&] { return readKnownValues (text); });
    ASSERT_TRUE (read) << ToString (read.error());
    const auto& config = read.value();
    ASSERT_EQ (config.tenants.size(), 2U);
    const auto& gold = config.tenants[0];
    EXPECT_EQ (gold.name, "gold");
    EXPECT_EQ (gold.priority, 0);
    EXPECT_EQ (gold.quota, (mesh::Quota{ 12.5, 4 }));
    EXPECT_EQ (gold.allowedRegions, std::vector<std::string>{ "north" });
    EXPECT_EQ (gold.credentials, (std::vector<mesh::CredentialDigest>{ mesh::digestOf ("k1"),
                                                                       mesh::digestOf ("k2") }));
    EXPECT_EQ (config.tenants[1].priority, std::nullopt);
    EXPECT_FALSE (config.tenants[1].quota.isLimited());
    EXPECT_FALSE (config.routes[0].isPublic);
    EXPECT_TRUE (config.routes[1].isPublic);
    EXPECT_EQ (config.routes[1].allowedRegions, std::vector<std::string>{ "south" });
}

TEST (ReadConfiguration, DamagedTenantsAreRefusedWithTheirName)
{
    for (const auto* damaged : { R"({"gold":{"api_keys":"k1"}})", R"({"gold":{"api_keys":[4]}})",
                                 R"({"gold":{"rate_per_s":-1}})", R"({"gold":{"burst":"many"}})",
                                 R"({"gold":{"priority":"high"}})", R"({"gold":7})" })
    {
        const auto text = withTenants (damaged);
        const auto read = Resolve ([&] { return readKnownValues (text); });
        ASSERT_FALSE (read) << damaged;
        EXPECT_EQ (read.error().place, "tenants.gold") << damaged;
    }

    const auto list = withTenants ("[]");
    EXPECT_FALSE (Resolve ([&] { return readKnownValues (list); }));
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
        { 200, R"({"items":[{"value":"bm9kZS0x","revision":4}],"has_more":true,"at":5})",
          SourceReply::failed, 0 },
        { 200, "", SourceReply::failed, 0 },
    };

    for (const auto& wanted : cases)
    {
        const auto answer = readAnswer (wanted.status, wanted.body);
        EXPECT_EQ (answer.reply, wanted.reply) << wanted.body;
        EXPECT_EQ (answer.entries.size(), wanted.entries) << wanted.body;
    }

    const auto first = readAnswer (200, cases[0].body);
    EXPECT_TRUE (first.hasMore);
    EXPECT_EQ (first.position.revision, 9U);
    EXPECT_EQ (first.entries[0].value, "node-1");
    EXPECT_EQ (first.entries[0].createdAt, 2U);
}

/** A restore must also be detected while the store refuses calls. */
TEST (StoreDialect, ReadsTheEpochWhateverTheStatus)
{
    const std::string events = R"({"events":[],"at":5})";

    for (const auto& [status, body] : std::map<int, std::string>{
             { 200, events }, { 404, "" }, { 410, "" }, { 429, "" }, { 503, "" } })
        EXPECT_EQ (readAnswer (status, body, { { "store-era", "3" } }).position.epoch, 3U)
            << status;

    EXPECT_EQ (readAnswer (200, events).reply, SourceReply::entries);
    EXPECT_EQ (readAnswer (200, events).position, (mesh::SourcePosition{ 0, 5 }));

    for (const auto* const value : { "", "x", "-1", "1.5", "99999999999999999999999" })
        EXPECT_EQ (readAnswer (200, events, { { "Store-Era", value } }).reply, SourceReply::failed)
            << value;

    const HeaderFields twice{ { "Store-Era", "3" }, { "Store-Era", "4" } };
    EXPECT_EQ (readAnswer (410, "", twice).reply, SourceReply::failed);
}

TEST (StoreDialect, AnInvalidItemDoesNotAffectOtherItems)
{
    const std::string deep (60'000, '[');
    const std::string large (1 << 20, 'x');

    for (const auto& item : {
             std::string (R"({"private_key":"servers/a","value":"%%%","revision":4})"),
             std::string (R"({"private_key":"servers/a","value":"abc","revision":4})"),
             std::string (R"({"private_key":"servers/a","value":7,"revision":4})"),
             std::string (R"({"private_key":"servers/a","value":["e30="],"revision":4})"),
             std::string (R"({"private_key":"servers/a","value":null,"revision":4})"),
             std::string (R"({"private_key":"servers/a","revision":4})"),
             std::string (R"({"private_key":"servers/a","value":"e30=","revision":"4"})"),
             std::string (R"({"private_key":"servers/a","value":"e30=","revision":-4})"),
             std::string (R"({"private_key":"servers/a","value":"e30=","revision":4.5})"),
             std::string (R"({"private_key":"servers/a","value":"e30=","revision":1e300})"),
             std::string (R"({"private_key":"servers/a","value":"e30="})"),
             std::string (
                 R"({"private_key":"servers/a","value":"e30=","revision":4,"created_at":{}})"),
             std::string (
                 R"({"private_key":"servers/a","value":"e30=","revision":4,"created_at":"x"})"),
             std::string (R"({"private_key":7,"value":"e30=","revision":4})"),
             std::string (R"({"value":"bm9kZS0x","revision":4})"),
             std::string ("7"),
             std::string ("null"),
             std::string ("[]"),
             R"({"private_key":"servers/a","revision":4,"value":")" + large + "!\"}",
         })
        for (const auto* const list : { "items", "events" })
        {
            const std::string good =
                R"({"private_key":"servers/b","value":"e30=","revision":5,"created_at":5})";
            const auto answer = readAnswer (200, std::string ("{\"") + list + "\":[" + item + "," +
                                                     good + R"(],"at":9})");
            ASSERT_EQ (answer.reply, SourceReply::entries) << item.substr (0, 100);
            ASSERT_EQ (answer.entries.size(), 2U);
            EXPECT_FALSE (answer.entries[0].fault.empty()) << item.substr (0, 100);
            EXPECT_TRUE (answer.entries[1].fault.empty());
            EXPECT_EQ (answer.entries[1].key, "servers/b");
            EXPECT_EQ (answer.position.revision, 9U);
        }

    EXPECT_EQ (readAnswer (200, R"({"items":)" + deep).reply, SourceReply::failed);
}

/** With seeded random damage to one item, the valid item after it must be read unless the answer
    itself is damaged.
*/
TEST (StoreDialect, DamagedItemsDoNotAffectOtherItems)
{
    const std::string valid =
        R"({"private_key":"servers/a","value":"eyJzZXJ2aWNlIjoiZCJ9","revision":4,"created_at":4})";
    const std::string bytes = "\"{}[]:,0e-9.%a\\u\xff ";
    std::minstd_rand random (11);

    for (int round = 0; round < 20'000; ++round)
    {
        auto item = valid;

        for (auto changes = 1 + random() % 4; changes > 0; --changes)
            item[random() % item.size()] = bytes[random() % bytes.size()];

        const auto answer = readAnswer (
            200, "{\"events\":[" + item +
                     R"(,{"private_key":"servers/b","value":"e30=","revision":5}],"at":9})");

        if (answer.reply != SourceReply::entries)
            continue;

        ASSERT_GE (answer.entries.size(), 2U) << item;
        EXPECT_TRUE (answer.entries.back().fault.empty()) << item;

        for (const auto& entry : answer.entries)
            if (entry.fault.empty() && ! entry.removed)
                (void)Resolve ([&] { return readInstance (entry, 2); });
    }
}

TEST (ReadInstance, RejectsMissingMistypedAndUnknownValues)
{
    const std::map<std::string, std::string> valid = {
        { "service", R"("desk")" }, { "address", R"("10.0.0.9:80")" },
        { "zone", R"("z")" },       { "version", R"("v1")" },
        { "slots", "6" },           { "state", R"("ready")" },
        { "call_seq", "4" },        { "cold_remaining_ms", "0" },
        { "born", "1768005044252" }
    };
    const auto read = [] (const std::map<std::string, std::string>& fields)
    {
        std::string text;

        for (const auto& [name, value] : fields)
            text += (text.empty() ? "{\"" : ",\"") + name + "\":" + value;

        return Resolve (
            [&] {
                return readInstance ({ "servers/i-1", text + "}", 5, 3, false, {} }, 2);
            });
    };
    ASSERT_TRUE (read (valid));
    EXPECT_EQ (read (valid).value().startTimeMs, 1768005044252U);

    for (const auto* const needed : { "service", "address", "zone", "slots", "state" })
    {
        auto fields = valid;
        fields.erase (needed);
        EXPECT_FALSE (read (fields)) << needed;
    }

    for (const auto& [name, value] : valid)
    {
        const bool isText = value[0] == '"';

        for (const auto* const other : { "true", "[]", "{}", isText ? "7" : R"("7")" })
        {
            auto fields = valid;
            fields[name] = other;
            EXPECT_FALSE (read (fields)) << name << " " << other;
        }

        // An implausible cold time doesn't invalidate the entry.
        if (isText || name == "cold_remaining_ms")
            continue;

        for (const auto* const other : { "-1", "6.5", "1e300" })
        {
            auto fields = valid;
            fields[name] = other;
            EXPECT_FALSE (read (fields)) << name << " " << other;
        }
    }

    const std::pair<std::string, std::string> unknown[] = { { "state", R"("starting")" },
                                                            { "state", R"("")" },
                                                            { "address", R"("nowhere")" },
                                                            { "address", R"("10.0.0.9")" } };

    for (const auto& [name, value] : unknown)
    {
        auto fields = valid;
        fields[name] = value;
        EXPECT_FALSE (read (fields)) << name << " " << value;
    }
}

TEST (ReadInstance, ValidAndDamagedEntries)
{
    const auto read = [] (const std::string& value) {
        return Resolve ([&] { return readInstance ({ "servers/i-1", value, 5, 3, false }, 2); });
    };
    const auto instance = read (
        R"({"service":"desk","address":"10.0.0.9:80","zone":"z","slots":6,"state":"draining"})");
    ASSERT_TRUE (instance);
    EXPECT_EQ (instance.value().id, "i-1");
    EXPECT_EQ (instance.value().address.port, 80);
    EXPECT_TRUE (instance.value().draining);
    EXPECT_EQ (instance.value().createdAt, (mesh::SourcePosition{ 2, 3 }));

    for (const auto* value :
         { "", "{", "4", "[]", "\xff\xfe", R"({"service":"desk","zone":"z","state":"ready"})",
           R"({"service":"desk","address":"nowhere","zone":"z","state":"ready"})" })
        EXPECT_FALSE (read (value)) << value;
}

TEST (ReadConfiguration, ColdStartOfAService)
{
    const auto text = replaced (R"("protocol":"h1")", R"("cold_start_s":3.5,"cold_per_s":13.0)");
    const auto read = Resolve ([&] { return readKnownValues (text); });
    ASSERT_TRUE (read) << ToString (read.error());
    EXPECT_EQ (read.value().services.at ("desk").cold,
               (mesh::ColdProfile{ Milliseconds (3500), 13 }));
    EXPECT_EQ (read.value().services.at ("hub").cold, mesh::ColdProfile{}) << "never cold";

    const auto negative = replaced (R"("protocol":"h1")", R"("cold_start_s":-1)");
    const auto refused = Resolve ([&] { return readKnownValues (negative); });
    ASSERT_FALSE (refused);
    EXPECT_EQ (refused.error().place, "services.desk");
}

TEST (ReadInstance, RemainingColdTime)
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
    };

    for (const auto& wanted : cases)
    {
        mesh::SourceEntry entry;
        entry.key = "servers/i-1";
        entry.value =
            R"({"service":"desk","address":"10.0.0.1:80","zone":"z","slots":6,"state":"ready")" +
            wanted.text + "}";
        const auto read = Resolve ([&] { return readInstance (entry, 2); });
        ASSERT_TRUE (read) << wanted.text;
        EXPECT_EQ (read.value().coldRemaining, wanted.wanted) << wanted.text;
    }
}

} // namespace
} // namespace copperlead::platform
