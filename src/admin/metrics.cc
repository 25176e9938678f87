#include "admin/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <sstream>
#include <vector>

namespace copperlead {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

// One stat: where its value stands, and what the scrape shows.
struct StatDeclaration {
  std::uint64_t MetricValues::*value;
  MetricType type;
  const char* name;
  const char* help;
};

constexpr MetricType kCounter = MetricType::Counter;
constexpr MetricType kGauge = MetricType::Gauge;

// The one list of stats.
constexpr StatDeclaration kStats[] = {
    {&MetricValues::control_bytes_sent, kCounter, "copperlead_control_bytes_sent_total",
     "Bytes of frames sent to other nodes"},
    {&MetricValues::control_bytes_received, kCounter, "copperlead_control_bytes_received_total",
     "Bytes of frames received from other nodes"},
    {&MetricValues::control_messages_sent, kCounter, "copperlead_control_messages_sent_total",
     "Messages sent to other nodes"},
    {&MetricValues::control_messages_received, kCounter,
     "copperlead_control_messages_received_total", "Messages received from other nodes"},
    {&MetricValues::control_send_failures, kCounter, "copperlead_control_send_failures_total",
     "Messages that could not be sent"},
    {&MetricValues::bad_frames, kCounter, "copperlead_bad_frames_total",
     "Frames that were malformed or too large"},
    {&MetricValues::unseal_failures, kCounter, "copperlead_unsealed_frames_total",
     "Frames under a wrong key, or altered on the way"},
    {&MetricValues::dropped_events, kCounter, "copperlead_dropped_events_total",
     "Messages dropped because too many waited"},
    {&MetricValues::running_revision, kGauge, "copperlead_running_revision",
     "Revision of the table that this node runs; 0 for none"},
    {&MetricValues::floor_revision, kGauge, "copperlead_floor_revision",
     "Lowest revision that this node may run"},
    {&MetricValues::machines_sequence, kGauge, "copperlead_machines_sequence",
     "Sequence of the machine list in use"},
    {&MetricValues::version_waiting, kGauge, "copperlead_version_waiting",
     "1 while a version waits for a service or secret"},
    {&MetricValues::version_conflict, kGauge, "copperlead_version_conflict",
     "1 while another table was seen under the running revision"},
    {&MetricValues::source_reads, kCounter, "copperlead_source_reads_total",
     "Reads of the configuration service by this node"},
    {&MetricValues::source_failures, kCounter, "copperlead_source_failures_total",
     "Reads of the configuration service that failed"},
    {&MetricValues::is_reader, kGauge, "copperlead_is_reader",
     "1 while this node reads the configuration service for its zone"},
    {&MetricValues::ready, kGauge, "copperlead_ready", "1 while this node may serve"},
    {&MetricValues::live_members, kGauge, "copperlead_live_members",
     "Nodes believed live, this one included"},
    {&MetricValues::suspect_members, kGauge, "copperlead_suspect_members",
     "Nodes that did not answer a probe lately"},
    {&MetricValues::dead_members, kGauge, "copperlead_dead_members", "Nodes believed dead"},
    {&MetricValues::requests, kCounter, "copperlead_requests_total", "Requests begun"},
    {&MetricValues::requests_in_flight, kGauge, "copperlead_requests_in_flight",
     "Requests begun and not finished"},
    {&MetricValues::answers, kCounter, "copperlead_answers_total",
     "Answers given, by back ends or by this node"},
    {&MetricValues::retries, kCounter, "copperlead_retries_total", "Further attempts"},
    {&MetricValues::retries_denied, kCounter, "copperlead_retries_denied_total",
     "Further attempts that the retry budget refused"},
    {&MetricValues::ejections, kCounter, "copperlead_ejections_total",
     "Back ends taken out of rotation after failures"},
    {&MetricValues::caller_connections, kGauge, "copperlead_caller_connections",
     "Open connections from callers"},
    {&MetricValues::backend_connections, kGauge, "copperlead_backend_connections",
     "Open connections to back ends"},
};

ClientMetric MetricOf(MetricType type, std::uint64_t value) {
  ClientMetric metric;
  if (type == MetricType::Counter) {
    metric.counter.value = static_cast<double>(value);
  } else {
    metric.gauge.value = static_cast<double>(value);
  }
  return metric;
}

MetricFamily FamilyOf(const StatDeclaration& stat, std::uint64_t value) {
  return {stat.name, stat.help, stat.type, {MetricOf(stat.type, value)}};
}

// Answers that the node itself made, by error kind.
MetricFamily ErrorFamily(const MetricValues& values) {
  MetricFamily family{"copperlead_errors_total",
                      "Requests that this node answered itself, by kind of error",
                      kCounter,
                      {}};
  for (std::size_t index = 0; index < values.errors.size(); ++index) {
    const auto kind = static_cast<ErrorKind>(index);
    if (AnswerFor(kind).http_status == 0) continue;
    auto metric = MetricOf(kCounter, values.errors[index]);
    metric.label.push_back({"kind", std::string(Name(kind))});
    family.metric.push_back(std::move(metric));
  }
  return family;
}

}  // namespace

std::string MetricsToText(const MetricValues& values) {
  std::vector<MetricFamily> families;
  for (const auto& stat : kStats) families.push_back(FamilyOf(stat, values.*stat.value));
  families.push_back(ErrorFamily(values));
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text, families);
  return text.str();
}

}  // namespace copperlead
