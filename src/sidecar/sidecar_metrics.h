/** The metrics of a sidecar in the Prometheus text format. sidecar_metrics.cc lists all of them. */
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "mesh/latency_histogram.h"
#include "mesh/source_follower.h"
#include "mesh/tenant_quotas.h"
#include "sidecar/hop/first_hop.h"
#include "sidecar/http/http_client.h"
#include "sidecar/http/http_server.h"
#include "sidecar/instance/body_admission.h"
#include "sidecar/instance/last_hop.h"
#include "sidecar/instance/link_pacer.h"
#include "sidecar/message_pools.h"
#include "sidecar/source/relay.h"

namespace copperlead::sidecar
{

/** A snapshot of the values that a sidecar exports. */
struct SidecarFigures
{
    FirstHopCounters first;
    LastHopCounters last;
    ClientCounters toInstance;
    RelayCounters relay;
    ServerCounters clients;
    BodyCounters bodies;
    SearchCounters searches;
    LoadQueryCounters queries;
    CrashGuardCounters crashGuard;
    std::uint64_t crashSuspects = 0;
    mesh::TenantQuotaCounters quotas;
    mesh::QuotaKeeperCounters keeper;
    std::vector<mesh::TenantRequestCounts>
        tenants; /**< The busiest, and a nameless sum of the others. */
    LinkCounters link;
    std::uint64_t linkWaiting = 0;
    std::array<std::uint64_t, std::size (mesh::timelinessNames)> begun{}; /**< Runs, by class. */
    std::uint64_t inFlight = 0, running = 0, waiting = 0, connections = 0, bodiesWaiting = 0;
    mesh::SourcePosition sourcePosition;
    std::uint64_t configurationVersion = 0, omittedLogLines = 0;
    mesh::SourceCallCounts sourceCalls{};
    std::uint64_t entriesRefused = 0, handlerFailures = 0;
    bool ready = false, reading = false;
    double failureShare = 0; /**< Share of the latest runs that failed. */
    double coldMs = 0;       /**< Remaining cold time of the instance; 0 when it is warm. */
    /** Requests per second that the instance states to accept; nothing without a limit. */
    std::optional<double> statedLimit;
    bool instanceLeaving = false;
    std::uint64_t zonesEvacuated = 0;
    /** Time since the source last answered this node; nothing before the first answer. */
    std::optional<double> msSinceSourceAnswer;
    /** Time since this node was last up to date with a reader of its zone; nothing if it never was.
     */
    std::optional<double> msSinceZoneUpToDate;
    double retryBudgetLeft = 0; /**< The smallest over all services. */
    std::array<PoolFigures, std::size (messagePoolNames)> pools{};
    std::uint64_t unwrittenBytes = 0; /**< Responses that wait to be written. */
    std::uint64_t residentBytes = 0;  /**< Memory of the process. */
};

std::string metricsText (const SidecarFigures& figures);

} // namespace copperlead::sidecar
