/** Settings of copperlead-sidecar: flags and settings-file keys are the same. Checked at start. */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/result.h"
#include "base/time.h"
#include "mesh/cold_start.h"
#include "mesh/crash_ledger.h"
#include "mesh/credential_check.h"
#include "mesh/quota_bounds.h"
#include "sidecar/header_names.h"

namespace copperlead::sidecar
{

struct SidecarSettings
{
    std::string file; /**< That the settings were read from; empty: flags alone. */
    std::string id, zone;
    std::string service;    /**< Of the instance on this machine. */
    SocketAddress outbound; /**< Takes requests of clients and the instance. */
    SocketAddress inbound;  /**< Takes hop calls of other nodes; all use the same port. */
    SocketAddress readiness;
    std::string readinessPath;
    SocketAddress instance;
    SocketAddress source;
    SocketAddress relay;       /**< For beats between nodes, UDP; empty: reads alone. */
    SocketAddress loadQueries; /**< Between nodes, UDP; empty: instances are chosen unasked. */
    SocketAddress metrics;     /**< Empty: none. */
    double cpuShare = 1, linkMbps = 1000; /**< Of this machine; strong ones read the source. */
    std::string metricsPath;
    HeaderNames names;
    int extraSlots = 0;
    Milliseconds grace{ 6000 };        /**< From a stop's signal until the process is killed. */
    Milliseconds watchInterval{ 200 }; /**< Between two watches of the source, at least. */
    double retryRatio = 0.2, retrySlack = 64;
    Milliseconds retryWindow{ 10'000 };
    mesh::ColdBounds coldBounds;
    mesh::CredentialSettings credentials;
    mesh::QuotaBounds quotas;
    mesh::CrashLimits crashes;
    std::map<std::string, std::string> zoneRegions; /**< Empty: one region. */
};

/** The strength of this machine among those that may read the source: a step each for its processor
    and its link.
*/
int readerStrength (const SidecarSettings& settings);

struct ParsedSidecarSettings
{
    SidecarSettings settings;
    bool help = false;
    std::string helpText;
};

/** Reads flags and the file named by --settings (flags win); checks every value.
    @param arguments  without the program's name
    @returns kBadSetting or kUnreadableFile whose place is the key and whose cause names the value
             and what is allowed
*/
Result<ParsedSidecarSettings> parseSidecarSettings (const std::vector<std::string>& arguments);

} // namespace copperlead::sidecar
