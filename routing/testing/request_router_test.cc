#include "routing/request_router.h"

#include <gtest/gtest.h>

#include "routing/testing/test_time.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

class request_router_test : public testing::Test {
protected:
  request_router_test()
      : Budget({0.2, 1000, 10s}), Usage(5s),
        Router({Registry, Load, Cache, Trust, Budget, Usage}, zone_name("z")) {
    for (const char *Name : {"u1", "u2", "u3"})
      list(Name);
    addRoute("/once/", repeat_kind::Once, 1);
    addRoute("/safe/", repeat_kind::Idempotent, 2);
    addRoute("/stream/", repeat_kind::Stream, 1);
    addRoute("/resume/", repeat_kind::Stream, 3);
    Config.Routes.back().Resumable = true;
    addRoute("/open/", repeat_kind::Once, 1);
    Config.Routes.back().Public = true;
    service Service;
    Service.Name = pool_name("app");
    Service.MaxConnections = 80;
    Config.Services = {Service};
    organisation_terms Kitchen;
    Kitchen.Name = organisation_name("kitchen");
    Kitchen.Keys = {key_hash("good")};
    Config.Organisations = {Kitchen};
  }

  void addRoute(const char *Prefix, repeat_kind Kind, int MaxAttempts) {
    host_route Route;
    Route.Name = Prefix;
    Route.Host = "h";
    Route.Prefix = Prefix;
    Route.Kind = Kind;
    Route.Timeout = 1500ms;
    Route.Target = 300ms;
    Route.MaxAttempts = MaxAttempts;
    Route.Services = {{pool_name("app"), 1}};
    Config.Routes.push_back(Route);
  }

  void list(const std::string &Name) {
    upstream_entry Entry;
    Entry.Name = upstream_name(Name);
    Entry.Service = pool_name("app");
    Entry.Zone = zone_name("z");
    Registry.onListed({Name, Entry, false}, at(0ms));
  }

  // Sends a request; what the router asks for is in Effects.
  void arrive(const char *Path, const char *Key = "good",
              duration TimeLeft = 3000ms) {
    if (!Table)
      Table = std::make_shared<const route_table>(Config);
    route_request Arrived;
    Arrived.Request = request_id{++Requests};
    Arrived.CallerId = "caller-" + std::to_string(Requests);
    Arrived.Host = "h";
    Arrived.Path = Path;
    if (Key)
      Arrived.Key = key_hash(Key);
    Arrived.TimeLeft = TimeLeft;
    Effects.clear();
    Router.onArrival(Arrived, Table, context(), Effects);
  }
  router_context context() const {
    return {at(Now), wall_time(Now), 1, 100ms, 8};
  }

  template <typename T> std::vector<T> all() const {
    std::vector<T> Found;
    for (const routing_effect &Effect : Effects)
      if (const T *Value = std::get_if<T>(&Effect))
        Found.push_back(*Value);
    return Found;
  }
  template <typename T> T one() const {
    std::vector<T> Found = all<T>();
    EXPECT_EQ(Found.size(), 1u);
    return Found.empty() ? T() : Found.front();
  }
  template <typename T> bool none() const { return all<T>().empty(); }

  attempt_number attempt() const { return one<route_dispatch>().Attempt; }

  void head(attempt_number Attempt, int Status, bool NotRun = false,
            bool Stream = false) {
    Effects.clear();
    answer_head Head{Attempt, Status, NotRun, Status == 421, Stream, false, {}};
    Router.onHead(Head, context(), Effects);
  }
  void data(attempt_number Attempt, const char *Bytes) {
    Effects.clear();
    Router.onData({Attempt, Bytes}, context(), Effects);
  }
  void end(attempt_number Attempt) {
    Effects.clear();
    Router.onEnd({Attempt}, context(), Effects);
  }
  void fail(attempt_number Attempt, attempt_failure Failure) {
    Effects.clear();
    Router.onFailed({Attempt, Failure, "test"}, context(), Effects);
  }
  void tick(duration Time) {
    Now = Time;
    Effects.clear();
    Router.onTick(context(), Effects);
  }
  int64_t counted() const {
    int64_t Sum = 0;
    for (const wire::organisation_count &Count : Usage.sum(0).Counts)
      Sum += Count.Requests;
    return Sum;
  }

  site_config Config;
  std::shared_ptr<const route_table> Table;
  upstream_registry Registry;
  upstream_load Load;
  prompt_cache_view Cache;
  upstream_trust Trust;
  send_budget Budget;
  usage_windows Usage;
  request_router Router;
  routing_effects Effects;
  duration Now = 0ms;
  int64_t Requests = 0;
};

// ---------------------------------------------------------------- admission

TEST_F(request_router_test, Configuration_Unknown_IsRefusedAndMayComeBack) {
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
  EXPECT_TRUE(none<route_write>()); // held back until it is complete
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
  data(Attempt, std::string(max_held_answer_bytes + 1, 'x').c_str());
  EXPECT_EQ(all<route_begin>().size(), 1u);
  fail(Attempt, attempt_failure::Truncated);
  // A part was passed on, so nothing can be done but to break it off.
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

TEST_F(request_router_test, Stream_EndsInsideAnEvent_IsNotComplete) {
  arrive("/stream/x");
  attempt_number Attempt = attempt();
  head(Attempt, 200, false, true);
  data(Attempt, "id: 1\n\nid: 2\nda");
  end(Attempt);
  EXPECT_TRUE(none<route_finish>());
  EXPECT_EQ(all<route_abort>().size(), 1u);
}

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
  EXPECT_EQ(Refusal.Outcome, run_knowledge::NotRun);
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
  EXPECT_EQ(counted(), 1); // one request, whatever ran
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

TEST_F(request_router_test, Stream_BrokenMidway_IsBrokenOff) {
  arrive("/stream/x");
  attempt_number Attempt = attempt();
  head(Attempt, 200, false, true);
  data(Attempt, "id: 1\n\n");
  fail(Attempt, attempt_failure::Truncated);
  EXPECT_TRUE(none<route_dispatch>());
  EXPECT_EQ(all<route_abort>().size(), 1u);
}

TEST_F(request_router_test,
       ResumableStream_BrokenMidway_GoesOnAfterItsLastEvent) {
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
  EXPECT_TRUE(none<route_begin>()); // the head of the first upstream stays
  end(Dispatch.Attempt);
  EXPECT_EQ(all<route_finish>().size(), 1u);
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

TEST_F(request_router_test, Upstream_IsAnother_RequestGoesElsewhere) {
  arrive("/safe/x");
  upstream_name First = one<route_dispatch>().Upstream;
  head(attempt(), 421);
  EXPECT_NE(one<route_dispatch>().Upstream, First);
  EXPECT_TRUE(Trust.isPaused(First, zone_name("z"), at(1ms)));
}

TEST_F(request_router_test, ResendBudget_IsUsedUp_RequestIsNotRepeated) {
  while (Budget.tryResend(pool_name("app"), at(0ms))) {
  }
  arrive("/safe/x");
  fail(attempt(), attempt_failure::Broken);
  EXPECT_TRUE(none<route_dispatch>());
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

TEST_F(request_router_test, Timeout_WhileUnderWay_PromisesNothing) {
  arrive("/once/x");
  attempt_number Attempt = attempt();
  tick(1490ms);
  EXPECT_TRUE(none<route_refusal>());
  tick(1500ms);
  EXPECT_EQ(one<route_cancel>().Attempt, Attempt);
  EXPECT_EQ(one<route_refusal>().Status, 504);
  EXPECT_EQ(one<route_refusal>().Outcome, run_knowledge::Unknown);
}

TEST_F(request_router_test, Timeout_StreamHasBegun_IsBrokenOff) {
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

// ------------------------------------------------ what upstreams say of it

TEST_F(request_router_test, Upstream_SaysItLeaves_GetsNoFurtherRequest) {
  arrive("/safe/x");
  auto First = one<route_dispatch>();
  Effects.clear();
  answer_head Head{First.Attempt, 200, false, false, false, true, {}};
  Router.onHead(Head, context(), Effects);
  end(First.Attempt);
  EXPECT_EQ(all<route_answer>().size(), 1u);
  for (int I = 0; I < 20; ++I) {
    arrive("/safe/x");
    EXPECT_NE(one<route_dispatch>().Upstream, First.Upstream);
  }
}

TEST_F(request_router_test, AddressWithNewOwner_SaysItLeaves_OldOwnerStays) {
  arrive("/safe/x");
  auto First = one<route_dispatch>();
  answer_head Head{First.Attempt, 421, false, true, false, true, {}};
  Router.onHead(Head, context(), Effects);
  EXPECT_EQ(Registry.serving(pool_name("app")).size(), 3u);
}

TEST_F(request_router_test, Upstream_AsksForRest_GetsNothingUntilItIsOver) {
  arrive("/safe/x");
  auto First = one<route_dispatch>();
  Effects.clear();
  answer_head Head{First.Attempt, 503, true, false, false, false, 2s};
  Router.onHead(Head, context(), Effects);
  EXPECT_NE(one<route_dispatch>().Upstream, First.Upstream);
  for (int I = 0; I < 20; ++I) {
    arrive("/safe/x");
    EXPECT_NE(one<route_dispatch>().Upstream, First.Upstream);
  }
}

TEST_F(request_router_test, Upstreams_AllRest_RequestIsToldWhenTheFirstIsBack) {
  for (const char *Name : {"u1", "u2", "u3"})
    Trust.onAskedToRest(upstream_name(Name), at(900ms));
  Trust.onAskedToRest(upstream_name("u1"), at(2s));
  arrive("/once/x");
  EXPECT_TRUE(none<route_dispatch>());
  auto Refusal = one<route_refusal>();
  EXPECT_EQ(Refusal.Status, 503);
  EXPECT_EQ(Refusal.Code, "upstreams-rest");
  EXPECT_EQ(Refusal.Outcome, run_knowledge::NotRun);
  EXPECT_GE(Refusal.RetryAfter, 900ms);
  EXPECT_LT(Refusal.RetryAfter, 1400ms);
}

// ------------------------------------------------------------------- blame

TEST_F(request_router_test, Safe_FailsAtEveryUpstream_NoneIsBlamed) {
  arrive("/safe/x");
  auto First = one<route_dispatch>();
  head(First.Attempt, 500);
  end(First.Attempt);
  auto Second = one<route_dispatch>();
  head(Second.Attempt, 500);
  end(Second.Attempt);
  EXPECT_EQ(all<route_answer>().size(), 1u) << "the upstream's own failure";
  EXPECT_EQ(Trust.failureShare(First.Upstream, at(Now)), 0);
  EXPECT_EQ(Trust.failureShare(Second.Upstream, at(Now)), 0);
}

TEST_F(request_router_test, Safe_AnotherUpstreamAnswers_FirstIsBlamed) {
  arrive("/safe/x");
  auto First = one<route_dispatch>();
  head(First.Attempt, 500);
  end(First.Attempt);
  auto Second = one<route_dispatch>();
  head(Second.Attempt, 200);
  end(Second.Attempt);
  EXPECT_GT(Trust.failureShare(First.Upstream, at(Now)), 0);
  EXPECT_EQ(Trust.failureShare(Second.Upstream, at(Now)), 0);
}

TEST_F(request_router_test, Safe_NoBudgetForASecondTry_UpstreamIsBlamed) {
  arrive("/safe/x");
  auto First = one<route_dispatch>();
  while (Budget.tryResend(pool_name("app"), at(Now))) {
  }
  head(First.Attempt, 500);
  end(First.Attempt);
  EXPECT_GT(Trust.failureShare(First.Upstream, at(Now)), 0);
}

TEST_F(request_router_test, Once_Fails_UpstreamIsBlamed) {
  arrive("/once/x");
  auto First = one<route_dispatch>();
  head(First.Attempt, 500);
  EXPECT_GT(Trust.failureShare(First.Upstream, at(Now)), 0);
}

// ------------------------------------------------------------------ stalls

TEST_F(request_router_test,
       ResumableStream_TrickleWithoutEvents_GoesOnElsewhere) {
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
