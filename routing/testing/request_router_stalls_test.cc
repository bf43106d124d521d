// Streams whose upstream is silent: when the run is given up, and what happens
// when no other upstream takes the request.

#include <string>

#include "routing/testing/request_router_fixture.h"

namespace monsoonreel {
namespace {

class request_router_stalls_test : public request_router_test {
protected:
  request_router_stalls_test() {
    addRoute("/long/", repeat_kind::Stream, 2);
    Config.Routes.back().Resumable = true;
    Config.Routes.back().Timeout = 15s;
  }

  void unlist(const std::string &Name) {
    Registry.onListed({Name, std::nullopt, false}, at(Now));
  }
  // Starts a stream that has had an event, and returns where it runs.
  route_dispatch startStream() {
    arrive("/long/x", "good", 15s);
    auto First = one<route_dispatch>();
    head(First.Attempt, 200, false, true);
    data(First.Attempt, "id: 1\ndata: a\n\n");
    return First;
  }
  // Makes all upstreams but this one fail.
  void pauseOthers(const upstream_name &Sound) {
    for (const char *Name : {"u1", "u2", "u3"})
      if (Name != Sound.Value)
        FailureTracker.onUnreachable(upstream_name(Name), zone_name(Name),
                                     at(Now));
  }
  int tokens() {
    int Count = 0;
    while (Budget.tryResend(pool_name("app"), at(Now)))
      ++Count;
    return Count;
  }
  void expectStaysUntil(duration End) {
    for (duration Time = Now; Time <= End; Time += 100ms) {
      tick(Time);
      ASSERT_TRUE(none<route_cancel>()) << Time / 1ms;
      ASSERT_TRUE(none<route_abort>()) << Time / 1ms;
    }
  }
};

// Guards against a sound stream that is cut because it pauses at the only
// upstream (review/12).
TEST_F(request_router_stalls_test, Stream_OnlyUpstreamPauses_GoesOnThere) {
  unlist("u2");
  unlist("u3");
  auto First = startStream();
  expectStaysUntil(1900ms);
  data(First.Attempt, "id: 2\ndata: b\n\n");
  EXPECT_EQ(one<route_write>().Data, "id: 2\ndata: b\n\n");
  end(First.Attempt);
  EXPECT_EQ(all<route_finish>().size(), 1u);
}

TEST_F(request_router_stalls_test, Stream_PausesBeforeItsFirstEvent_IsNotCut) {
  unlist("u2");
  unlist("u3");
  arrive("/long/x", "good", 15s);
  expectStaysUntil(1900ms);
  EXPECT_EQ(Router.open(), 1u);
}

TEST_F(request_router_stalls_test, Stream_OtherUpstreamsFail_StaysWhereItIs) {
  auto First = startStream();
  Now = 950ms;
  pauseOthers(First.Upstream);
  expectStaysUntil(1300ms);
}

TEST_F(request_router_stalls_test, Stream_OtherUpstreamsWereFull_Stays) {
  auto First = startStream();
  Now = 500ms;
  for (const char *Name : {"u1", "u2", "u3"})
    if (Name != First.Upstream.Value)
      FailureTracker.onFull(upstream_name(Name), at(Now));
  Now = 1000ms;
  expectStaysUntil(1400ms);
}

TEST_F(request_router_stalls_test, Stream_OtherUpstreamsHaveNoSlot_Stays) {
  engine_terms Engine;
  Engine.Slots = 64;
  Config.Services.front().Engine = Engine;
  prompt_info Prompt;
  Prompt.PromptTokens = 100;
  Prompt.MaxOutputTokens = 10;
  arrive("/long/x", "good", 15s, Prompt);
  auto First = one<route_dispatch>();
  int64_t Attempt = 1000;
  for (const char *Name : {"u1", "u2", "u3"})
    for (int I = 0; Name != First.Upstream.Value && I < Engine.Slots; ++I)
      Load.begin(attempt_number{++Attempt}, upstream_name(Name), {0, false});
  expectStaysUntil(1900ms);
}

TEST_F(request_router_stalls_test, Stream_StaysAndAnotherComesUp_IsMoved) {
  unlist("u2");
  unlist("u3");
  auto First = startStream();
  expectStaysUntil(1200ms);
  list("u2");
  tick(1400ms);
  EXPECT_EQ(one<route_cancel>().Attempt, First.Attempt);
  EXPECT_EQ(one<route_dispatch>().Upstream.Value, "u2");
}

// The other upstream turns out to be full.
TEST_F(request_router_stalls_test, Stream_NobodyTakesIt_ReturnsToItsUpstream) {
  unlist("u3");
  auto First = startStream();
  tick(1050ms);
  auto Second = one<route_dispatch>();
  ASSERT_NE(Second.Upstream, First.Upstream);
  head(Second.Attempt, 503, true);
  EXPECT_TRUE(none<route_abort>());
  tick(1300ms);
  auto Third = one<route_dispatch>();
  EXPECT_EQ(Third.Upstream, First.Upstream);
  EXPECT_EQ(Third.ResumeAfter, 1);
  head(Third.Attempt, 200, false, true);
  data(Third.Attempt, "id: 2\ndata: b\n\n");
  end(Third.Attempt);
  EXPECT_EQ(all<route_finish>().size(), 1u);
}

// A return is a repeat for its upstream, so it waits for the budget.
TEST_F(request_router_stalls_test, Stream_ReturnsWithoutBudget_Waits) {
  unlist("u3");
  auto First = startStream();
  tick(1050ms);
  auto Second = one<route_dispatch>();
  head(Second.Attempt, 503, true);
  Now = 1210ms;
  tokens();
  tick(1210ms);
  EXPECT_TRUE(none<route_dispatch>());
  EXPECT_TRUE(none<route_abort>());
  tick(4s);
  EXPECT_EQ(one<route_dispatch>().Upstream, First.Upstream);
}

TEST_F(request_router_stalls_test, Stream_FormerUpstreamHasGone_IsAborted) {
  unlist("u3");
  auto First = startStream();
  tick(1050ms);
  auto Second = one<route_dispatch>();
  unlist(First.Upstream.Value);
  head(Second.Attempt, 503, true);
  EXPECT_EQ(all<route_abort>().size(), 1u);
}

// Guards against a budget that is used up by repeats that are never sent.
TEST_F(request_router_stalls_test, Safe_NoOtherUpstream_BudgetIsNotUsed) {
  int Known = tokens();
  Now = 100s;
  unlist("u2");
  unlist("u3");
  arrive("/safe/x");
  fail(attempt(), attempt_failure::Broken);
  EXPECT_EQ(one<route_refusal>().Status, 502);
  EXPECT_EQ(tokens(), Known);
}

// A server that was asked to go on behind its last event has nothing to send.
TEST_F(request_router_stalls_test, Continuation_WithoutEvents_IsComplete) {
  auto First = startStream();
  tick(1050ms);
  auto Second = one<route_dispatch>();
  EXPECT_EQ(one<route_cancel>().Attempt, First.Attempt);
  Effects.clear();
  answer_head Head{Second.Attempt, 200, false, false, true, false, {}, {}};
  Head.EndsWithConnection = true;
  Router.onHead(Head, context(), Effects);
  end(Second.Attempt);
  EXPECT_EQ(all<route_finish>().size(), 1u);
  EXPECT_TRUE(none<route_abort>());
}

} // namespace
} // namespace monsoonreel
