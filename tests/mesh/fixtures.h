/** Small configurations and instances for the tests in this folder. */
#pragma once

#include <string>

#include "mesh/instance_directory.h"
#include "mesh/mesh_configuration.h"

namespace copperlead::mesh::test
{

inline Timestamp at (std::int64_t milliseconds)
{
    return Timestamp (Milliseconds (1'000'000 + milliseconds));
}

/** @returns a position in epoch 0 */
inline SourcePosition revision (std::uint64_t number) { return { 0, number }; }

inline Route makeRoute (const std::string& name, const std::string& prefix)
{
    Route route;
    route.name = name;
    route.host = "shop.example";
    route.pathPrefix = prefix;
    route.repeatability = Repeatability::idempotent;
    route.timeout = Milliseconds (500);
    route.targetLatency = Milliseconds (200);
    route.priority = 1;
    route.maxAttempts = 2;
    route.services = { { "desk", 1 } };
    return route;
}

inline MeshConfiguration makeConfiguration (std::uint64_t version)
{
    MeshConfiguration config;
    config.version = version;
    config.services = { { "desk", { "/health", 130, {} } }, { "hub", { "/health", 130, {} } } };
    config.routes = { makeRoute ("lookup", "/look/"), makeRoute ("deep", "/look/deep/") };
    return config;
}

inline Instance makeInstance (const std::string& id, const std::string& zone, int lastByte,
                              std::uint64_t createdAt = 1)
{
    Instance instance;
    instance.id = id;
    instance.service = "desk";
    instance.zone = zone;
    instance.address = { "10.0.0." + std::to_string (lastByte), 8000 };
    instance.slots = 2;
    instance.createdAt = revision (createdAt);
    return instance;
}

/** @returns the instance with the given start time */
inline Instance withStartTime (Instance instance, std::uint64_t unixMs)
{
    instance.startTimeMs = unixMs;
    return instance;
}

} // namespace copperlead::mesh::test
