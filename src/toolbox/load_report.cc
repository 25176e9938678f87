#include "toolbox/load_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string_view>

namespace copperlead {
namespace {

using Json = nlohmann::ordered_json;

constexpr double kMicrosecondsPerMillisecond = 1000.0;
constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;
constexpr double kHalf = 0.5;
constexpr double kNineTenths = 0.9;
constexpr double kNinetyNine = 0.99;
constexpr double kThreeNines = 0.999;

double ToMilliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerMillisecond;
}

Json ToJson(const LoadResult& result) {
  const auto quantile = [&](double share) {
    return ToMilliseconds(result.latency.Quantile(share));
  };
  return {{"sent", result.sent},
          {"answers_per_second", static_cast<double>(result.latency.count()) / result.seconds},
          {"latency_ms",
           {{"p50", quantile(kHalf)},
            {"p90", quantile(kNineTenths)},
            {"p99", quantile(kNinetyNine)},
            {"p999", quantile(kThreeNines)},
            {"max", ToMilliseconds(result.latency.max())}}},
          {"first_latency_ms",
           {{"p50", ToMilliseconds(result.first_latency.Quantile(kHalf))},
            {"p99", ToMilliseconds(result.first_latency.Quantile(kNinetyNine))}}},
          {"by_status", result.by_status},
          {"by_outcome", result.by_outcome},
          {"errors", result.errors}};
}

Json AddedToJson(const LoadResult& target, const LoadResult& direct) {
  const auto added = [&](double share) {
    return ToMilliseconds(target.latency.Quantile(share) - direct.latency.Quantile(share));
  };
  return {{"p50", added(kHalf)}, {"p99", added(kNinetyNine)}};
}

Json ProcessToJson(const ProcessUsage& before, const ProcessUsage& after,
                   const LoadResult& target) {
  const double cpu_seconds = after.cpu_seconds - before.cpu_seconds;
  const double requests = static_cast<double>(std::max<std::uint64_t>(target.sent, 1));
  return {{"cpu_share_of_a_core", cpu_seconds / target.seconds},
          {"cpu_us_per_request", cpu_seconds * 1e6 / requests},
          {"resident_mb", static_cast<double>(after.resident_bytes) / kBytesPerMegabyte},
          {"peak_resident_mb", static_cast<double>(after.peak_bytes) / kBytesPerMegabyte},
          {"threads", after.threads}};
}

Json ToJson(const LoadReport& report) {
  Json json = {{"target", ToString(report.plan.target)},
               {"rate", report.plan.rate},
               {"duration_s", report.plan.duration.count()},
               {"connections", report.plan.connections},
               {"keep_alive", report.plan.keep_alive},
               {"method", report.plan.method},
               {"path", report.plan.path},
               {"body_bytes", report.plan.body_bytes}};
  json.update(ToJson(report.target));
  if (report.direct) {
    json["direct"] = ToJson(*report.direct);
    json["added_ms"] = AddedToJson(report.target, *report.direct);
  }
  if (report.before && report.after) {
    json["process"] = ProcessToJson(*report.before, *report.after, report.target);
  }
  return json;
}

void AppendText(std::ostream& out, std::string_view name, const LoadResult& result) {
  const Json json = ToJson(result);
  out << name << ": " << result.sent << " sent, " << result.error_count() << " errors, latency ms "
      << json["latency_ms"].dump() << "\n  status " << json["by_status"].dump() << " outcome "
      << json["by_outcome"].dump() << " errors " << json["errors"].dump() << "\n";
}

}  // namespace

std::string ToJsonText(const LoadReport& report) { return ToJson(report).dump() + "\n"; }

std::string ToText(const LoadReport& report) {
  std::ostringstream out;
  AppendText(out, "target", report.target);
  if (!report.direct) return out.str();
  AppendText(out, "direct", *report.direct);
  out << "added ms " << AddedToJson(report.target, *report.direct).dump() << "\n";
  return out.str();
}

}  // namespace copperlead
