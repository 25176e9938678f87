#include "standin/store.h"

#include <httplib.h>

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>

#include "standin/command.h"
#include "standin/http_service.h"
#include "standin/options.h"

namespace copperlead::standin {
namespace {

constexpr std::size_t kThreads = 64;
constexpr auto kPeerCheckInterval = std::chrono::milliseconds(20);
constexpr std::uint64_t kLongestWatchMs = 30'000;
constexpr auto kBackupLifetime = std::chrono::seconds(10);
constexpr char kEpochHeader[] = "Store-Era";

// Base64 with padding (RFC 4648 section 4).
std::string Base64(const std::string& bytes) {
  constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  std::size_t at = 0;
  while (at < bytes.size()) {
    std::uint32_t group = 0;
    const std::size_t taken = std::min<std::size_t>(3, bytes.size() - at);
    for (std::size_t index = 0; index < 3; ++index) {
      const auto byte = index < taken ? static_cast<unsigned char>(bytes[at + index]) : 0U;
      group = group << 8 | byte;
    }
    for (std::size_t digit = 0; digit < 4; ++digit) {
      text += digit <= taken ? kDigits[group >> (18 - 6 * digit) & 63] : '=';
    }
    at += taken;
  }
  return text;
}

template <typename Item>
nlohmann::json ItemJson(const Item& item) {
  if (item.gone) {
    return {{"private_key", item.key}, {"revision", item.revision}, {"gone", true}};
  }
  nlohmann::json shown = {{"private_key", item.key},
                          {"value", Base64(item.value)},
                          {"revision", item.revision},
                          {"created_at", item.created_at},
                          {"lease", 0}};
  if (!item.foreign_fields.empty()) {
    shown.merge_patch(nlohmann::json::parse(item.foreign_fields));
  }
  return shown;
}

std::optional<StoreTrouble> TroubleNamed(const std::string& name) {
  static const std::map<std::string, StoreTrouble> troubles = {
      {"none", StoreTrouble::kNone},      {"busy", StoreTrouble::kBusy},
      {"many", StoreTrouble::kMany},      {"reset", StoreTrouble::kReset},
      {"silent", StoreTrouble::kSilent},  {"slow", StoreTrouble::kSlow},
      {"garbled", StoreTrouble::kGarbled}};
  const auto found = troubles.find(name);
  if (found == troubles.end()) return std::nullopt;
  return found->second;
}

void AnswerJson(httplib::Response& response, const std::string& text) {
  response.set_content(text, "application/json");
}

}  // namespace

void Store::AddHandlers(httplib::Server& server, std::size_t listener) {
  using Request = httplib::Request;
  using Response = httplib::Response;
  server.set_post_routing_handler([this](const Request&, Response& response) {
    const std::lock_guard lock(mutex_);
    if (response.get_header_value_count(kEpochHeader) == 0) AddEpochHeader(response);
  });
  server.Get("/v1/kv-range", [this, listener](const Request& request, Response& response) {
    if (PassFault(listener, request, response)) Range(request, response);
  });
  server.Get("/v1/kv-key", [this, listener](const Request& request, Response& response) {
    if (PassFault(listener, request, response)) Key(request, response);
  });
  server.Get("/v1/kv-watch", [this, listener](const Request& request, Response& response) {
    if (PassFault(listener, request, response)) Watch(listener, request, response);
  });
}

void Store::AddControlHandlers(httplib::Server& server) {
  using Request = httplib::Request;
  using Response = httplib::Response;
  server.Put("/control/key", [this](const Request& request, Response& response) {
    const auto revision = Put(request.get_param_value("key"), request.body);
    AnswerJson(response, nlohmann::json{{"revision", revision}}.dump());
  });
  server.Delete("/control/key", [this](const Request& request, Response& response) {
    const auto revision = Remove(request.get_param_value("key"));
    AnswerJson(response, nlohmann::json{{"revision", revision}}.dump());
  });
  server.Post("/control/fault", [this](const Request& request, Response& response) {
    const auto trouble = TroubleNamed(request.get_param_value("fault"));
    if (!trouble) {
      response.status = 400;
      response.set_content("fault: none, busy, many, reset, silent, slow or garbled\n",
                           "text/plain");
      return;
    }
    SetFault(NumberParameter(request, "listener", 0),
             {*trouble, std::chrono::milliseconds(NumberParameter(request, "ms", 200))});
    AnswerJson(response, "{}");
  });
  server.Post("/control/compact", [this](const Request&, Response& response) {
    Compact();
    AnswerJson(response, "{}");
  });
  server.Post("/control/restore", [this](const Request& request, Response& response) {
    Restore(std::chrono::milliseconds(NumberParameter(request, "age_ms", 0)));
    AnswerJson(response, "{}");
  });
  server.Get("/control/counters", [this](const Request& request, Response& response) {
    const auto listener = NumberParameter(request, "listener", 0);
    AnswerJson(response, nlohmann::json{{"calls", calls(listener)}}.dump());
  });
}

void Store::AddEpochHeader(httplib::Response& response) const {
  response.set_header(kEpochHeader, std::to_string(epoch_));
}

void Store::KeepBackup() {
  const auto now = std::chrono::steady_clock::now();
  while (backups_.size() > 1 && now - backups_.front().replaced_at > kBackupLifetime) {
    backups_.pop_front();
  }
  backups_.push_back({now, items_, revision_});
}

void Store::Record(const Item& item) {
  history_.push_back(item);
  changed_.notify_all();
}

std::uint64_t Store::Put(const std::string& key, const std::string& value) {
  return Write(key, value, "");
}

std::uint64_t Store::PutForeign(const std::string& key, const std::string& fields) {
  return Write(key, "", fields);
}

std::uint64_t Store::Write(const std::string& key, const std::string& value,
                           const std::string& foreign_fields) {
  const std::lock_guard lock(mutex_);
  KeepBackup();
  Item& item = items_[key];
  if (item.created_at == 0) item.created_at = revision_ + 1;
  item.key = key;
  item.value = value;
  item.foreign_fields = foreign_fields;
  item.revision = ++revision_;
  Record(item);
  return revision_;
}

std::uint64_t Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  if (items_.count(key) == 0) return revision_;
  KeepBackup();
  items_.erase(key);
  Record({key, "", ++revision_, 0, true, ""});
  return revision_;
}

void Store::SetFault(std::size_t listener, const StoreFault& fault) {
  const std::lock_guard lock(mutex_);
  faults_[listener] = fault;
  ++fault_numbers_[listener];
  changed_.notify_all();
}

StoreFault Store::FaultOf(std::size_t listener) const {
  const auto found = faults_.find(listener);
  return found == faults_.end() ? StoreFault{} : found->second;
}

StoreFault Store::TakeFault(std::size_t listener) {
  const auto found = faults_.find(listener);
  if (found == faults_.end() || found->second.times == 0) return {};
  if (found->second.times != UINT64_MAX) --found->second.times;
  return found->second;
}

void Store::Compact() {
  const std::lock_guard lock(mutex_);
  history_.clear();
  forgotten_ = revision_;
  ++watch_resets_;
  changed_.notify_all();
}

void Store::Restore(std::chrono::milliseconds age) {
  const std::lock_guard lock(mutex_);
  const auto from = std::chrono::steady_clock::now() - age;
  while (!backups_.empty() && backups_.back().replaced_at >= from) {
    items_ = std::move(backups_.back().items);
    revision_ = backups_.back().revision;
    backups_.pop_back();
  }
  while (!history_.empty() && history_.back().revision > revision_) history_.pop_back();
  forgotten_ = std::min(forgotten_, revision_);
  ++epoch_;
  ++watch_resets_;
  changed_.notify_all();
}

void Store::SetPageSize(std::size_t entries) {
  const std::lock_guard lock(mutex_);
  page_size_ = entries;
}

void Store::Stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
  changed_.notify_all();
}

std::uint64_t Store::fault_times(std::size_t listener) const {
  const std::lock_guard lock(mutex_);
  return FaultOf(listener).times;
}

std::uint64_t Store::calls(std::size_t listener) const {
  const std::lock_guard lock(mutex_);
  const auto found = calls_.find(listener);
  return found == calls_.end() ? 0 : found->second;
}

bool Store::PassFault(std::size_t listener, const httplib::Request& request,
                      httplib::Response& response) {
  std::unique_lock lock(mutex_);
  ++calls_[listener];
  const StoreFault fault = TakeFault(listener);
  const auto number = fault_numbers_[listener];
  const int socket = SocketOf(request);
  switch (fault.trouble) {
    case StoreTrouble::kNone:
      return true;
    case StoreTrouble::kSlow:
      changed_.wait_for(lock, fault.wait,
                        [&] { return stopped_ || fault_numbers_[listener] != number; });
      return true;
    case StoreTrouble::kBusy:
      response.status = 503;
      return false;
    case StoreTrouble::kMany:
      response.status = 429;
      return false;
    case StoreTrouble::kGarbled:
      AnswerJson(response, R"({"items":[{"private_key":"op)");
      return false;
    case StoreTrouble::kSilent:
      while (!stopped_ && fault_numbers_[listener] == number && !IsPeerGone(socket)) {
        changed_.wait_for(lock, kPeerCheckInterval);
      }
      break;
    case StoreTrouble::kReset:
      break;
  }
  CloseConnection(socket);
  return false;
}

void Store::Range(const httplib::Request& request, httplib::Response& response) {
  const std::string prefix = request.get_param_value("path_prefix");
  const std::string after = request.get_param_value("after");
  const std::lock_guard lock(mutex_);
  nlohmann::json items = nlohmann::json::array();
  bool more = false;
  for (const auto& [key, item] : items_) {
    if (key.compare(0, prefix.size(), prefix) != 0 || (!after.empty() && key <= after)) continue;
    more = items.size() >= page_size_;
    if (more) break;
    items.push_back(ItemJson(item));
  }
  AddEpochHeader(response);
  AnswerJson(response,
             nlohmann::json{{"items", items}, {"has_more", more}, {"at", revision_}}.dump());
}

void Store::Key(const httplib::Request& request, httplib::Response& response) {
  const std::lock_guard lock(mutex_);
  AddEpochHeader(response);
  const auto found = items_.find(request.get_param_value("private_key"));
  if (found == items_.end()) {
    response.status = 404;
    return;
  }
  nlohmann::json answer = ItemJson(found->second);
  answer["at"] = revision_;
  AnswerJson(response, answer.dump());
}

bool Store::HasEvent(const std::string& prefix, std::uint64_t after) const {
  return std::any_of(history_.begin(), history_.end(), [&](const Item& item) {
    return item.revision > after && item.key.compare(0, prefix.size(), prefix) == 0;
  });
}

std::string Store::EventsText(const std::string& prefix, std::uint64_t after) const {
  nlohmann::json events = nlohmann::json::array();
  for (const Item& item : history_) {
    const bool wanted = item.revision > after && item.key.compare(0, prefix.size(), prefix) == 0;
    if (wanted) events.push_back(ItemJson(item));
  }
  return nlohmann::json{{"events", events}, {"at", revision_}}.dump();
}

void Store::Watch(std::size_t listener, const httplib::Request& request,
                  httplib::Response& response) {
  const std::string prefix = request.get_param_value("path_prefix");
  const auto after = NumberParameter(request, "after", 0);
  const auto wait = std::min(NumberParameter(request, "wait_ms", 0), kLongestWatchMs);
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
  const int socket = SocketOf(request);
  std::unique_lock lock(mutex_);
  const auto watch_resets = watch_resets_;
  const auto number = fault_numbers_[listener];
  while (!stopped_ && watch_resets_ == watch_resets && !HasEvent(prefix, after) &&
         !IsHistoryLost(after) && std::chrono::steady_clock::now() < until && !IsPeerGone(socket)) {
    changed_.wait_for(lock, kPeerCheckInterval);
  }
  // A trouble that began meanwhile strikes the watch that waits.
  if (fault_numbers_[listener] != number && FaultOf(listener).trouble != StoreTrouble::kNone) {
    lock.unlock();
    if (!PassFault(listener, request, response)) return;
    lock.lock();
  }
  if (watch_resets_ != watch_resets) return CloseConnection(socket);
  AddEpochHeader(response);
  if (IsHistoryLost(after)) {
    response.status = 410;
    return;
  }
  AnswerJson(response, EventsText(prefix, after));
}

int RunStore(const std::vector<std::string>& arguments) {
  namespace program_options = boost::program_options;
  program_options::options_description description("copperlead-standin store");
  const auto text = [] { return program_options::value<std::string>(); };
  description.add_options()                                                             //
      ("listen", text()->default_value("127.0.0.1:0"), "IP:PORT of listener 0")         //
      ("second-listen", text()->default_value("127.0.0.1:0"), "IP:PORT of listener 1")  //
      ("control", text()->default_value("127.0.0.1:0"), "IP:PORT of the control path");
  program_options::variables_map values;
  if (const auto code = ParseOptions(arguments, description, values)) return *code;
  const auto listen = AddressOption(values, "listen");
  const auto second_listen = AddressOption(values, "second-listen");
  const auto control = AddressOption(values, "control");
  if (!listen || !second_listen || !control) return kExitUsage;

  BlockStopSignals();
  Store store;
  HttpService first(kThreads);
  HttpService second(kThreads);
  HttpService control_service(4);
  store.AddHandlers(first.server(), 0);
  store.AddHandlers(second.server(), 1);
  store.AddControlHandlers(control_service.server());
  if (!first.Start(*listen) || !second.Start(*second_listen) || !control_service.Start(*control)) {
    return kExitUsage;
  }
  std::cout << nlohmann::json{{"listen", ToString(first.address())},
                              {"second_listen", ToString(second.address())},
                              {"control", ToString(control_service.address())}}
            << std::endl;
  WaitForStopSignal();
  store.Stop();
  return 0;
}

}  // namespace copperlead::standin
