#include "transport/reactor.h"

#include <gtest/gtest.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>

#include <atomic>
#include <thread>

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

}  // namespace
}  // namespace copperlead
