// Repeated attempts: which requests may be repeated, which upstream a failure
// is attributed to, and which streams have stalled.

#include "routing/testing/request_router_fixture.h"

namespace monsoonreel {
namespace {

// ------------------------------------------------------- what may be repeated

TEST_F(request_router_test,
       Once_ConnectionBroken_IsNeitherRepeatedNorCalledNotRun) {
  arrive("/once/x");
  fail(attempt(), attempt_failure::Broken);
  EXPECT_TRUE(none<route_dispatch>());
  EXPECT_EQ(one<route_refusal>().Status, 502);
}

TEST_F(request_router_test, Once_NeverSent_GoesToAnotherUpstream) {
  arrive("/once/x");
  upstream_name First = one<route_dispatch>().Upstream;
  fail(attempt(), attempt_failure::NeverSent);
  EXPECT_NE(one<route_dispatch>().Upstream, First);
}

TEST_F(request_router_test, Once_NoUpstreamReached_IsRefusedAsNotRun) {
  arrive("/once/x");
  for (int I = 0; I < 2; ++I)
    fail(attempt(), attempt_failure::NeverSent);
  fail(attempt(), attempt_failure::NeverSent);
  auto Refusal = one<route_refusal>();
  EXPECT_EQ(Refusal.Status, 503);
  EXPECT_EQ(Refusal.Outcome, execution_outcome::NotRun);
  EXPECT_GT(Refusal.RetryAfter, duration::zero());
}

TEST_F(request_router_test,
       Once_UpstreamSaysNotRun_IsRefusedWithinItsAttempts) {
  arrive("/once/x");
  head(attempt(), 503, true);
  EXPECT_EQ(one<route_refusal>().Status, 503);
  EXPECT_EQ(all<route_cancel>().size(), 1u);
}

TEST_F(request_router_test, Once_UpstreamFails_ItsAnswerIsPassedOn) {
  arrive("/once/x");
  attempt_number Attempt = attempt();
  head(Attempt, 500);
  data(Attempt, "failure");
  end(Attempt);
  EXPECT_EQ(one<route_answer>().Body, "failure");
}

TEST_F(request_router_test, Safe_ConnectionBroken_IsSentElsewhere) {
  arrive("/safe/x");
  upstream_name First = one<route_dispatch>().Upstream;
  fail(attempt(), attempt_failure::Broken);
  EXPECT_NE(one<route_dispatch>().Upstream, First);
}

TEST_F(request_router_test, Safe_FailsTwice_EndsAfterItsAttempts) {
  arrive("/safe/x");
  fail(attempt(), attempt_failure::Broken);
  fail(attempt(), attempt_failure::Broken);
  EXPECT_TRUE(none<route_dispatch>());
  EXPECT_EQ(one<route_refusal>().Status, 502);
}

TEST_F(request_router_test, Safe_UpstreamFails_SecondAnswerIsPassedOn) {
  arrive("/safe/x");
  attempt_number First = attempt();
  head(First, 500);
  data(First, "failure");
  end(First);
  attempt_number Second = attempt();
  head(Second, 200);
  data(Second, "good");
  end(Second);
  EXPECT_EQ(one<route_answer>().Body, "good");
  EXPECT_EQ(counted(), 1); // counted once, although two attempts ran
}

TEST_F(request_router_test, Safe_SecondUpstreamIsLost_FirstFailureIsPassedOn) {
  arrive("/safe/x");
  attempt_number First = attempt();
  head(First, 500);
  data(First, "failure");
  end(First);
  fail(attempt(), attempt_failure::Broken);
  EXPECT_EQ(one<route_answer>().Body, "failure");
  EXPECT_EQ(one<route_answer>().Attempt, First);
}

TEST_F(request_router_test, Safe_AnswerTruncated_PartIsNeverPassedOn) {
  arrive("/safe/x");
  attempt_number First = attempt();
  head(First, 200);
  data(First, "par");
  fail(First, attempt_failure::Truncated);
  attempt_number Second = attempt();
  head(Second, 200);
  data(Second, "whole");
  end(Second);
  EXPECT_EQ(one<route_answer>().Body, "whole");
}

TEST_F(request_router_test, Stream_BrokenMidway_IsAborted) {
  arrive("/stream/x");
  attempt_number Attempt = attempt();
  head(Attempt, 200, false, true);
  data(Attempt, "id: 1\n\n");
  fail(Attempt, attempt_failure::Truncated);
  EXPECT_TRUE(none<route_dispatch>());
  EXPECT_EQ(all<route_abort>().size(), 1u);
}

TEST_F(request_router_test,
       ResumableStream_BrokenMidway_ResumesAfterItsLastEvent) {
  arrive("/resume/x");
  attempt_number First = attempt();
  head(First, 200, false, true);
  data(First, "id: 1\n\nid: 2\n\nid: 3\nda");
  fail(First, attempt_failure::Truncated);
  auto Dispatch = one<route_dispatch>();
  EXPECT_EQ(Dispatch.ResumeAfter, 2);
  head(Dispatch.Attempt, 200, false, true);
  data(Dispatch.Attempt, "id: 3\ndata\n\n");
  EXPECT_EQ(one<route_write>().Data, "id: 3\ndata\n\n");
  EXPECT_TRUE(none<route_begin>()); // the first head is kept
  end(Dispatch.Attempt);
  EXPECT_EQ(all<route_finish>().size(), 1u);
}

TEST_F(request_router_test,
       Stream_OversizedEvent_IsCancelledAndResumedElsewhere) {
  arrive("/resume/x");
  attempt_number First = attempt();
  head(First, 200, false, true);
  data(First, "id: 1\n\n");
  data(First, std::string(max_stream_event_bytes + 1, 'x').c_str());
  EXPECT_EQ(one<route_cancel>().Attempt, First);
  EXPECT_TRUE(none<route_write>());
  EXPECT_EQ(one<route_dispatch>().ResumeAfter, 1);
}

TEST_F(request_router_test, Answer_BodyWithoutEnd_EndsWithItsTime) {
  arrive("/once/x");
  attempt_number Attempt = attempt();
  head(Attempt, 200);
  data(Attempt, std::string(max_buffered_answer_bytes + 1, 'x').c_str());
  for (duration Time = 100ms; Time < 1500ms; Time += 100ms) {
    tick(Time);
    EXPECT_TRUE(none<route_abort>());
    data(Attempt, "x");
  }
  tick(1500ms);
  EXPECT_EQ(one<route_cancel>().Attempt, Attempt);
  EXPECT_EQ(all<route_abort>().size(), 1u); // the answer must not look complete
}

TEST_F(request_router_test, ResumableStream_NextAnswersAnError_IsNotPassedOn) {
  for (bool EventStream : {false, true}) {
    arrive("/resume/x");
    attempt_number First = attempt();
    head(First, 200, false, true);
    data(First, "id: 1\ndata: a\n\n");
    fail(First, attempt_failure::Broken);
    attempt_number Second = attempt();
    head(Second, 500, false, EventStream);
    EXPECT_TRUE(none<route_write>());
    EXPECT_EQ(one<route_cancel>().Attempt, Second);
    attempt_number Third = attempt();
    // Bytes of the second answer that are on their way.
    data(Second, "data: failed\n\n");
    EXPECT_TRUE(Effects.empty());
    head(Third, 200, false, true);
    data(Third, "event: error\ndata: failed\n\n");
    EXPECT_TRUE(none<route_write>());
    EXPECT_EQ(all<route_abort>().size(), 1u);
    EXPECT_TRUE(none<route_finish>());
  }
}

TEST_F(request_router_test, ResumableStream_NextRunLeavesAGap_IsNotPassedOn) {
  arrive("/resume/x");
  attempt_number First = attempt();
  head(First, 200, false, true);
  data(First, "id: 1\n\n");
  fail(First, attempt_failure::Truncated);
  attempt_number Second = attempt();
  head(Second, 200, false, true);
  data(Second, "id: 3\n\n");
  EXPECT_TRUE(none<route_write>());
  EXPECT_EQ(one<route_cancel>().Attempt, Second);
}

TEST_F(request_router_test, Upstream_HasAnotherOwner_RequestGoesElsewhere) {
  arrive("/safe/x");
  upstream_name First = one<route_dispatch>().Upstream;
  head(attempt(), 421);
  EXPECT_NE(one<route_dispatch>().Upstream, First);
  EXPECT_TRUE(FailureTracker.isPaused(First, zone_name("z"), at(1ms)));
}

TEST_F(request_router_test, ResendBudget_IsUsedUp_RequestIsNotRepeated) {
  while (Budget.tryResend(pool_name("app"), at(0ms))) {
  }
  arrive("/safe/x");
  fail(attempt(), attempt_failure::Broken);
  EXPECT_TRUE(none<route_dispatch>());
}

// ------------------------------------------------------------- attribution

TEST_F(request_router_test, Safe_FailsAtEveryUpstream_NoneIsBlamed) {
  arrive("/safe/x");
  auto First = one<route_dispatch>();
  head(First.Attempt, 500);
  end(First.Attempt);
  auto Second = one<route_dispatch>();
  head(Second.Attempt, 500);
  end(Second.Attempt);
  EXPECT_EQ(all<route_answer>().size(), 1u) << "the upstream's own failure";
  EXPECT_EQ(FailureTracker.failureShare(First.Upstream, at(Now)), 0);
  EXPECT_EQ(FailureTracker.failureShare(Second.Upstream, at(Now)), 0);
}

TEST_F(request_router_test, Safe_AnotherUpstreamAnswers_FirstIsBlamed) {
  arrive("/safe/x");
  auto First = one<route_dispatch>();
  head(First.Attempt, 500);
  end(First.Attempt);
  auto Second = one<route_dispatch>();
  head(Second.Attempt, 200);
  end(Second.Attempt);
  EXPECT_GT(FailureTracker.failureShare(First.Upstream, at(Now)), 0);
  EXPECT_EQ(FailureTracker.failureShare(Second.Upstream, at(Now)), 0);
}

TEST_F(request_router_test, Safe_NoBudgetForASecondTry_UpstreamIsBlamed) {
  arrive("/safe/x");
  auto First = one<route_dispatch>();
  while (Budget.tryResend(pool_name("app"), at(Now))) {
  }
  head(First.Attempt, 500);
  end(First.Attempt);
  EXPECT_GT(FailureTracker.failureShare(First.Upstream, at(Now)), 0);
}

TEST_F(request_router_test, Once_Fails_UpstreamIsBlamed) {
  arrive("/once/x");
  auto First = one<route_dispatch>();
  head(First.Attempt, 500);
  EXPECT_GT(FailureTracker.failureShare(First.Upstream, at(Now)), 0);
}

// ------------------------------------------------------------------ stalls

TEST_F(request_router_test,
       ResumableStream_BytesWithoutEvents_IsResumedElsewhere) {
  arrive("/resume/x");
  auto First = one<route_dispatch>();
  head(First.Attempt, 200, false, true);
  data(First.Attempt, "id: 1\ndata: a\n\n");
  for (int I = 1; I <= 10; ++I) {
    Now = I * 100ms;
    data(First.Attempt, ":");
  }
  tick(1050ms);
  EXPECT_EQ(one<route_cancel>().Attempt, First.Attempt);
  auto Next = one<route_dispatch>();
  EXPECT_NE(Next.Upstream, First.Upstream);
  EXPECT_EQ(Next.ResumeAfter, 1);
}

TEST_F(request_router_test, ResumableStream_SlowButSound_IsNotCut) {
  arrive("/resume/x");
  attempt_number First = attempt();
  head(First, 200, false, true);
  for (int I = 1; I <= 2; ++I) {
    Now = I * 700ms;
    std::string Event = "id: " + std::to_string(I) + "\ndata: a\n\n";
    data(First, Event.c_str());
    tick(Now);
    EXPECT_TRUE(none<route_cancel>());
  }
}

TEST_F(request_router_test, StreamThatMayNotBeRepeated_Silent_StaysWhereItIs) {
  arrive("/stream/x");
  head(attempt(), 200, false, true);
  tick(1400ms);
  EXPECT_TRUE(none<route_cancel>());
  tick(1500ms);
  EXPECT_EQ(all<route_cancel>().size(), 1u) << "at the route's timeout";
}

TEST_F(request_router_test,
       ResumableStream_StalledAndNoBudget_IsLeftToRecover) {
  arrive("/resume/x");
  Now = 1100ms;
  while (Budget.tryResend(pool_name("app"), at(Now))) {
  }
  tick(1100ms);
  EXPECT_TRUE(none<route_cancel>());
  EXPECT_EQ(Router.open(), 1u);
}

} // namespace
} // namespace monsoonreel
