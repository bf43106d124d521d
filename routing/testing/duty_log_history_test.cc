// The log's history is deleted while entries hold the lease or wait for it.

#include "routing/testing/duty_log_fixture.h"

namespace monsoonreel {
namespace {

class duty_log_history_test : public duty_log_test {
protected:
  // Lets B take the lease over from A, which the store turns away.
  void takeOver() {
    run(A, 0ms);
    while (!B.mayAct(at(Now)) && Now < 12s)
      run(B, Now += 20ms);
    ASSERT_TRUE(B.mayAct(at(Now)));
  }

  duration Now{};
};

// Guards against a former holder that renews its old claim because the claim of
// its successor was deleted (review/11).
TEST_F(duty_log_history_test,
       FormerHolder_SuccessorsClaimDeleted_HasHigherFence) {
  takeOver();
  int64_t Former = A.fence();
  B.release();
  run(B, Now += 20ms);
  ASSERT_TRUE(B.isReleased());
  Store.forget();
  duration Served = Now;
  while (!A.mayAct(at(Now)) && Now < Served + 15s)
    run(A, Now += 20ms);
  ASSERT_TRUE(A.mayAct(at(Now)));
  EXPECT_GT(A.fence(), B.fence());
  EXPECT_GT(A.fence(), Former);
}

// The successor's lease is valid, but its claim was deleted.
TEST_F(duty_log_history_test,
       FormerHolder_SuccessorsClaimDeleted_LeaseIsHonoured) {
  takeOver();
  Store.forget();
  duration Deleted = Now;
  for (; Now < Deleted + Terms.Duration; Now += 20ms) {
    run(A, Now);
    ASSERT_FALSE(A.mayAct(at(Now))) << Now / 1ms;
  }
}

// Nobody else can have claimed while the lease was valid.
TEST_F(duty_log_history_test, Holder_HistoryDeletedDuringItsLease_GoesOnSoon) {
  run(A, 0ms);
  int64_t Former = A.fence();
  // The answer to a renewal is lost, so the log has to be read.
  routing_effects Effects;
  A.onTick(at(1600ms), 0, Effects);
  const auto &Renewal = std::get<append_duty>(Effects.at(0));
  Store.append(Renewal);
  Store.forget();
  appended(A, {Renewal.Call, append_outcome::Unknown, 0, 0}, 1700ms);
  for (Now = 1700ms; Now < 3700ms; Now += 20ms)
    run(A, Now);
  EXPECT_TRUE(A.mayAct(at(Now)));
  EXPECT_GT(A.fence(), Former);
}

// An entry that has just started knows no claim, and the log has none any more.
TEST_F(duty_log_history_test, Candidate_StartsBehindADeletedClaim_Waits) {
  run(A, 0ms);
  Store.forget();
  for (; Now < Terms.Duration; Now += 20ms) {
    run(B, Now);
    ASSERT_FALSE(B.mayAct(at(Now))) << Now / 1ms;
  }
}

// Old records are deleted all the time. That must not delay a takeover, because
// a report is due after ten seconds.
TEST_F(duty_log_history_test, Candidate_OnlyOldRecordsDeleted_TakesOverInTime) {
  for (; Now < 30s; Now += 100ms) {
    run(A, Now);
    B.onPeerClaim(A.claim(), at(Now));
  }
  Store.forgetBefore(A.claim().At.Offset);
  duration Failed = Now;
  while (!B.mayAct(at(Now)) && Now < Failed + 15s)
    run(B, Now += 20ms);
  EXPECT_LE(Now - Failed, 9s);
  EXPECT_GT(B.fence(), A.fence());
}

// Guards against a holder that ignored what its successor told it.
TEST_F(duty_log_history_test, FormerHolder_HearsOfALaterClaim_GivesUpItsOwn) {
  takeOver();
  ASSERT_TRUE(A.isMine());
  A.onPeerClaim(B.claim(), at(Now));
  EXPECT_FALSE(A.isMine());
  EXPECT_EQ(A.holder(), "b");
}

} // namespace
} // namespace monsoonreel
