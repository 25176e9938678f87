// Repeats the failures at the end of the output, since a report of a long run often shows only its
// end.
#include <gtest/gtest.h>

#include <iostream>
#include <string>

namespace copperlead::standin {
namespace {

constexpr std::size_t kMaxBytes = 4000;

class FailureSummary : public ::testing::EmptyTestEventListener {
 public:
  void OnTestStart(const ::testing::TestInfo& test) override {
    test_ = std::string(test.test_suite_name()) + "." + test.name();
  }

  void OnTestPartResult(const ::testing::TestPartResult& result) override {
    if (result.failed()) text_ += test_ + ":\n" + result.message() + "\n";
  }

  void OnTestIterationEnd(const ::testing::UnitTest&, int) override {
    if (!text_.empty()) std::cout << "failures:\n" << text_.substr(0, kMaxBytes) << std::endl;
    text_.clear();
  }

 private:
  std::string test_;  // The one that runs.
  std::string text_;
};

[[maybe_unused]] const bool kAdded = [] {
  ::testing::UnitTest::GetInstance()->listeners().Append(new FailureSummary);
  return true;
}();

}  // namespace
}  // namespace copperlead::standin
