#include "routing/testing/request_router_fixture.h"

namespace monsoonreel {
namespace {

// ---------------------------------------------------------------- admission

TEST_F(request_router_test, Configuration_Unknown_IsRefusedWithRetryTime) {
  route_request Arrived;
  Arrived.Request = request_id{1};
  Router.onArrival(Arrived, nullptr, context(), Effects);
  auto Refusal = one<route_refusal>();
  EXPECT_EQ(Refusal.Status, 503);
  EXPECT_GT(Refusal.RetryAfter, duration::zero());
  EXPECT_EQ(Router.open(), 0u);
}

TEST_F(request_router_test, Route_Unknown_Is404) {
  arrive("/nowhere/x");
  EXPECT_EQ(one<route_refusal>().Status, 404);
}

TEST_F(request_router_test, Key_MissingOrUnknown_Is401) {
  arrive("/once/x", nullptr);
  EXPECT_EQ(one<route_refusal>().Status, 401);
  arrive("/once/x", "bad");
  EXPECT_EQ(one<route_refusal>().Status, 401);
}

TEST_F(request_router_test, Route_Public_NeedsNoKey) {
  arrive("/open/x", nullptr);
  EXPECT_TRUE(one<route_dispatch>().Organisation.empty());
}

TEST_F(request_router_test, Key_Held_NamesItsOrganisation) {
  arrive("/once/x");
  EXPECT_EQ(one<route_dispatch>().Organisation.Value, "kitchen");
}

TEST_F(request_router_test, TimeLeft_IsTheShorterOfDeadlineAndTimeout) {
  arrive("/once/x", "good", 700ms);
  EXPECT_EQ(one<route_dispatch>().TimeLeft, 700ms);
  arrive("/once/x", "good", 60s);
  EXPECT_EQ(one<route_dispatch>().TimeLeft, 1500ms);
}

// Guards against bookings that run and are not answered because the process
// ends: the caller would not know whether they were made.
TEST_F(request_router_test, Drain_RequestMayOutliveTheProcess_IsNotSent) {
  Router.drain(at(2s), at(4s));
  Now = 1s;
  arrive("/once/x", "good", 1500ms);
  EXPECT_EQ(all<route_dispatch>().size(), 1u);
  Now = 3s;
  arrive("/once/x", "good", 900ms);
  EXPECT_EQ(all<route_dispatch>().size(), 1u);
  arrive("/once/x", "good", 1100ms);
  EXPECT_EQ(one<route_refusal>().Status, 503);
  EXPECT_EQ(one<route_refusal>().Outcome, execution_outcome::NotRun);
  EXPECT_GT(one<route_refusal>().RetryAfter, 0ms);
  arrive("/stream/x", "good", 1100ms);
  EXPECT_EQ(one<route_refusal>().Status, 503);
  arrive("/safe/x", "good", 1100ms);
  EXPECT_EQ(one<route_dispatch>().TimeLeft, 1s);
}

TEST_F(request_router_test, Drain_Ends_OpenRequestsAreAnswered) {
  Now = 1s;
  arrive("/once/x", "good", 1500ms);
  Router.drain(at(1s), at(2s));
  tick(1990ms);
  EXPECT_TRUE(none<route_refusal>());
  tick(2s);
  EXPECT_EQ(one<route_refusal>().Status, 504);
  EXPECT_EQ(one<route_refusal>().Outcome, execution_outcome::Unknown);
}

TEST_F(request_router_test, Connections_AreSharedAmongEntries) {
  arrive("/once/x");
  EXPECT_EQ(one<route_dispatch>().MaxConnections, 10);
}

// ------------------------------------------------------------------ answers

TEST_F(request_router_test, Answer_Complete_IsPassedOnWhole) {
  arrive("/once/x");
  attempt_number Attempt = attempt();
  head(Attempt, 200);
  data(Attempt, "he");
  EXPECT_TRUE(none<route_write>()); // buffered until it is complete
  data(Attempt, "llo");
  end(Attempt);
  EXPECT_EQ(one<route_answer>().Body, "hello");
  EXPECT_EQ(Router.open(), 0u);
  EXPECT_EQ(counted(), 1);
}

TEST_F(request_router_test, Answer_Large_IsPassedOnAsItComes) {
  arrive("/safe/x");
  attempt_number Attempt = attempt();
  head(Attempt, 200);
  data(Attempt, std::string(max_buffered_answer_bytes + 1, 'x').c_str());
  EXPECT_EQ(all<route_begin>().size(), 1u);
  fail(Attempt, attempt_failure::Truncated);
  // A part was passed on, so the answer can only be aborted.
  EXPECT_EQ(all<route_abort>().size(), 1u);
}

TEST_F(request_router_test, Stream_Events_ArePassedOnAsTheyCome) {
  arrive("/stream/x");
  attempt_number Attempt = attempt();
  head(Attempt, 200, false, true);
  EXPECT_TRUE(none<route_begin>());
  data(Attempt, "id: 1\n\nid: 2\nda");
  EXPECT_EQ(all<route_begin>().size(), 1u);
  EXPECT_EQ(one<route_write>().Data, "id: 1\n\n");
  data(Attempt, "ta\n\n");
  EXPECT_EQ(one<route_write>().Data, "id: 2\ndata\n\n");
  end(Attempt);
  EXPECT_EQ(all<route_finish>().size(), 1u);
}

TEST_F(request_router_test, Stream_FirstEvent_CountsForUsage) {
  arrive("/stream/x");
  attempt_number Attempt = attempt();
  head(Attempt, 200, false, true);
  EXPECT_EQ(counted(), 0);
  data(Attempt, "id: 1\n\n");
  EXPECT_EQ(counted(), 1);
}

// The connection may have ended with the upstream's process.
TEST_F(request_router_test, Stream_WithoutLengthEndsEmpty_IsNotComplete) {
  arrive("/stream/x");
  attempt_number Attempt = attempt();
  answer_head Head;
  Head.Attempt = Attempt;
  Head.Status = 200;
  Head.EventStream = Head.EndsWithConnection = true;
  Router.onHead(Head, context(), Effects);
  end(Attempt);
  EXPECT_TRUE(none<route_begin>());
  EXPECT_EQ(one<route_refusal>().Status, 502);
}

TEST_F(request_router_test, Stream_WithoutLengthEndsAfterAnEvent_IsComplete) {
  arrive("/stream/x");
  attempt_number Attempt = attempt();
  answer_head Head;
  Head.Attempt = Attempt;
  Head.Status = 200;
  Head.EventStream = Head.EndsWithConnection = true;
  Router.onHead(Head, context(), Effects);
  data(Attempt, "id: 1\ndata: a\n\n");
  end(Attempt);
  EXPECT_EQ(all<route_finish>().size(), 1u);
}

TEST_F(request_router_test, Stream_EndsInsideAnEvent_IsNotComplete) {
  arrive("/stream/x");
  attempt_number Attempt = attempt();
  head(Attempt, 200, false, true);
  data(Attempt, "id: 1\n\nid: 2\nda");
  end(Attempt);
  EXPECT_TRUE(none<route_finish>());
  EXPECT_EQ(all<route_abort>().size(), 1u);
}

// --------------------------------------------------------------------- ends

TEST_F(request_router_test, Caller_Leaves_UpstreamIsCancelledAtOnce) {
  arrive("/safe/x");
  attempt_number Attempt = attempt();
  Effects.clear();
  Router.onCallerGone(request_id{1}, context(), Effects);
  EXPECT_EQ(one<route_cancel>().Attempt, Attempt);
  EXPECT_EQ(Router.open(), 0u);
  EXPECT_TRUE(Load.ownUses().empty());
}

TEST_F(request_router_test, Timeout_WhileRunning_OutcomeIsUnknown) {
  arrive("/once/x");
  attempt_number Attempt = attempt();
  tick(1490ms);
  EXPECT_TRUE(none<route_refusal>());
  tick(1500ms);
  EXPECT_EQ(one<route_cancel>().Attempt, Attempt);
  EXPECT_EQ(one<route_refusal>().Status, 504);
  EXPECT_EQ(one<route_refusal>().Outcome, execution_outcome::Unknown);
}

TEST_F(request_router_test, Timeout_StreamHasStarted_IsAborted) {
  arrive("/stream/x");
  attempt_number Attempt = attempt();
  head(Attempt, 200, false, true);
  data(Attempt, "id: 1\n\n");
  tick(1500ms);
  EXPECT_EQ(all<route_abort>().size(), 1u);
  EXPECT_EQ(all<route_cancel>().size(), 1u);
}

TEST_F(request_router_test, Event_OfEndedAttempt_IsIgnored) {
  arrive("/safe/x");
  attempt_number First = attempt();
  fail(First, attempt_failure::Broken);
  head(First, 200);
  end(First);
  EXPECT_TRUE(Effects.empty());
  EXPECT_EQ(Router.open(), 1u);
}

TEST_F(request_router_test, Configuration_Changes_RequestKeepsItsOwn) {
  arrive("/safe/x");
  attempt_number First = attempt();
  Table = std::make_shared<const route_table>(site_config());
  fail(First, attempt_failure::Broken);
  EXPECT_EQ(all<route_dispatch>().size(), 1u);
}

TEST_F(request_router_test, Requests_TooManyOpen_AreRefused) {
  for (size_t I = 0; I < max_open_requests; ++I)
    arrive("/once/x");
  EXPECT_EQ(all<route_dispatch>().size(), 1u);
  arrive("/once/x");
  EXPECT_EQ(one<route_refusal>().Code, "too-many-open");
}

// --------------------------------------------------- notices of upstreams

TEST_F(request_router_test, Upstream_ReportsLeaving_GetsNoFurtherRequest) {
  arrive("/safe/x");
  auto First = one<route_dispatch>();
  Effects.clear();
  answer_head Head{First.Attempt, 200, false, false, false, true, {}, {}};
  Router.onHead(Head, context(), Effects);
  end(First.Attempt);
  EXPECT_EQ(all<route_answer>().size(), 1u);
  for (int I = 0; I < 20; ++I) {
    arrive("/safe/x");
    EXPECT_NE(one<route_dispatch>().Upstream, First.Upstream);
  }
}

TEST_F(request_router_test, Upstream_StatesALimit_IsLogged) {
  arrive("/once/x");
  auto Sent = one<route_dispatch>();
  Effects.clear();
  Router.onHead({Sent.Attempt, 200, false, false, false, false, {}, 2.5},
                context(), Effects);
  std::string Line = one<log_line>().Text;
  EXPECT_NE(Line.find("event=upstream-limit request=caller-1 upstream=" +
                      Sent.Upstream.Value + " limit=2.5/2.5"),
            std::string::npos)
      << Line;
}

TEST_F(request_router_test, Upstreams_AtTheirLimits_AreNotUsed) {
  for (const char *Name : {"u1", "u2", "u3"})
    Limits.onAnswer(upstream_name(Name), 2, at(0ms), at(0ms));
  Now = 100ms;
  arrive("/once/x");
  auto Refusal = one<route_refusal>();
  EXPECT_EQ(Refusal.Status, 503);
  EXPECT_EQ(Refusal.Code, "upstreams-limited");
  std::string Line = all<log_line>().front().Text;
  EXPECT_NE(Line.find("event=upstreams-limited request=caller-1 service=app "
                      "limited=3 limit=6/6 limit_age_ms=100"),
            std::string::npos)
      << Line;
  EXPECT_EQ(Refusal.Outcome, execution_outcome::NotRun);
  // The three upstreams take a request every 167 ms.
  EXPECT_GE(Refusal.RetryAfter, 166ms);
  EXPECT_LE(Refusal.RetryAfter, 251ms);
  Now = 600ms;
  for (int I = 0; I < 3; ++I) {
    arrive("/once/x");
    EXPECT_EQ(all<route_dispatch>().size(), 1u);
  }
  arrive("/once/x");
  EXPECT_EQ(all<route_refusal>().size(), 1u);
}

TEST_F(request_router_test, FurtherAttempt_OtherUpstreamsAtLimits_IsNotSent) {
  arrive("/safe/x");
  auto First = one<route_dispatch>();
  for (const char *Name : {"u1", "u2", "u3"})
    Limits.onAnswer(upstream_name(Name), 1, at(0ms), at(0ms));
  Now = 100ms;
  head(First.Attempt, 503, true);
  EXPECT_TRUE(none<route_dispatch>());
  EXPECT_EQ(one<route_refusal>().Outcome, execution_outcome::NotRun);
}

TEST_F(request_router_test, Stream_ToResume_OtherUpstreamsAtLimits_IsNotSent) {
  arrive("/resume/x");
  auto First = one<route_dispatch>();
  head(First.Attempt, 200, false, true);
  data(First.Attempt, "id: 1\ndata: x\n\n");
  for (const char *Name : {"u1", "u2", "u3"})
    Limits.onAnswer(upstream_name(Name), 1, at(0ms), at(0ms));
  Now = 100ms;
  fail(First.Attempt, attempt_failure::Truncated);
  EXPECT_TRUE(none<route_dispatch>());
  EXPECT_EQ(all<route_abort>().size(), 1u);
}

TEST_F(request_router_test, AddressWithNewOwner_StatesALimit_ItIsIgnored) {
  arrive("/safe/x");
  auto First = one<route_dispatch>();
  Effects.clear();
  Router.onHead({First.Attempt, 421, false, true, false, false, {}, 1},
                context(), Effects);
  EXPECT_EQ(Limits.size(), 0u);
}

TEST_F(request_router_test, AddressWithNewOwner_ReportsLeaving_OldOwnerStays) {
  arrive("/safe/x");
  auto First = one<route_dispatch>();
  answer_head Head{First.Attempt, 421, false, true, false, true, {}, {}};
  Router.onHead(Head, context(), Effects);
  EXPECT_EQ(Registry.serving(pool_name("app")).size(), 3u);
}

// Guards against entries that each send requests to an engine that is gone.
TEST_F(request_router_test, AddressWithNewOwner_NamesIt_OldRunIsLeaving) {
  arrive("/safe/x");
  auto First = one<route_dispatch>();
  answer_head Head{First.Attempt, 421, false, true, false, false, {}, {}};
  Head.AnsweredBy = upstream_name("new-owner");
  Router.onHead(Head, context(), Effects);
  EXPECT_EQ(Registry.leavingSince(at(0ms)).size(), 1u);
  EXPECT_EQ(Registry.serving(pool_name("app")).size(), 2u);
  // The next run of the same upstream serves.
  upstream_entry Next = Registry.find(First.Upstream)->Entry;
  Next.StartedAt += 1ms;
  Registry.onListed({Next.Name.Value, Next, false}, at(1ms));
  EXPECT_EQ(Registry.serving(pool_name("app")).size(), 3u);
}

// Guards against engines that are lost to all without a proof that they end.
TEST_F(request_router_test, Status421_WithoutAnotherName_RunStays) {
  for (bool OwnName : {false, true}) {
    arrive("/safe/x");
    auto First = one<route_dispatch>();
    answer_head Head{First.Attempt, 421, false, true, false, false, {}, {}};
    if (OwnName)
      Head.AnsweredBy = First.Upstream;
    Router.onHead(Head, context(), Effects);
    EXPECT_EQ(Registry.serving(pool_name("app")).size(), 3u) << OwnName;
  }
}

TEST_F(request_router_test, Upstream_AsksForBackoff_GetsNothingUntilItIsOver) {
  arrive("/safe/x");
  auto First = one<route_dispatch>();
  Effects.clear();
  answer_head Head{First.Attempt, 503, true, false, false, false, 2s, {}};
  Router.onHead(Head, context(), Effects);
  EXPECT_NE(one<route_dispatch>().Upstream, First.Upstream);
  for (int I = 0; I < 20; ++I) {
    arrive("/safe/x");
    EXPECT_NE(one<route_dispatch>().Upstream, First.Upstream);
  }
}

TEST_F(request_router_test, Upstreams_AllBackOff_RetryTimeIsThatOfTheFirst) {
  for (const char *Name : {"u1", "u2", "u3"})
    FailureTracker.onBackoffRequested(upstream_name(Name), at(900ms));
  FailureTracker.onBackoffRequested(upstream_name("u1"), at(2s));
  arrive("/once/x");
  EXPECT_TRUE(none<route_dispatch>());
  auto Refusal = one<route_refusal>();
  EXPECT_EQ(Refusal.Status, 503);
  EXPECT_EQ(Refusal.Code, "upstreams-rest");
  EXPECT_EQ(Refusal.Outcome, execution_outcome::NotRun);
  EXPECT_GE(Refusal.RetryAfter, 900ms);
  EXPECT_LT(Refusal.RetryAfter, 1400ms);
}

} // namespace
} // namespace monsoonreel
