/** Settings of copperlead-sidecar. Flags and the keys of the settings file have the same names. All
    values are checked at start.
*/
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
#include "mesh/memory_plan.h"
#include "mesh/quota_bounds.h"
#include "mesh/source_timing.h"
#include "sidecar/header_names.h"

namespace copperlead::sidecar
{

struct SidecarSettings
{
    std::string file; /**< The settings file; empty if there are only flags. */
    std::string id, zone;
    std::string service;    /**< Service of the instance on this machine. */
    SocketAddress outbound; /**< For requests of clients and the instance. */
    SocketAddress inbound;  /**< For hop calls of other nodes; all use the same port. */
    SocketAddress readiness;
    std::string readinessPath;
    SocketAddress instance;
    SocketAddress source;
    SocketAddress relay; /**< UDP, for heartbeats; if empty, this node always reads the source. */
    SocketAddress loadQueries; /**< UDP; if empty, instances are chosen without queries. */
    SocketAddress metrics;     /**< Empty if disabled. */
    double cpuShare = 1, linkMbps = 1000; /**< Of this machine; see readerStrength(). */
    std::size_t memoryBytes = mesh::MemoryPlan::defaultMachineBytes; /**< Of this machine. */
    std::string metricsPath;
    HeaderNames names;
    int extraSlots = 0;
    Milliseconds grace{ 6000 };          /**< From the stop signal until the process is killed. */
    Milliseconds entryHeartbeat{ 1500 }; /**< Interval at which instances renew their entries. */
    mesh::SourceTiming timing;           /**< Of changes at the source. */
    double retryRatio = 0.2, retrySlack = 64;
    Milliseconds retryWindow{ 10'000 };
    mesh::ColdBounds coldBounds;
    mesh::CredentialSettings credentials;
    mesh::QuotaBounds quotas;
    mesh::CrashLimits crashes;
    std::map<std::string, std::string> zoneRegions; /**< Empty for a single region. */
};

/** The rank of this machine as a reader of the source: one point each for a sufficient share of
    processor cores and a sufficient link.
*/
int readerStrength (const SidecarSettings& settings);

struct ParsedSidecarSettings
{
    SidecarSettings settings;
    bool help = false;
    std::string helpText;
};

/** Reads the flags and the file named by --settings, where flags take precedence, and checks every
    value.
    @param arguments  the command line without the program's name
    @returns kBadSetting or kUnreadableFile whose place is the key and whose cause names the value
             and what is allowed
*/
Result<ParsedSidecarSettings> parseSidecarSettings (const std::vector<std::string>& arguments);

} // namespace copperlead::sidecar
