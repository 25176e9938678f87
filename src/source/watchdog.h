// Calls functions at their deadlines unless they are disarmed first. One thread for all.
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

  // Has `alarm` called at `deadline` on the watchdog's thread. Any thread.
  // @return the number to disarm it with.
  std::uint64_t Arm(Timestamp deadline, Alarm alarm);
  // Once this returns the alarm is neither running nor will it be called. Any thread but the
  // watchdog's.
  void Disarm(std::uint64_t number);

 private:
  struct Entry {
    Timestamp deadline{};
    Alarm alarm;
  };

  void Run();
  Timestamp NextDeadline() const;
  void CallDue();

  std::mutex mutex_;  // Guards all below; held while an alarm runs.
  std::condition_variable changed_;
  std::map<std::uint64_t, Entry> entries_;
  std::uint64_t last_number_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace copperlead
