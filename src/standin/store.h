// The platform's metadata store: keys with revisions, listed and watched over HTTP, with the
// troubles that it may have, for all callers or for those of one listener only.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace httplib {
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace copperlead::standin {

// How the store answers the callers of a listener.
enum class StoreTrouble {
  kNone,
  kBusy,    // 503: nothing was done.
  kMany,    // 429.
  kReset,   // Connections end without an answer.
  kSilent,  // No answer while the trouble lasts; then the connection ends.
  kSlow,    // Each answer waits for `wait`.
  kGarbled  // 200 with a body that is cut short.
};

struct StoreFault {
  StoreTrouble trouble = StoreTrouble::kNone;
  std::chrono::milliseconds wait{0};
  std::uint64_t times = UINT64_MAX;  // Calls that it applies to.
};

// Thread-safe.
class Store {
 public:
  // Adds the read calls to `server`, as those of listener number `listener`.
  void AddHandlers(httplib::Server& server, std::size_t listener);
  // Adds PUT and DELETE /control/key, POST /control/fault, /control/compact and GET
  // /control/counters to `server`.
  void AddControlHandlers(httplib::Server& server);

  // @return the revision of the change.
  std::uint64_t Put(const std::string& key, const std::string& value);
  // Another writer's item. @param fields  JSON object of what stands in the item in place of the
  // usual; null takes a field away
  std::uint64_t PutForeign(const std::string& key, const std::string& fields);
  std::uint64_t Remove(const std::string& key);
  void SetFault(std::size_t listener, const StoreFault& fault);
  // Forgets the history: watches from earlier revisions get 410, those that wait are cut.
  void Compact();
  // Restores the contents of `age` ago, or the oldest backup that is kept. Later changes are lost
  // and their revisions are reused, watches that wait are cut, those from a lost revision get 410,
  // and answers carry the next epoch.
  void Restore(std::chrono::milliseconds age);
  // Entries a page of a listing holds at most.
  void SetPageSize(std::size_t entries);
  // Ends waits, for shutdown.
  void Stop();

  // Calls that the listener's fault may still apply to.
  std::uint64_t fault_times(std::size_t listener) const;
  // Calls that came, whatever their answer.
  std::uint64_t calls(std::size_t listener) const;

 private:
  struct Item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created_at = 0;
    bool gone = false;
    std::string foreign_fields{};  // JSON; empty: the item is as usual.
  };

  // The contents before a change.
  struct Backup {
    std::chrono::steady_clock::time_point replaced_at;
    std::map<std::string, Item> items;
    std::uint64_t revision = 0;
  };

  // Applies the listener's fault. @return false when the request needs no further answer.
  bool PassFault(std::size_t listener, const httplib::Request& request,
                 httplib::Response& response);
  void Range(const httplib::Request& request, httplib::Response& response);
  void Key(const httplib::Request& request, httplib::Response& response);
  void Watch(std::size_t listener, const httplib::Request& request, httplib::Response& response);
  std::uint64_t Write(const std::string& key, const std::string& value,
                      const std::string& foreign_fields);
  void Record(const Item& item);
  std::string EventsText(const std::string& prefix, std::uint64_t after) const;
  bool HasEvent(const std::string& prefix, std::uint64_t after) const;
  // @return true when changes after this revision are no longer available.
  bool IsHistoryLost(std::uint64_t after) const { return after < forgotten_ || after > revision_; }
  void KeepBackup();
  // Requires mutex_ to be held.
  void AddEpochHeader(httplib::Response& response) const;
  StoreFault FaultOf(std::size_t listener) const;
  // Takes one of the fault's `times`. @return the fault; none if no time is left
  StoreFault TakeFault(std::size_t listener);

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;  // Guarded by mutex_, as all below.
  std::deque<Item> history_;           // Changes since `forgotten_`.
  std::uint64_t revision_ = 0;
  std::uint64_t forgotten_ = 0;     // History up to this revision is gone.
  std::uint64_t watch_resets_ = 0;  // Number of times that all waiting watches were cut.
  std::uint64_t epoch_ = 1;
  std::deque<Backup> backups_;  // Oldest first.
  std::size_t page_size_ = 500;
  std::map<std::size_t, StoreFault> faults_;
  std::map<std::size_t, std::uint64_t> fault_numbers_;
  std::map<std::size_t, std::uint64_t> calls_;
  bool stopped_ = false;
};

}  // namespace copperlead::standin
