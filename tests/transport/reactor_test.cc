#include "transport/reactor.h"

#include <gtest/gtest.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>

#include <algorithm>
#include <atomic>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace copperlead {
namespace {

// Sets a timer to a past time that sets itself again, until `remaining` reaches 0.
void Rearm(Reactor& reactor, Timestamp past, std::atomic<int>& remaining) {
  if (remaining.fetch_sub(1) <= 0) return;
  reactor.RunAt(past, [&, past] { Rearm(reactor, past, remaining); });
}

TEST(ReactorTest, ATaskThatAsksForAPastTimeDoesNotKeepOthersFromTheirTurn) {
  const auto started = Resolve([] { return Reactor::Start(); });
  ASSERT_TRUE(started);
  Reactor& reactor = *started.value();
  std::atomic<int> remaining{2'000'000};
  reactor.RunAndWait([&] { Rearm(reactor, SteadyClock().Now(), remaining); });
  // RunAndWait() has to return while the timer still re-arms itself.
  std::this_thread::sleep_for(Milliseconds(5));
  reactor.RunAndWait([] {});
  EXPECT_GT(remaining, 0);
  remaining = 0;
  reactor.Stop();
}

TEST(ReactorTest, StopDropsWhatTimersAndWatchesOwn) {
  const auto started = Resolve([] { return Reactor::Start(); });
  ASSERT_TRUE(started);
  Reactor& reactor = *started.value();
  const Socket socket(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
  const auto owned = std::make_shared<int>(0);
  reactor.RunAndWait([&] {
    reactor.RunAt(SteadyClock().Now() + std::chrono::hours(1), [owned] {});
    reactor.Watch(socket, EPOLLIN, [owned](std::uint32_t) {});
  });
  EXPECT_EQ(owned.use_count(), 3);
  reactor.Stop();
  EXPECT_EQ(owned.use_count(), 1);
}

TEST(ReactorTest, CallbacksRunBetweenTwoHandlersAndBeforeTheNextWait) {
  const auto started = Resolve([] { return Reactor::Start(); });
  ASSERT_TRUE(started);
  Reactor& reactor = *started.value();
  std::vector<int> order;
  reactor.RunAndWait([&] {
    reactor.callbacks()->Add([&] {
      order.push_back(2);
      reactor.callbacks()->Add([&] { order.push_back(3); });
    });
    reactor.Post([&] { order.push_back(4); });
    order.push_back(1);
  });
  reactor.RunAndWait([] {});
  EXPECT_EQ(order, (std::vector<int>{1, 2, 3, 4}));
  reactor.Stop();
}

// Guards against a process that ends since one handler, task, timer or callback has thrown.
TEST(ReactorTest, AnExceptionIsReportedAndEndsNothingElse) {
  const auto started = Resolve([] { return Reactor::Start(); });
  ASSERT_TRUE(started);
  Reactor& reactor = *started.value();
  std::vector<std::string> reported;
  std::atomic<int> ran{0};
  const auto fail = [](const char* where) { throw std::runtime_error(where); };
  const Socket socket(eventfd(1, EFD_CLOEXEC | EFD_NONBLOCK));
  reactor.RunAndWait([&] {
    reactor.OnException([&](const std::string& cause) { reported.push_back(cause); });
    reactor.callbacks()->Add([&] { fail("callback"); });
    reactor.callbacks()->Add([&] { ++ran; });
    reactor.RunAt(SteadyClock().Now(), [&] { fail("timer"); });
    reactor.RunAt(SteadyClock().Now(), [&] { ++ran; });
    reactor.Watch(socket, EPOLLIN | EPOLLONESHOT, [&](std::uint32_t) { fail("handler"); });
  });
  reactor.Post([&] { fail("task"); });
  while (true) {
    std::size_t count = 0;
    reactor.RunAndWait([&] { count = reported.size(); });
    if (count >= 4) break;
    std::this_thread::sleep_for(Milliseconds(1));
  }
  EXPECT_EQ(ran, 2);
  std::sort(reported.begin(), reported.end());
  EXPECT_EQ(reported, (std::vector<std::string>{"callback", "handler", "task", "timer"}));
  reactor.Stop();
}

}  // namespace
}  // namespace copperlead
