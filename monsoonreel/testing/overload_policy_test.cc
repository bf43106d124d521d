// The queues under overload: the order of late and resumed requests, and when a
// request is refused.

#include <gtest/gtest.h>

#include "monsoonreel/admission.h"
#include "monsoonreel/admitted_share.h"
#include "monsoonreel/request_queue.h"

namespace monsoonreel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class fair_queue_test : public ::testing::Test {
protected:
  // Number identifies the request.
  waiting_request makeWaiting(int64_t Number, const char *Organisation) const {
    waiting_request Request;
    Request.Key = {node_name("asker"), 1, Number};
    Request.Class = class_name("draft");
    Request.Tier = tier{1};
    Request.Organisation = organisation_name(Organisation);
    Request.Target = Now + seconds(5);
    Request.LatestGrant = Now + seconds(4);
    Request.WaitDeadline = Now + seconds(20);
    Request.ExpectedHold = seconds(2);
    return Request;
  }
  int64_t takeNext() {
    auto Any = [](const waiting_request &) { return true; };
    std::optional<waiting_request> Next = Queue->take(Any, Now);
    return Next ? Next->Key.Ask : 0;
  }
  int64_t shedNext() const {
    auto Any = [](const class_name &) { return true; };
    const waiting_request *Next = Queue->shedCandidate(Any);
    return Next ? Next->Key.Ask : 0;
  }

  steady_time Now{std::chrono::hours(1)};
  std::unique_ptr<request_queue> Queue = makeFairQueue();
};

TEST_F(fair_queue_test, Waiting_FirstTokenWouldBeLate_GoesAfterThoseOnTime) {
  waiting_request Late = makeWaiting(1, "small");
  Late.Target = Now + milliseconds(100);
  Late.LatestGrant = Now - milliseconds(100);
  Queue->push(Late);
  Queue->push(makeWaiting(2, "small"));
  Queue->push(makeWaiting(3, "large"));
  EXPECT_NE(takeNext(), 1);
  EXPECT_NE(takeNext(), 1);
  EXPECT_EQ(takeNext(), 1);
}

TEST_F(fair_queue_test, Late_SomeResumed_VictimIsFreshAndOfTheClass) {
  for (int64_t Number = 1; Number <= 3; ++Number) {
    waiting_request Late = makeWaiting(Number, "small");
    Late.LatestGrant = Now - milliseconds(100) * Number;
    Late.Resumed = Number == 1;
    Queue->push(Late);
  }
  Queue->push(makeWaiting(4, "small"));
  late_work Late = Queue->lateWork(tier{1}, class_name("draft"), Now);
  EXPECT_EQ(Late.Work, seconds(6));
  ASSERT_NE(Late.Victim, nullptr);
  EXPECT_EQ(Late.Victim->Key.Ask, 2);
  EXPECT_EQ(Queue->lateWork(tier{1}, class_name("chat"), Now).Victim, nullptr);
}

class admission_test : public ::testing::Test {
protected:
  // Ten slots, each held for two seconds, so one is released every 0.2 s.
  static admission_view viewWithWait(int Ahead) {
    admission_view View;
    View.MeanHold = seconds(2);
    View.Slots = 10;
    View.WorkAhead = View.MeanHold * Ahead;
    View.TargetLeft = seconds(3);
    View.WaitDeadlineLeft = seconds(60);
    return View;
  }

  std::unique_ptr<admission_policy> Lenient = makeLenientAdmission();
  std::unique_ptr<admission_policy> Strict = makeTargetAdmission();
  std::unique_ptr<admission_policy> Deadline = makeDeadlineAdmission();
};

TEST_F(admission_test, Lenient_WaitAboutTheTarget_AdmitsWhatStrictRefuses) {
  admission_view View = viewWithWait(17); // 3.6 s
  EXPECT_TRUE(Lenient->judge(View).Admit);
  EXPECT_FALSE(Strict->judge(View).Admit);
}

TEST_F(admission_test, Lenient_WaitFarBeyondTarget_RefusesWithRetryTime) {
  admission_view View = viewWithWait(40); // 8.2 s
  admission_verdict Verdict = Lenient->judge(View);
  EXPECT_FALSE(Verdict.Admit);
  EXPECT_GE(Verdict.RetryAfter, seconds(5));
  EXPECT_TRUE(Deadline->judge(View).Admit);
}

TEST_F(admission_test, Lenient_HigherTiersTakeMost_AllowsForTheirVariance) {
  admission_view View = viewWithWait(8);
  View.HigherDemand = 0.6; // 4.5 s
  EXPECT_TRUE(Lenient->judge(View).Admit);
  View = viewWithWait(22); // 4.6 s
  EXPECT_FALSE(Lenient->judge(View).Admit);
}

TEST_F(admission_test, Lenient_ShareBoundsTheWait_IgnoresHigherTiersVariance) {
  admission_view View = viewWithWait(40);
  View.HigherDemand = 1.2;
  View.ShareGap = milliseconds(500);
  View.ShareWait = View.ShareGap * 20;
  EXPECT_FALSE(Lenient->judge(View).Admit);
  View.ShareWait = View.ShareGap * 4;
  EXPECT_TRUE(Lenient->judge(View).Admit);
}

TEST_F(admission_test, Lenient_OrganisationBelowFairShare_AdmitsLongerWait) {
  admission_view View = viewWithWait(22); // 4.6 s
  EXPECT_FALSE(Lenient->judge(View).Admit);
  View.AdmittedRatio = 0.6;
  EXPECT_TRUE(Lenient->judge(View).Admit);
  View = viewWithWait(17); // 3.6 s
  View.AdmittedRatio = 1.6;
  EXPECT_FALSE(Lenient->judge(View).Admit);
}

class admitted_share_test : public ::testing::Test {
protected:
  void send(const char *Organisation, int Offered, int AdmittedOfThem) {
    organisation_name Name(Organisation);
    for (int I = 0; I < Offered; ++I)
      Share.offer(Class, Name, 1, Now);
    for (int I = 0; I < AdmittedOfThem; ++I)
      Share.admit(Class, Name);
  }
  double ratio(const char *Organisation) const {
    return Share.ratio(Class, organisation_name(Organisation));
  }

  steady_time Now{std::chrono::hours(1)};
  class_name Class{"draft"};
  admitted_share Share;
};

TEST_F(admitted_share_test, OneAdmittedLess_RatioIsLowUntilCountsDecay) {
  send("lucky", 20, 15);
  send("unlucky", 20, 5);
  EXPECT_GT(ratio("lucky"), 1.3);
  EXPECT_LT(ratio("unlucky"), 0.7);
  EXPECT_EQ(ratio("unknown"), 1);
  Now += admitted_memory * 20;
  send("other", 1, 1);
  EXPECT_EQ(ratio("unlucky"), 1);
}

TEST_F(admitted_share_test, OneFloods_OthersRatiosStayBounded) {
  for (const char *Name : {"a", "b", "c", "d"})
    send(Name, 20, 20);
  send("flood", 1000, 20);
  EXPECT_LT(ratio("a"), 1.6);
  EXPECT_GT(ratio("flood"), 0.3);
}

} // namespace
} // namespace monsoonreel
