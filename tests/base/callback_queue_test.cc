#include "base/callback_queue.h"

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>
#include <vector>

namespace copperlead {
namespace {

class CallbackQueueTest : public ::testing::Test {
 protected:
  DeferredCallback<std::string> Record(const std::function<void()>& action = {}) {
    return {queue_, [this, action](const std::string& text) {
              called_.push_back(text);
              if (action) action();
            }};
  }

  std::shared_ptr<CallbackQueue> queue_ = std::make_shared<CallbackQueue>();
  std::vector<std::string> called_;
};

TEST_F(CallbackQueueTest, ACallbackRunsAfterTheCallThatCausedIt) {
  auto first = Record();
  auto second = Record();
  first("first");
  second("second");
  EXPECT_TRUE(called_.empty());
  queue_->RunAll();
  EXPECT_EQ(called_, (std::vector<std::string>{"first", "second"}));
}

TEST_F(CallbackQueueTest, ACallbackRunsOnce) {
  auto callback = Record();
  EXPECT_TRUE(callback);
  callback("once");
  EXPECT_FALSE(callback);
  callback("twice");
  queue_->RunAll();
  EXPECT_EQ(called_, std::vector<std::string>{"once"});
}

// Guards against callbacks that reach somebody who has been cancelled by the callback before.
TEST_F(CallbackQueueTest, ACallbackThatIsCancelledWhileItIsQueuedDoesNotRun) {
  auto second = Record();
  auto first = Record([&] { second.Cancel(); });
  first("first");
  auto copy = second;
  copy("second");
  queue_->RunAll();
  EXPECT_EQ(called_, std::vector<std::string>{"first"});
}

TEST_F(CallbackQueueTest, WhatACallbackQueuesRunsAfterThoseThatAreThere) {
  auto third = Record();
  auto first = Record([&] { third("third"); });
  auto second = Record();
  first("first");
  second("second");
  queue_->RunAll();
  EXPECT_EQ(called_, (std::vector<std::string>{"first", "second", "third"}));
}

TEST_F(CallbackQueueTest, AnExceptionLeavesTheOthersInTheQueue) {
  auto failing = Record([] { throw std::runtime_error("fails"); });
  auto next = Record();
  failing("failing");
  next("next");
  EXPECT_THROW(queue_->RunAll(), std::runtime_error);
  queue_->RunAll();
  EXPECT_EQ(called_, (std::vector<std::string>{"failing", "next"}));
}

}  // namespace
}  // namespace copperlead
