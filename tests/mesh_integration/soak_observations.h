// What the soak's clients and instances have seen, and what of it breaks a promise.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/mesh_integration/mesh_fleet.h"
#include "tests/proxy/raw_socket.h"

namespace copperlead::standin {

// Of the tenant that asks for far more than it may.
inline constexpr int kLimit = 20;
inline constexpr int kBurst = 10;
inline constexpr std::size_t kBound = (5 * kLimit + kBurst) * 5 / 4 + 20;
// A request that crashes instances, sent again and again; two crashes hold it. Behind a fault proxy
// a node sees that its instance is gone only when it has begun anew, so some more end meanwhile.
inline constexpr char kCrashing[] = "/look/crashes";
inline constexpr std::size_t kMostCrashes = 12;

// Thread-safe.
class Observations {
 public:
  void Answered(const std::string& id, bool repeatable, const HttpAnswer& answer) {
    const std::lock_guard lock(mutex_);
    Count(answer.status, answer.body);
    if (repeatable) return CheckAnswer(id, answer);
    purchases_[id] = answer.whole ? answer.status : 0;
    CheckAnswer(id, answer);
  }

  void AnsweredKept(const std::string& id, const RawMessage& answer) {
    const std::lock_guard lock(mutex_);
    Count(answer.status(), answer.body);
    if (answer.status() == 200 && answer.body != "answer to " + id) {
      Violate(id + " got \"" + answer.body + "\"");
    }
  }

  // A request of the tenant that is over its limit.
  void AnsweredHot(const std::string& id, const HttpAnswer& answer) {
    const std::lock_guard lock(mutex_);
    Count(answer.status, answer.body);
    if (answer.status != 429) CheckAnswer(id, answer);
  }

  // What instances saw of tenants.
  void CheckTenants(const MeshFleet& fleet) {
    const std::lock_guard lock(mutex_);
    busiest_ = BusiestWindowOf(fleet, "plain");
    if (busiest_.runs > kBound) {
      Violate("a limit was exceeded: " + std::to_string(busiest_.runs) + " where " +
              std::to_string(kBound) + " are allowed");
    }
    for (const auto& machine : fleet.machines()) {
      for (const auto& run : machine->instance->runs()) {
        if (!run.key.empty()) Violate(run.request_id + " came with its client's key");
        const bool hot = run.request_id[0] == 'h';
        if (run.tenant != (hot ? "plain" : "gold")) Violate(run.request_id + " of " + run.tenant);
      }
    }
  }

  // What the request that crashes instances has done.
  void CheckCrashes(const MeshFleet& fleet) {
    const std::lock_guard lock(mutex_);
    std::size_t crashes = 0;
    for (const auto& machine : fleet.machines()) crashes += machine->instance->crashes().size();
    if (crashes > kMostCrashes) Violate(std::to_string(crashes) + " instances crashed");
    crashes_ = crashes;
  }

  // Reports requests that a draining instance ran after `deadline`. Skips an instance that has
  // restarted since `born`.
  void CheckDrained(const MeshMachine& machine, std::int64_t born,
                    std::chrono::steady_clock::time_point deadline) {
    const std::lock_guard lock(mutex_);
    if (machine.instance->born() != born) return;
    ++drains_checked_;
    for (const auto& run : machine.instance->runs()) {
      if (run.ran && run.ran_at > deadline) {
        Violate(run.request_id + " reached draining instance " + machine.instance_id + " too late");
      }
    }
  }

  // A probe for the route that version `version` and all later ones have.
  void Probed(std::size_t machine, int life, std::uint64_t version, int status) {
    const std::lock_guard lock(mutex_);
    std::uint64_t& served = served_version_[{machine, life}];
    if (status == 200) served = std::max(served, version);
    if (status == 404 && version <= served) {
      Violate("machine " + std::to_string(machine) + " went back behind version " +
              std::to_string(served));
    }
  }

  void Violate(const std::string& what) { violations_.insert(what); }
  void ViolateLocked(const std::string& what) {
    const std::lock_guard lock(mutex_);
    Violate(what);
  }

  // @param status  0 when the client broke off or got no answer
  void Uploaded(const std::string& id, std::size_t bytes, std::size_t hash, int status,
                const RawMessage& answer) {
    const std::lock_guard lock(mutex_);
    Count(status, answer.body);
    uploads_[id] = {bytes, hash, answer.complete ? status : 0};
    // A large answer of an instance that never ends it breaks off visibly.
    if (status == 200 && answer.complete && answer.body != "answer to " + id) {
      Violate(id + " got \"" + answer.body.substr(0, 100) + "\"");
    }
  }

  void Downloaded(const std::string& id, std::size_t bytes, const RawMessage& answer) {
    const std::lock_guard lock(mutex_);
    Count(answer.status(), answer.status() == 200 ? "" : answer.body);
    ++downloads_[answer.status()];
    if (answer.status() == 200 && answer.body != LargeAnswerBody(id, bytes)) {
      Violate(id + " got another body of " + std::to_string(answer.body.size()) + " bytes");
    }
  }

  // A large answer broke off, so that its client can get none to the requests behind it.
  void BrokeOff(const std::vector<std::string>& behind) {
    const std::lock_guard lock(mutex_);
    unanswerable_.insert(unanswerable_.end(), behind.begin(), behind.end());
  }

  // What instances saw of uploads: each whole, once at most, and never one that was refused.
  void CheckUploads(const MeshFleet& fleet) {
    const std::lock_guard lock(mutex_);
    std::map<std::string, int> ran;
    for (const auto& machine : fleet.machines()) {
      for (const auto& run : machine->instance->runs()) {
        const auto sent = uploads_.find(run.request_id);
        if (run.target != "/up/1") continue;
        if (sent == uploads_.end()) {
          Violate(run.request_id + " was sent by no client");
        } else if (run.answered_early) {
          ++uploads_answered_early_;
        } else if (run.body_bytes != sent->second.bytes || run.body_hash != sent->second.hash) {
          Violate(run.request_id + " came with another body");
        }
        if (run.ran) ++ran[run.request_id];
      }
    }
    for (const auto& [id, sent] : uploads_) {
      if (ran[id] > 1) Violate(id + " ran " + std::to_string(ran[id]) + " times");
      if (ran[id] > 0 && sent.status == 503) Violate(id + " ran and was refused");
      if (ran[id] == 0 && sent.status == 200) Violate(id + " was served and never ran");
      if (sent.status == 200) ++uploads_served_;
    }
  }

  void CheckMemory(std::size_t peak, int kills) {
    const std::lock_guard lock(mutex_);
    peak_memory_ = peak;
    if (kills > 0) Violate(std::to_string(kills) + " processes were killed for their memory");
  }

  // A request was answered while nothing was at fault that could keep it from an instance: a
  // refusal is a violation.
  void AnsweredInHealth(const std::string& id, const HttpAnswer& answer) {
    const std::lock_guard lock(mutex_);
    ++answers_in_health_;
    if (answer.status == 503 && unexplained_refusals_++ == 0) {
      Violate(id + " was refused (" + answer.body + ") though nothing was at fault");
    }
  }

  // After all has come to rest: how often each purchase ran, and that nothing ran in vain.
  void CheckRuns(const MeshFleet& fleet) {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, status] : purchases_) {
      const int runs = fleet.RunsOf(id);
      if (runs > 1) Violate(id + " ran " + std::to_string(runs) + " times");
      if (status == 503 && runs > 0) Violate(id + " was refused and ran");
      if (status == 200 && runs != 1) Violate(id + " was answered and never ran");
    }
    for (const std::string& id : unanswerable_) {
      if (fleet.RunsOf(id) > 0) Violate(id + " ran behind an answer that broke off");
    }
  }

  std::string Summary() {
    const std::lock_guard lock(mutex_);
    std::string text;
    for (const auto& [status, count] : by_status_) {
      text += std::to_string(status) + ": " + std::to_string(count) + "  ";
    }
    for (const auto& [cause, count] : refusals_) {
      text += "(" + cause + ": " + std::to_string(count) + ")  ";
    }
    text += "crashes: " + std::to_string(crashes_) +
            "  most of a tenant in 5 s: " + std::to_string(busiest_.runs) + " of " +
            std::to_string(kBound) + ", from " +
            std::to_string(ToUnixMilliseconds(busiest_.begin)) +
            " on  refused though all was well: " + std::to_string(unexplained_refusals_) + " of " +
            std::to_string(answers_in_health_);
    text += "  peak memory: " + std::to_string(peak_memory_ / 1'000'000) + " MB";
    if (!uploads_.empty()) {
      text += "  uploads served: " + std::to_string(uploads_served_) + " of " +
              std::to_string(uploads_.size()) + " (" + std::to_string(uploads_answered_early_) +
              " answered early)  downloads:";
      for (const auto& [status, count] : downloads_) {
        text += " " + std::to_string(status) + "x" + std::to_string(count);
      }
    }
    if (!unanswerable_.empty()) {
      text += "  behind broken answers: " + std::to_string(unanswerable_.size());
    }
    if (drains_checked_ > 0) text += "  drains checked: " + std::to_string(drains_checked_);
    for (const std::string& violation : violations_) text += "\n" + violation;
    return text;
  }

  bool sound() {
    const std::lock_guard lock(mutex_);
    return violations_.empty();
  }

 private:
  void Count(int status, const std::string& body) {
    ++by_status_[status];
    if (status == 503) ++refusals_[body.substr(0, body.find('\n'))];
  }

  void CheckAnswer(const std::string& id, const HttpAnswer& answer) {
    if (!answer.whole) return;
    static const std::set<int> allowed = {200, 500, 502, 503, 504};
    if (allowed.count(answer.status) == 0) {
      Violate(id + " got " + std::to_string(answer.status));
    }
    if (answer.status != 200) return;
    if (answer.body != "answer to " + id) Violate(id + " got \"" + answer.body + "\"");
    if (answer.Header("x-response-seal").empty()) Violate(id + " got an unsigned success");
  }

  std::mutex mutex_;
  std::map<int, int> by_status_;         // Guarded by mutex_, as all below.
  std::map<std::string, int> refusals_;  // Answers 503, by cause.
  struct Upload {
    std::size_t bytes = 0;
    std::size_t hash = 0;
    int status = 0;  // 0 for no whole answer.
  };
  std::map<std::string, Upload> uploads_;
  std::map<int, int> downloads_;           // Whole answers by status.
  std::vector<std::string> unanswerable_;  // Requests behind answers that broke off.
  int uploads_served_ = 0;
  int uploads_answered_early_ = 0;
  std::size_t peak_memory_ = 0;
  std::map<std::string, int> purchases_;  // Status of each; 0 for no whole answer.
  std::map<std::pair<std::size_t, int>, std::uint64_t> served_version_;
  std::set<std::string> violations_;
  std::size_t crashes_ = 0;
  BusiestWindow busiest_;
  int answers_in_health_ = 0;
  int unexplained_refusals_ = 0;
  int drains_checked_ = 0;
};

}  // namespace copperlead::standin
