// Calls functions at their deadlines unless they are disarmed first. All of them are called on one
// thread.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "base/time.h"

namespace copperlead {

class Watchdog {
 public:
  using Alarm = std::function<void()>;

  Watchdog();
  ~Watchdog();
  Watchdog(const Watchdog&) = delete;
  Watchdog& operator=(const Watchdog&) = delete;

  // Schedules a call of `alarm` at `deadline` on the watchdog's thread. May be called on any
  // thread.
  // @return the number that Disarm() takes.
  std::uint64_t Arm(Timestamp deadline, Alarm alarm);
  // Once this returns, the alarm is not running and will not be called. May be called on any thread
  // except the watchdog's own.
  void Disarm(std::uint64_t number);

 private:
  struct Entry {
    Timestamp deadline{};
    Alarm alarm;
  };

  void Run();
  Timestamp NextDeadline() const;
  void CallDueAlarms();

  std::mutex mutex_;  // Guards the members below; held while an alarm runs.
  std::condition_variable changed_;
  std::map<std::uint64_t, Entry> entries_;
  std::uint64_t last_number_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace copperlead
