#include "standin/demo.h"

#include <signal.h>

#include <atomic>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

#include "standin/command.h"
#include "standin/content.h"
#include "standin/options.h"

namespace copperlead::standin {
namespace {

using Clock = std::chrono::steady_clock;

constexpr const char* kZones[] = {"ank-a", "ank-b", "ank-c", "ank-d"};
constexpr std::size_t kUploadBytes = 8000000;
constexpr std::size_t kDownloadBytes = 4000000;
constexpr auto kQuietWindow = std::chrono::seconds(3);
constexpr char kControlBytes[] = "copperlead_control_bytes_sent_total";

double MillisecondsSince(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

std::string Rounded(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.0f", value);
  return text;
}

void Say(const std::string& text) { std::cout << text << std::endl; }

void Heading(const std::string& text) { Say("\n== " + text); }

// @return the last line of a log that holds `part`.
std::string LineWith(const std::string& log, const std::string& part) {
  const auto place = log.rfind(part);
  if (place == std::string::npos) return "";
  const auto start = log.rfind('\n', place);
  const auto end = log.find('\n', place);
  const auto first = start == std::string::npos ? 0 : start + 1;
  return log.substr(first, end == std::string::npos ? end : end - first);
}

}  // namespace

void Demo::PlanTable() {
  auto& plan = fleet_.configuration();
  plan.slots_by_service = {{"permit-desk", 6}, {"records-hub", 6}};
  plan.secrets = {{"permit-token", "cGVybWl0LXRva2Vu"}};
  auto lookups = Row("permit-desk", "/permits");
  lookups.secret = "permit-token";
  auto purchases = Row("permit-desk", "/permits/purchases");
  purchases.repeatable = "no";
  purchases.secret = "permit-token";
  plan.routes = {lookups, purchases, Row("records-hub", "/records")};
}

void Demo::StartBackends() {
  struct Instances {
    const char* service;
    const char* site;
    int count;
  };
  for (const auto& [service, site, count] : {Instances{"permit-desk", "old", 3},
                                             {"permit-desk", "new", 3},
                                             {"records-hub", "old", 2},
                                             {"records-hub", "new", 1}}) {
    for (int number = 1; number <= count; ++number) {
      BackendPlan plan;
      plan.id = std::string(service) + "-" + site + "-" + std::to_string(number);
      plan.service = service;
      plan.site = site;
      plan.zone = kZones[number % 4];
      plan.arguments = {"--work-ms", "2"};
      fleet_.AddBackend(plan);
    }
  }
}

void Demo::Expect(const std::string& what, const std::function<bool()>& condition) {
  if (WaitFor(condition)) return;
  throw std::runtime_error("not seen in time: " + what);
}

void Demo::StartFleet() {
  Heading("A fleet: 9 back ends, the platform's source, two nodes in each of four zones");
  PlanTable();
  StartBackends();
  for (const char* zone : kZones) {
    const bool near_source = zone == kZones[0] || zone == kZones[1];
    for (const char* number : {"1", "2"}) {
      // Zone ank-a reads the source with both nodes, ank-b with one, the others with none.
      const bool reads = near_source && (zone == kZones[0] || number[0] == '1');
      fleet_.AddNode(std::string("node-") + zone + "-" + number, zone, reads);
    }
  }
  fleet_.StartSource();
  const auto start = Clock::now();
  fleet_.StartNodes();
  Expect("all nodes run revision 1", [this] { return fleet_.AllRun(1); });
  Expect("all nodes see each other", [this] { return fleet_.AllSeeEachOther(); });
  figures_.start_ms = MillisecondsSince(start);
  Say("All 8 nodes run revision 1 and see each other, " + Rounded(figures_.start_ms) +
      " ms after their start; 5 of them have no way to the source.");
}

HttpAnswer Demo::Request(const LocalNode& node, const std::string& method, const std::string& path,
                         const std::string& body) {
  HttpCall call;
  call.address = node.plan.listen;
  call.method = method;
  call.path = path;
  call.body = body;
  call.headers["x-request-id"] = "demo-" + std::to_string(++request_number_);
  auto answer = Send(call);
  if (!answer.whole || answer.status != 200) {
    throw std::runtime_error(method + " " + path + " by " + node.plan.id + ": status " +
                             std::to_string(answer.status) + " " + answer.failure + answer.body);
  }
  return answer;
}

std::string Demo::SiteOfAnswer(const HttpAnswer& answer) const {
  const std::string id = nlohmann::json::parse(answer.body).at("id");
  return id.find("-new-") != std::string::npos ? "new" : "old";
}

void Demo::CarryRequests() {
  Heading("Requests through the nodes");
  const auto lookup = Request(fleet_.nodes()[7], "GET", "/permits/1234");
  Say("Lookup, GET /permits/1234 by node-ank-d-2: 200 from the " + SiteOfAnswer(lookup) +
      " site.\n  " + lookup.body);

  const auto purchase = Request(fleet_.nodes()[4], "POST", "/permits/purchases", "season=2027");
  const auto id = nlohmann::json::parse(purchase.body).at("request_id").get<std::string>();
  std::uint64_t runs = 0;
  for (const auto& backend : fleet_.backends()) {
    const auto journal =
        nlohmann::json::parse(Get(backend->standin.control, "/control/journal").body);
    const auto& entries = journal.at("entries");
    if (entries.contains(id)) runs += entries.at(id).at("runs").get<std::uint64_t>();
  }
  if (runs != 1) throw std::runtime_error("the purchase ran " + std::to_string(runs) + " times");
  Say("Purchase, POST /permits/purchases by node-ank-c-1: 200; the back ends' journals hold " +
      std::to_string(runs) + " run.");

  const auto scan = ContentFor("scan", 0, kUploadBytes);
  const auto upload =
      nlohmann::json::parse(Request(fleet_.nodes()[2], "PUT", "/records/scans/77", scan).body);
  if (upload.at("body_hash") != HashOf(scan)) throw std::runtime_error("the upload was altered");
  Say("Upload, PUT /records/scans/77 by node-ank-b-1: " + std::to_string(kUploadBytes) +
      " bytes arrived whole (hash " + HashOf(scan) + ").");
}

void Demo::MeasureQuiet() {
  const double before = fleet_.SumOfMetric(kControlBytes);
  const auto start = Clock::now();
  std::this_thread::sleep_for(kQuietWindow);
  const double bytes = fleet_.SumOfMetric(kControlBytes) - before;
  const double seconds = MillisecondsSince(start) / 1000;
  figures_.quiet_bytes_per_node_per_second =
      bytes / seconds / static_cast<double>(fleet_.nodes().size());
}

void Demo::EditCell() {
  Heading("One edit: permit-desk from 100/0 to 0/100");
  MeasureQuiet();
  const double bytes_before = fleet_.SumOfMetric(kControlBytes);
  for (const char* route : {"/permits", "/permits/purchases"}) {
    fleet_.configuration().Route(route).old_weight = 0;
    fleet_.configuration().Route(route).new_weight = 100;
  }
  const auto start = Clock::now();
  fleet_.PublishConfiguration();
  std::vector<double> settled(fleet_.nodes().size(), -1);
  std::vector<std::thread> watchers;
  for (std::size_t index = 0; index < settled.size(); ++index) {
    watchers.emplace_back([&, index] {
      const auto admin = fleet_.nodes()[index].plan.admin;
      const auto runs_edit = [&] {
        const auto view = AskNode(admin);
        return view && view->revision == fleet_.configuration().revision;
      };
      if (WaitFor(runs_edit)) settled[index] = MillisecondsSince(start);
    });
  }
  for (auto& watcher : watchers) watcher.join();
  const auto [first, last] = std::minmax_element(settled.begin(), settled.end());
  if (*first < 0) throw std::runtime_error("a node did not take the edit");
  figures_.first_node_ms = *first;
  figures_.all_nodes_ms = *last;
  figures_.edit_bytes = fleet_.SumOfMetric(kControlBytes) - bytes_before;
  for (const auto& node : fleet_.nodes()) {
    if (SiteOfAnswer(Request(node, "GET", "/permits/1234")) != "new") {
      throw std::runtime_error(node.plan.id + " still sends to the old site");
    }
  }
  Say("Revision 2 ran on the first node " + Rounded(figures_.first_node_ms) +
      " ms after its publication (the wait for the next poll is in it) and on all 8 after " +
      Rounded(figures_.all_nodes_ms) + " ms.");
  Say("Control bytes sent by all 8 nodes in that time: " + Rounded(figures_.edit_bytes) +
      "; quiet: " + Rounded(figures_.quiet_bytes_per_node_per_second) + " bytes/s a node.");
  Say("Each node now sends permit lookups to the new site.");
}

void Demo::RefuseBadEdit() {
  Heading("A bad edit: weights 10/100 in one row");
  auto bad = fleet_.configuration();
  bad.revision += 1;
  bad.Route("/permits").old_weight = 10;
  const auto file = fleet_.workplace().WriteFile("bad.json", ToJson(bad));
  ChildProcess check({fleet_.workplace().Program("copperlead"), "check", "--configuration", file},
                     fleet_.workplace().LogFile("check"));
  while (const auto line = check.ReadLine(kPatience)) Say("copperlead check: " + *line);
  if (check.Wait(kPatience) != 1) throw std::runtime_error("copperlead check found no fault");

  fleet_.PutConfiguration(ToJson(bad));
  std::string refusing;
  Expect("a reader refuses the bad edit", [&] {
    for (const auto& node : fleet_.nodes()) {
      const auto view = AskNode(node.plan.admin);
      if (view && view->refused_revision == bad.revision) refusing = node.plan.id;
    }
    return !refusing.empty();
  });
  Say(refusing +
      " refused it: " + LineWith(fleet_.workplace().ReadLog(refusing), "is refused whole"));
  if (!fleet_.AllRun(fleet_.configuration().revision)) {
    throw std::runtime_error("a node left the good revision");
  }
  Say("All 8 nodes still run revision 2.");
}

void Demo::KillSource() {
  Heading("The source dies");
  fleet_.source().process->Signal(SIGKILL);
  fleet_.source().process->Wait(kPatience);
  std::this_thread::sleep_for(kQuietWindow);
  for (const auto& node : fleet_.nodes()) {
    Request(node, "GET", "/permits/1234");
    Request(node, "POST", "/permits/purchases", "season=2027");
    Request(node, "GET", "/records/history/9");
  }
  if (!fleet_.AllRun(fleet_.configuration().revision)) {
    throw std::runtime_error("a node lost its table with the source");
  }
  Say("Three seconds later all 8 nodes run revision 2 and answered a lookup, a purchase and a "
      "record each.");
}

void Demo::DrainNodes() {
  Heading("SIGTERM to every node, with a download in flight through each");
  std::atomic<int> whole{0};
  std::atomic<int> begun{0};
  std::vector<std::thread> callers;
  for (const auto& node : fleet_.nodes()) {
    callers.emplace_back([&, address = node.plan.listen, id = "drain-" + node.plan.id] {
      HttpCall call;
      call.address = address;
      call.path = "/records/download/" + std::to_string(kDownloadBytes) + "?pause_ms=20";
      call.headers["x-request-id"] = id;
      ++begun;
      const auto answer = Send(call);
      if (answer.whole && answer.body == ContentFor(id, 0, kDownloadBytes)) ++whole;
    });
  }
  const auto in_flight = [this] {
    return fleet_.SumOfMetric("copperlead_requests_in_flight") >= 8;
  };
  const bool all_in_flight = WaitFor(in_flight, std::chrono::seconds(1));
  for (const auto& node : fleet_.nodes()) node.process->Signal(SIGTERM);
  for (auto& caller : callers) caller.join();
  for (const auto& node : fleet_.nodes()) {
    if (node.process->Wait(kPatience) != 0) throw std::runtime_error(node.plan.id + " exit code");
  }
  if (whole != 8) throw std::runtime_error("a download was cut by the drain");
  Say("All 8 downloads of " + std::to_string(kDownloadBytes) + " bytes ended whole" +
      (all_in_flight ? "" : " (not all were in flight at the signal)") + "; all 8 nodes exited 0.");
}

void Demo::PrintSummary() const {
  Heading("Summary");
  Say("start to 8 nodes serving        " + Rounded(figures_.start_ms) + " ms");
  Say("edit published to 8 nodes       " + Rounded(figures_.all_nodes_ms) + " ms (first node " +
      Rounded(figures_.first_node_ms) + " ms)");
  Say("control bytes for the edit      " + Rounded(figures_.edit_bytes) + " by all 8 nodes");
  Say("quiet control traffic           " + Rounded(figures_.quiet_bytes_per_node_per_second) +
      " bytes/s a node");
  Say("bad edit                        refused with row and column, revision 2 kept");
  Say("source killed                   everything still served");
  Say("SIGTERM                         8 of 8 downloads whole, 8 of 8 nodes exited 0");
}

int RunDemo(const std::vector<std::string>& arguments) {
  namespace program_options = boost::program_options;
  const std::string here = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  program_options::options_description description("copperlead-standin demo");
  description.add_options()("binaries", program_options::value<std::string>()->default_value(here),
                            "folder of copperlead's programs");
  program_options::variables_map values;
  if (const auto code = ParseOptions(arguments, description, values)) return *code;
  try {
    Demo demo(values["binaries"].as<std::string>());
    demo.StartFleet();
    demo.CarryRequests();
    demo.EditCell();
    demo.RefuseBadEdit();
    demo.KillSource();
    demo.DrainNodes();
    demo.PrintSummary();
  } catch (const std::exception& error) {
    std::cerr << "\ndemo failed: " << error.what() << "\n";
    return 1;
  }
  return 0;
}

}  // namespace copperlead::standin
