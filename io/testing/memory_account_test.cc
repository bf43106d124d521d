#include "io/memory_account.h"

#include <vector>

#include <gtest/gtest.h>

#include "io/testing/wait.h"

namespace monsoonreel {
namespace {

constexpr int64_t kilobyte = 1 << 10;

class holder : public memory_holder {
public:
  explicit holder(memory_account &Target) : Account(Target) {}
  bool isShedFirst() const override { return First; }
  steady_time lastProgress() const override { return Progress; }
  void shed(int64_t /*Total*/) override {
    Shed = true;
    Account.update(this, 0);
  }

  memory_account &Account;
  bool First = true;
  steady_time Progress;
  bool Shed = false;
};

class memory_account_test : public testing::Test {
protected:
  memory_account Account{{.HeldBytes = 300 * kilobyte}};
  holder A{Account};
  holder B{Account};
  holder C{Account};
};

// Guards against a process that closes more connections than it has to, or
// others than the ones that hold most.
TEST_F(memory_account_test, Total_AboveLimit_TheLargestIsShed) {
  Account.update(&A, 90 * kilobyte);
  Account.update(&B, 110 * kilobyte);
  Account.update(&C, 101 * kilobyte);
  EXPECT_FALSE(B.Shed); // not from within an update
  EXPECT_TRUE(waitUntil([&] { return B.Shed; }));
  EXPECT_FALSE(A.Shed || C.Shed);
  EXPECT_EQ(Account.held(), 191 * kilobyte);
}

// Guards against a busy caller that is closed in place of one that stands
// still.
TEST_F(memory_account_test,
       Total_EqualFigures_TheLongestWithoutProgressIsShed) {
  A.Progress += std::chrono::seconds(2);
  C.Progress += std::chrono::seconds(1);
  for (holder *Holder : {&A, &B, &C})
    Account.update(Holder, 101 * kilobyte);
  Account.enforce();
  EXPECT_TRUE(B.Shed);
  EXPECT_FALSE(A.Shed || C.Shed);
}

// Guards against requests that have been handed on and end without an answer
// while others could have been refused.
TEST_F(memory_account_test, Total_LargestIsBeingAnswered_OthersAreShedBefore) {
  B.First = false;
  Account.update(&A, 50 * kilobyte);
  Account.update(&B, 251 * kilobyte);
  Account.enforce();
  EXPECT_TRUE(A.Shed);
  EXPECT_FALSE(B.Shed);
}

// Guards against ordinary callers that pay for others, and against one
// permitted request that could never be served.
TEST_F(memory_account_test, Total_OneLargeAndSmallOnes_NobodyIsShed) {
  Account.update(&A, 400 * kilobyte);
  Account.update(&B, 31 * kilobyte);
  Account.enforce();
  EXPECT_FALSE(A.Shed || B.Shed);
}

// Guards against many connections whose small figures exceed the limit.
TEST_F(memory_account_test, Connections_ManySmall_TotalStaysWithinLimit) {
  std::vector<std::unique_ptr<holder>> Many;
  for (int I = 0; I < 20; ++I) {
    Many.push_back(std::make_unique<holder>(Account));
    Account.update(Many.back().get(), 20 * kilobyte);
  }
  Account.enforce();
  EXPECT_LE(Account.held(), 300 * kilobyte);
  EXPECT_GE(Account.held(), 280 * kilobyte);
}

} // namespace
} // namespace monsoonreel
