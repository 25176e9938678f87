#include "sidecar/sidecar_metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <vector>

namespace copperlead::sidecar
{
namespace
{

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

/** Collects the metric families and serialises them. */
class Families
{
public:
    void counter (const char* name, const char* help, std::uint64_t value)
    {
        auto& metric = add (name, help, MetricType::Counter);
        metric.counter.value = static_cast<double> (value);
    }

    void gauge (const char* name, const char* help, double value)
    {
        add (name, help, MetricType::Gauge).gauge.value = value;
    }

    /** Adds a family with one counter for each value of a label. */
    template <std::size_t count>
    void counters (const char* name, const char* help, const char* label,
                   const std::string_view (&values)[count],
                   const std::array<std::uint64_t, count>& numbers)
    {
        MetricFamily family{ name, help, MetricType::Counter, {} };

        for (std::size_t i = 0; i < count; ++i)
        {
            ClientMetric metric;
            metric.label.push_back ({ label, std::string (values[i]) });
            metric.counter.value = static_cast<double> (numbers[i]);
            family.metric.push_back (std::move (metric));
        }

        all.push_back (std::move (family));
    }

    /** Adds a family with one value for each pool of messages. */
    void pools (const char* name, const char* help, MetricType type,
                const std::array<PoolFigures, std::size (messagePoolNames)>& figures,
                std::uint64_t PoolFigures::*member)
    {
        MetricFamily family{ name, help, type, {} };

        for (std::size_t i = 0; i < figures.size(); ++i)
        {
            const auto value = static_cast<double> (figures[i].*member);
            ClientMetric metric;
            metric.label.push_back ({ "pool", std::string (messagePoolNames[i]) });
            (type == MetricType::Gauge ? metric.gauge.value : metric.counter.value) = value;
            family.metric.push_back (std::move (metric));
        }

        all.push_back (std::move (family));
    }

    void histogram (const char* name, const char* help, const mesh::LatencyHistogram& latencies)
    {
        auto& shown = add (name, help, MetricType::Histogram).histogram;
        shown.sample_count = latencies.count();
        shown.sample_sum = latencies.sum();
        std::uint64_t cumulated = 0;

        for (std::size_t i = 0; i < mesh::LatencyHistogram::bounds.size(); ++i)
        {
            cumulated += latencies.buckets()[i];
            shown.bucket.push_back ({ cumulated, mesh::LatencyHistogram::bounds[i] });
        }
    }

    /** Adds the requests of each tenant by outcome. */
    void tenants (const std::vector<mesh::TenantRequestCounts>& requests)
    {
        MetricFamily family{ "copperlead_tenant_requests_total",
                             "Requests of tenants with a quota, by what their quota said",
                             MetricType::Counter,
                             {} };

        for (const auto& counts : requests)
        {
            const auto add = [&] (const char* outcome, std::uint64_t count)
            {
                ClientMetric metric;
                metric.label.push_back (
                    { "tenant", counts.tenant.empty() ? "(others)" : counts.tenant });
                metric.label.push_back ({ "outcome", outcome });
                metric.counter.value = static_cast<double> (count);
                family.metric.push_back (std::move (metric));
            };
            add ("passed", counts.passed);
            add ("refused", counts.refused);
        }

        all.push_back (std::move (family));
    }

    std::string text() const { return prometheus::TextSerializer().Serialize (all); }

private:
    ClientMetric& add (const char* name, const char* help, MetricType type)
    {
        all.push_back ({ name, help, type, { ClientMetric{} } });
        return all.back().metric.back();
    }

    std::vector<MetricFamily> all;
};

void addRequests (Families& families, const SidecarFigures& figures)
{
    const auto& first = figures.first;
    families.counter ("copperlead_requests_total", "Requests taken from clients", first.requests);
    families.counter ("copperlead_requests_served_total", "Answers of instances passed on",
                      first.served);
    families.counter ("copperlead_requests_refused_total", "Answered 503: not run", first.refused);
    families.counter ("copperlead_requests_failed_total", "Answered 502: may have run",
                      first.failed);
    families.counter ("copperlead_requests_timed_out_total", "Answered 504", first.timedOut);
    families.counter ("copperlead_requests_without_route_total", "Answered 404", first.noRoute);
    families.counter ("copperlead_clients_left_total", "Clients that left before their answer",
                      first.clientsLeft);
    families.counter ("copperlead_retries_total", "Further arrivals paid from the retry budget",
                      first.retries);
    families.counter ("copperlead_hedges_total", "Second attempts beside a slow first one",
                      first.hedges);
    families.counters ("copperlead_attempts_ended_total", "Attempts by the cause of their end",
                       "cause", mesh::hopCauseNames, first.causes);
    families.gauge ("copperlead_requests_in_flight", "Requests begun and not answered",
                    static_cast<double> (figures.inFlight));
    families.gauge ("copperlead_client_connections", "Open connections of clients",
                    static_cast<double> (figures.connections));
    families.counter ("copperlead_requests_beside_others_total",
                      "Requests begun while earlier ones of their connection were unanswered",
                      figures.clients.startedConcurrently);
    families.histogram ("copperlead_answer_held_milliseconds",
                        "Ready answers that waited for earlier ones of their connection",
                        figures.clients.headOfLineDelay);
    families.gauge ("copperlead_retry_budget_left", "Retries left, of the poorest service",
                    figures.retryBudgetLeft);
    families.histogram ("copperlead_request_milliseconds",
                        "From a request's last byte to its answer", first.latency);
}

void addInstance (Families& families, const SidecarFigures& figures)
{
    families.gauge ("copperlead_instance_running", "Requests at the instance beside this node",
                    static_cast<double> (figures.running));
    families.gauge ("copperlead_instance_waiting", "Requests that wait for it here",
                    static_cast<double> (figures.waiting));
    families.gauge ("copperlead_instance_failure_share", "Share of its latest runs that failed",
                    figures.failureShare);
    families.gauge ("copperlead_instance_cold_milliseconds",
                    "For how long it stays cold and gets few requests", figures.coldMs);
    families.counter ("copperlead_instance_cold_questions_total",
                      "Times that it was asked whether it is cold", figures.last.coldProbes);

    if (figures.statedLimit)
        families.gauge ("copperlead_instance_limit_per_second",
                        "Requests a second that it states to take from all nodes together",
                        *figures.statedLimit);

    families.counter ("copperlead_instance_limit_questions_total",
                      "Times that it was asked whether its limit still holds",
                      figures.last.limitProbes);
    families.gauge ("copperlead_instance_leaving", "1 while it leaves and gets nothing new",
                    figures.instanceLeaving ? 1 : 0);
    families.counter ("copperlead_instance_unusable_fields_total",
                      "Fields of its answers that were ignored since their values can't be used",
                      figures.last.unusableFields);
    families.counters ("copperlead_instance_runs_begun_total",
                       "Runs by what their answers were expected to be", "timeliness",
                       mesh::timelinessNames, figures.begun);
    families.counter ("copperlead_instance_calls_total", "Requests sent to it",
                      figures.toInstance.calls);
    families.counter ("copperlead_instance_connections_total", "Connections opened to it",
                      figures.toInstance.connections);
    families.histogram ("copperlead_instance_queue_milliseconds", "Wait before a run",
                        figures.last.queue);
    families.histogram ("copperlead_instance_run_milliseconds", "Time at the instance",
                        figures.last.instance);
    families.histogram ("copperlead_instance_connect_milliseconds",
                        "Time until a connection is open", figures.toInstance.connect);
}

void addCrashes (Families& families, const SidecarFigures& figures)
{
    const auto& guard = figures.crashGuard;
    families.counter ("copperlead_instance_crashes_total",
                      "Crashes of the instance beside this node while something ran there",
                      figures.last.crashes);
    families.counter ("copperlead_instance_crash_questions_total",
                      "Times that it was asked, after a lost answer, whether it lives",
                      figures.last.crashProbes);
    families.gauge ("copperlead_crash_suspects", "Requests known that ran in a crash",
                    static_cast<double> (figures.crashSuspects));
    families.counter ("copperlead_crash_suspects_held_total",
                      "Requests that no instance was to get any more", guard.held);
    families.counter ("copperlead_crash_suspects_cleared_total",
                      "Held requests that ended with an answer after all", guard.cleared);
    families.counter ("copperlead_crash_suspects_refused_total",
                      "Arrivals of held requests, answered at once", guard.refused);
    families.counter ("copperlead_crash_news_sent_total", "Datagrams about suspects to others",
                      guard.updatesSent);
    families.counter ("copperlead_crash_news_taken_total", "Datagrams about suspects of others",
                      guard.updatesReceived);
}

void addSearches (Families& families, const SidecarFigures& figures)
{
    families.counters ("copperlead_searches_ended_total",
                       "Searches for an instance by what they came to", "outcome",
                       mesh::pollStepNames, figures.searches.ends);
    families.counter ("copperlead_searches_local_total",
                      "Of those: the instance beside this node was free", figures.searches.local);
    families.counter ("copperlead_searches_widened_total", "Of those: other zones were asked, too",
                      figures.searches.widened);
    families.counter ("copperlead_searches_widened_far_total",
                      "Of those: other regions were asked, too",
                      figures.searches.widenedToOtherRegions);
    families.counter ("copperlead_load_queries_sent_total", "Load queries to other nodes",
                      figures.queries.asked);
    families.counter ("copperlead_load_queries_answered_total", "Load queries of other nodes",
                      figures.queries.answered);
    families.counter ("copperlead_load_replies_total", "Replies to load queries",
                      figures.queries.replies);
    families.counter ("copperlead_load_replies_late_total", "Of those: the search had ended before",
                      figures.queries.lateReplies);
    families.counter ("copperlead_load_datagrams_unreadable_total",
                      "Datagrams that were neither query nor reply", figures.queries.unreadable);
}

void addBodies (Families& families, const SidecarFigures& figures)
{
    families.counter ("copperlead_bodies_called_total",
                      "Large bodies that other nodes were to send", figures.bodies.granted);
    families.counter ("copperlead_bodies_refused_total",
                      "Large bodies that couldn't arrive in time over this link",
                      figures.bodies.refused);
    families.counter ("copperlead_bodies_overdue_total",
                      "Large bodies whose places on the link went to others before they came",
                      figures.bodies.overdue);
    families.counter ("copperlead_bodies_arrived_total", "Large bodies that arrived whole",
                      figures.bodies.arrived);
    families.counter ("copperlead_body_bytes_total", "Bytes of those that arrived",
                      figures.bodies.bytes);
    families.gauge ("copperlead_bodies_waiting", "Large bodies held back until the link has room",
                    static_cast<double> (figures.bodiesWaiting));
    families.histogram ("copperlead_body_transfer_milliseconds",
                        "From the call for a body until it was there", figures.bodies.transfer);
}

void addMemory (Families& families, const SidecarFigures& figures)
{
    families.pools ("copperlead_memory_reserved_bytes", "Reserved for messages that are read",
                    MetricType::Gauge, figures.pools, &PoolFigures::used);
    families.pools ("copperlead_memory_limit_bytes", "Of those, at most", MetricType::Gauge,
                    figures.pools, &PoolFigures::limit);
    families.pools ("copperlead_memory_waiting", "Messages that aren't read until there is memory",
                    MetricType::Gauge, figures.pools, &PoolFigures::waiting);
    families.pools ("copperlead_memory_waited_total", "Messages that waited for memory",
                    MetricType::Counter, figures.pools, &PoolFigures::waited);
    families.pools ("copperlead_memory_refused_total", "Messages refused for lack of memory",
                    MetricType::Counter, figures.pools, &PoolFigures::refused);
    families.gauge ("copperlead_unwritten_bytes", "Responses that wait to be written",
                    static_cast<double> (figures.unwrittenBytes));
    families.gauge ("copperlead_resident_bytes", "Resident memory of the process",
                    static_cast<double> (figures.residentBytes));
}

void addTenants (Families& families, const SidecarFigures& figures)
{
    const auto& quotas = figures.quotas;
    families.counter ("copperlead_credentials_refused_total", "Answered 401: no key, or unknown",
                      figures.first.unknownCredentials);
    families.counter ("copperlead_requests_over_quota_total", "Answered 429: not run",
                      figures.first.overQuota);
    families.counter ("copperlead_quota_passed_total", "Requests passed by a keeper's grant",
                      quotas.passed);
    families.counter ("copperlead_quota_refused_total", "Requests refused by a keeper's count",
                      quotas.refused);
    families.counter ("copperlead_quota_passed_alone_total",
                      "Requests passed while no keeper was reached", quotas.passedAlone);
    families.counter ("copperlead_quota_refused_alone_total",
                      "Requests refused while no keeper was reached", quotas.refusedAlone);
    families.counter ("copperlead_quota_returned_total",
                      "Requests that were passed and have not run", quotas.returned);
    families.counter ("copperlead_quota_asks_total", "Datagrams to keepers", quotas.asks);
    families.counter ("copperlead_quota_asks_unanswered_total", "Of those: not answered in time",
                      quotas.unanswered);
    families.histogram ("copperlead_quota_wait_milliseconds",
                        "Wait of requests for a keeper's answer", quotas.waited);
    families.counter ("copperlead_quota_keeper_asked_total", "Asks of nodes for tenants kept here",
                      figures.keeper.asked);
    families.counter ("copperlead_quota_keeper_granted_total", "Requests granted to them",
                      figures.keeper.granted);
    families.counter ("copperlead_quota_keeper_refused_total", "Requests asked for and not granted",
                      figures.keeper.refused);
    families.counter ("copperlead_quota_keeper_redirected_total",
                      "Asks sent on to a keeper that goes before", figures.keeper.redirected);
    families.tenants (figures.tenants);
}

void addLink (Families& families, const SidecarFigures& figures)
{
    families.counter ("copperlead_link_transfers_total", "Large answers to other nodes",
                      figures.link.transfers);
    families.counter ("copperlead_link_transfer_bytes_total", "Bytes of those", figures.link.bytes);
    families.counter ("copperlead_link_stalls_total", "Receivers that took nothing for a while",
                      figures.link.stalls);
    families.gauge ("copperlead_link_transfers_waiting", "Large answers that are being sent",
                    static_cast<double> (figures.linkWaiting));
}

void addConfiguration (Families& families, const SidecarFigures& figures)
{
    families.gauge ("copperlead_ready", "1 while clients may be sent here", figures.ready ? 1 : 0);
    families.gauge ("copperlead_running_version", "Version of the configuration that runs",
                    static_cast<double> (figures.configurationVersion));
    families.gauge ("copperlead_source_revision", "Revision of the source that is known here",
                    static_cast<double> (figures.sourcePosition.revision));
    families.gauge ("copperlead_source_epoch", "How often the source was restored, as it says",
                    static_cast<double> (figures.sourcePosition.epoch));
    families.gauge ("copperlead_zones_evacuated", "Zones whose instances get nothing new",
                    static_cast<double> (figures.zonesEvacuated));
    families.gauge ("copperlead_is_reader", "1 while this node reads the source itself",
                    figures.reading ? 1 : 0);
    families.counters ("copperlead_source_calls_total", "Calls to the source, by cause", "cause",
                       mesh::sourceCallCauseNames, figures.sourceCalls);
    families.counter ("copperlead_source_entries_refused_total",
                      "Entries that couldn't be read and name no instance to use",
                      figures.entriesRefused);

    // The age of an event that has not happened yet is omitted, as is usual with Prometheus.
    if (figures.msSinceSourceAnswer)
        families.gauge ("copperlead_source_word_age_milliseconds",
                        "Since the source last answered this node", *figures.msSinceSourceAnswer);

    if (figures.msSinceZoneUpToDate)
        families.gauge ("copperlead_zone_word_age_milliseconds",
                        "Since this node was up to date with a reader of its zone",
                        *figures.msSinceZoneUpToDate);

    families.counter ("copperlead_reader_beats_sent_total", "Datagrams to other nodes",
                      figures.relay.heartbeatsSent);
    families.counter ("copperlead_reader_beats_heard_total", "Datagrams of readers",
                      figures.relay.heartbeatsReceived);
    families.counter ("copperlead_changes_pulled_total", "Requests for changes to a reader",
                      figures.relay.pulls);
    families.counter ("copperlead_changes_pulled_elsewhere_total",
                      "Requests for changes to a node of another zone",
                      figures.relay.pullsFromOtherZones);
    families.counter ("copperlead_changes_pull_failures_total", "Those that failed",
                      figures.relay.failedPulls);
    families.counter ("copperlead_reader_role_changes_total", "Begins and ends of reading",
                      figures.relay.roleChanges);
    families.counter ("copperlead_subscriptions_sent_total",
                      "Subscriptions to a reader's beats, this node's and those passed on",
                      figures.relay.subscriptionsSent);
    families.counter ("copperlead_subscriptions_taken_total", "Subscriptions of other nodes",
                      figures.relay.subscriptionsReceived);
    families.counter ("copperlead_handler_failures_total",
                      "Exceptions that cost a connection or a request", figures.handlerFailures);
    families.counter ("copperlead_log_lines_left_out_total", "Lines beyond their budget",
                      figures.omittedLogLines);
}

} // namespace

std::string metricsText (const SidecarFigures& figures)
{
    Families families;
    addRequests (families, figures);
    addInstance (families, figures);
    addBodies (families, figures);
    addMemory (families, figures);
    addCrashes (families, figures);
    addSearches (families, figures);
    addTenants (families, figures);
    addLink (families, figures);
    addConfiguration (families, figures);
    return families.text();
}

} // namespace copperlead::sidecar
