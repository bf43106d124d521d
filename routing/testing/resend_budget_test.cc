#include "routing/resend_budget.h"

#include <deque>

#include <gtest/gtest.h>

#include "routing/testing/test_time.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

class resend_budget_test : public testing::Test {
protected:
  static resend_terms terms() { return {0.2, 56, 10s}; }
  const pool_name Service{"chat"};
};

TEST_F(resend_budget_test, Resends_WithoutRequests_StayWithinTheAllowance) {
  resend_budget Budget(terms());
  int Sent = 0;
  for (int I = 0; I < 10000; ++I)
    Sent += Budget.tryResend(Service, at(I * 1ms)) ? 1 : 0;
  EXPECT_GT(Sent, 20);
  EXPECT_LE(Sent, 56);
}

// The platform limits the resends of all entries together in any window.
TEST_F(resend_budget_test, Resends_OfAllEntriesInAnyWindow_StayWithinTheTerms) {
  constexpr size_t entries = 8;
  std::vector<resend_budget> Budgets(entries, resend_budget(terms()));
  for (resend_budget &Budget : Budgets)
    Budget.setEntries(entries);
  std::deque<duration> Requests;
  std::deque<duration> Resends;
  for (duration Now = 0ms; Now < 60s; Now += 10ms) {
    for (resend_budget &Budget : Budgets) {
      if (Now / 1s % 20 < 10) { // requests pause now and then
        Budget.onRequest(Service, at(Now));
        Requests.push_back(Now);
      }
      while (Budget.tryResend(Service, at(Now)))
        Resends.push_back(Now);
    }
    for (auto *Seen : {&Requests, &Resends})
      while (!Seen->empty() && Seen->front() <= Now - 10s)
        Seen->pop_front();
    double Allowed = 0.2 * static_cast<double>(Requests.size()) + 56;
    ASSERT_LE(static_cast<double>(Resends.size()), Allowed) << Now / 1ms;
  }
}

TEST_F(resend_budget_test, Services_EachHaveTheirOwn) {
  resend_budget Budget(terms());
  while (Budget.tryResend(Service, at(0ms))) {
  }
  EXPECT_TRUE(Budget.tryResend(pool_name("other"), at(0ms)));
}

} // namespace
} // namespace monsoonreel
