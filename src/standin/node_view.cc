#include "standin/node_view.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <sstream>

#include "standin/http_client.h"

namespace copperlead::standin {
namespace {

constexpr auto kTimeout = std::chrono::milliseconds(2000);

HttpAnswer Ask(const SocketAddress& admin, const std::string& path) {
  HttpCall call;
  call.address = admin;
  call.path = path;
  call.timeout = kTimeout;
  return Send(call);
}

std::optional<std::uint64_t> RevisionOf(const nlohmann::json& summary) {
  if (!summary.is_object()) return std::nullopt;
  return summary.value("revision", std::uint64_t{0});
}

NodeView ViewFrom(const nlohmann::json& status) {
  NodeView view;
  view.ready = status.at("ready");
  view.reader = status.at("reader");
  view.revision = status.at("running").at("revision");
  view.digest = status.at("running").at("digest");
  view.machines_sequence = status.at("machines_sequence");
  view.source_state = status.at("source").at("state");
  view.waiting_revision = RevisionOf(status.at("waiting"));
  view.conflict_revision = RevisionOf(status.at("conflict"));
  const auto& refused = status.at("last_refused");
  view.refused_revision = RevisionOf(refused);
  if (refused.is_object()) view.refused_explanation = refused.value("explanation", "");
  for (const auto& entry : status.at("fleet")) {
    view.fleet.push_back(
        {entry.at("id"), entry.at("zone"), entry.at("state"), entry.at("revision")});
  }
  return view;
}

}  // namespace

std::size_t NodeView::CountMembers(const std::string& state) const {
  return static_cast<std::size_t>(std::count_if(
      fleet.begin(), fleet.end(), [&](const MemberView& member) { return member.state == state; }));
}

std::optional<NodeView> AskNode(const SocketAddress& admin) {
  const auto answer = Ask(admin, "/status");
  if (!answer.whole || answer.status != 200) return std::nullopt;
  return ViewFrom(nlohmann::json::parse(answer.body));
}

double MetricOf(const SocketAddress& admin, const std::string& name) {
  std::istringstream lines(Ask(admin, "/metrics").body);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with(name + " ")) return std::atof(line.c_str() + name.size());
  }
  return 0;
}

}  // namespace copperlead::standin
