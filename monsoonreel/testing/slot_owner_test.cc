#include "monsoonreel/slot_owner.h"

#include <algorithm>
#include <map>
#include <set>

#include "monsoonreel/mechanism.h"
#include "monsoonreel/testing/slot_owner_fixture.h"

namespace monsoonreel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_F(slot_owner_test, ShortNames_OneIsUnknownHere_NothingIsQueuedOrGranted) {
  auto Other = Configuration;
  Other.Organisations[organisation_name("new")];
  short_names Names =
      short_names::fromConfiguration(Other, pool_map::fromConfiguration(Other));
  wire::slot_ask Unknown = makeAsk("chat", "new");
  Names.shorten(Unknown);
  ASSERT_NE(Unknown.Organisation, "new");
  send(Unknown);
  ASSERT_TRUE(replyTo<wire::slot_refuse>(Unknown.Ask));
  EXPECT_EQ(replyTo<wire::slot_refuse>(Unknown.Ask)->Reason,
            wire::refusal_reason::NoUpstream);
  EXPECT_EQ(Owner.waitingCount() + Owner.runningCount(), 0U);
  wire::slot_ask Known = makeAsk("chat", "small");
  Names.shorten(Known);
  EXPECT_TRUE(grantOf(send(Known)));
}

TEST_F(slot_owner_test, Waiting_SlotComesFree_HighestTierIsNext) {
  int64_t First = ask("chat");
  ask("chat");
  int64_t Low = ask("batch");
  int64_t High = ask("chat");
  release(First);
  EXPECT_TRUE(grantOf(High));
  EXPECT_FALSE(grantOf(Low));
}

TEST_F(slot_owner_test, Waiting_TierOrderTakenAway_LowerTierIsNext) {
  disabled_mechanism Without(mechanism::TierOrder);
  int64_t First = ask("chat");
  ask("chat");
  ask("batch");
  int64_t High = ask("chat");
  release(First);
  EXPECT_FALSE(grantOf(High));
}

TEST_F(slot_owner_test, Batch_ChatOverloads_GetsItsMinimumShare) {
  int64_t Low = ask("batch");
  release(Low);
  ask("chat");
  ask("chat");
  int64_t Waiting = ask("batch");
  std::vector<int64_t> Order = serve(20, "chat");
  EXPECT_NE(std::find(Order.begin(), Order.end(), Waiting), Order.end());
  EXPECT_EQ(breaches("class-not-starved"), 0U);
}

TEST_F(slot_owner_test, Batch_MinimumShareTakenAway_StarvesAndIsReported) {
  reported_breaches Reported;
  disabled_mechanism Without(mechanism::MinimumShare);
  ask("chat");
  ask("chat");
  int64_t Waiting = ask("batch");
  std::vector<int64_t> Order = serve(60, "chat");
  EXPECT_EQ(std::find(Order.begin(), Order.end(), Waiting), Order.end());
  EXPECT_GT(breaches("class-not-starved"), 0U);
}

TEST_F(slot_owner_test, Chat_GrantsOnExcludedUpstreams_AreNoStarvation) {
  reported_breaches Reported;
  addEngine("e3", 1);
  apply();
  std::map<std::string, int64_t> Held;
  for (int I = 0; I < 3; ++I) {
    wire::slot_ask Unsafe = makeAsk("draft", "small");
    Unsafe.Idempotent = false;
    int64_t Ask = send(Unsafe);
    Held[grantOf(Ask)->Upstream] = Ask;
  }
  wire::slot_ask Chat = makeAsk("chat", "small");
  Chat.Excluded = {"e1", "e2"};
  send(Chat);
  int64_t Running = Held.at("e1");
  for (int I = 0; I < 50; ++I) {
    int64_t Next = ask("draft");
    release(Running);
    ASSERT_TRUE(grantOf(Next));
    Running = Next;
  }
  EXPECT_FALSE(grantOf(Chat.Ask));
  EXPECT_EQ(breaches("class-not-starved"), 0U);
}

TEST_F(slot_owner_test, SmallOrganisation_OtherSendsBurst_IsServedEarly) {
  for (int I = 0; I < 30; ++I)
    ask("chat", "large");
  int64_t Small = ask("chat", "small");
  std::vector<int64_t> Order = serve(6);
  EXPECT_NE(std::find(Order.begin(), Order.end(), Small), Order.end());
}

TEST_F(slot_owner_test, SmallOrganisation_FairnessTakenAway_WaitsForBurst) {
  disabled_mechanism Without(mechanism::OrganisationFairness);
  for (int I = 0; I < 30; ++I)
    ask("chat", "large");
  int64_t Small = ask("chat", "small");
  std::vector<int64_t> Order = serve(6);
  EXPECT_EQ(std::find(Order.begin(), Order.end(), Small), Order.end());
}

TEST_F(slot_owner_test, Chat_WouldMissTarget_PreemptsLowestIdempotentSlot) {
  wire::slot_ask Unsafe = makeAsk("batch", "small");
  Unsafe.Idempotent = false;
  send(Unsafe);
  int64_t Victim = ask("draft");
  wire::slot_ask Urgent = makeAsk("chat", "small");
  Urgent.TimeLeftMicros = toMicros(milliseconds(350));
  int64_t Chat = send(Urgent);
  EXPECT_FALSE(grantOf(Chat));
  ASSERT_TRUE(replyTo<wire::slot_preempt>(Victim));
  EXPECT_FALSE(replyTo<wire::slot_preempt>(Unsafe.Ask));
  release(Victim, wire::slot_result::Cancelled);
  EXPECT_TRUE(grantOf(Chat));
}

TEST_F(slot_owner_test, Chat_PreemptionTakenAway_WaitsForTheLowerTier) {
  disabled_mechanism Without(mechanism::Preemption);
  ask("batch");
  int64_t Lower = ask("draft");
  wire::slot_ask Urgent = makeAsk("chat", "small");
  Urgent.TimeLeftMicros = toMicros(milliseconds(350));
  int64_t Chat = send(Urgent);
  EXPECT_FALSE(replyTo<wire::slot_preempt>(Lower));
  EXPECT_FALSE(grantOf(Chat));
}

TEST_F(slot_owner_test, Draft_ChatRuns_DoesNotPreemptIt) {
  ask("chat");
  ask("chat");
  wire::slot_ask Urgent = makeAsk("draft", "small");
  Urgent.TimeLeftMicros = toMicros(milliseconds(350));
  send(Urgent);
  tick(milliseconds(100));
  for (const slot_reply &Reply : Replies)
    EXPECT_FALSE(std::holds_alternative<wire::slot_preempt>(Reply.Message));
}

TEST_F(slot_owner_test, QueueFull_HigherTierComes_LowestTierIsShed) {
  Configuration.Limits.MaxQueueLength = 12;
  Configuration.Limits.MaxQueueWait = milliseconds(100); // 1 guaranteed place
  apply();
  disabled_mechanism Without(mechanism::Admission);
  ask("chat");
  ask("chat");
  std::vector<int64_t> Low(12);
  std::generate(Low.begin(), Low.end(), [&] { return ask("batch"); });
  int64_t Chat = ask("chat");
  EXPECT_FALSE(replyTo<wire::slot_refuse>(Chat));
  auto Shed = std::count_if(Low.begin(), Low.end(), [&](int64_t Ask) {
    return replyTo<wire::slot_refuse>(Ask) != nullptr;
  });
  EXPECT_EQ(Shed, 1);
  EXPECT_EQ(breaches("no-higher-tier-shed"), 0U);
  int64_t Next = ask("batch");
  ASSERT_TRUE(replyTo<wire::slot_refuse>(Next));
  EXPECT_GT(replyTo<wire::slot_refuse>(Next)->RetryAfterMicros, 0);
}

TEST_F(slot_owner_test, QueueFull_TierOrderTakenAway_BreachIsReported) {
  Configuration.Limits.MaxQueueLength = 12;
  Configuration.Limits.MaxQueueWait = milliseconds(100);
  apply();
  disabled_mechanism WithoutAdmission(mechanism::Admission);
  reported_breaches Reported;
  disabled_mechanism Without(mechanism::TierOrder);
  ask("chat");
  ask("chat");
  for (int I = 0; I < 6; ++I) {
    ask("draft");
    ask("batch");
  }
  ask("chat");
  EXPECT_GT(breaches("no-higher-tier-shed"), 0U);
}

TEST_F(slot_owner_test, Hopeless_LongQueue_IsRefusedAtOnceWithTimeToComeBack) {
  auto Refused = [&] {
    for (int I = 0; I < 60; ++I)
      ask("chat");
    return replyTo<wire::slot_refuse>(LastAsk);
  };
  const wire::slot_refuse *Refusal = Refused();
  ASSERT_TRUE(Refusal);
  EXPECT_EQ(Refusal->Reason, wire::refusal_reason::TargetUnreachable);
  EXPECT_GE(Refusal->RetryAfterMicros, toMicros(seconds(1)));
  disabled_mechanism Without(mechanism::Admission);
  EXPECT_FALSE(Refused());
}

TEST_F(slot_owner_test, Draft_OnlyLateRequestsAhead_OneOfThemIsShed) {
  ask("draft");
  ask("draft");
  wire::slot_ask Tight = makeAsk("draft", "small");
  Tight.TimeLeftMicros = toMicros(seconds(3));
  std::vector<int64_t> Waiting;
  for (int I = 0; I < 6; ++I) {
    Tight.Ask = ++LastAsk;
    Waiting.push_back(send(Tight));
  }
  Now += seconds(4);
  Tight.Ask = ++LastAsk;
  int64_t Fresh = send(Tight);
  EXPECT_EQ(replyTo<wire::slot_refuse>(Fresh), nullptr);
  EXPECT_EQ(std::count_if(Waiting.begin(), Waiting.end(),
                          [&](int64_t Ask) {
                            return replyTo<wire::slot_refuse>(Ask) != nullptr;
                          }),
            1);
  EXPECT_EQ(breaches("no-higher-tier-shed"), 0U);
}

TEST_F(slot_owner_test, Slot_AskerDies_ComesFree) {
  ask("chat");
  ask("chat");
  int64_t Waiting = ask("chat");
  {
    disabled_mechanism Without(mechanism::SlotExpiry);
    tick(slot_lifetime + milliseconds(1));
    EXPECT_FALSE(grantOf(Waiting));
  }
  tick(review_period);
  EXPECT_TRUE(grantOf(Waiting));
}

TEST_F(slot_owner_test, Slot_AskerRenews_IsKept) {
  int64_t First = ask("chat");
  ask("chat");
  int64_t Waiting = ask("chat");
  wire::slot_renew Renew;
  Renew.OwnerIncarnation = 5;
  Renew.Slots = {grantOf(First)->Slot, grantOf(First + 1)->Slot};
  tick(slot_lifetime - milliseconds(1));
  Owner.onRenew(Renew, Now);
  tick(seconds(1));
  EXPECT_FALSE(grantOf(Waiting));
}

TEST_F(slot_owner_test, Ask_Repeated_HoldsOneSlot) {
  wire::slot_ask Ask = makeAsk("chat", "small");
  send(Ask);
  send(Ask);
  EXPECT_EQ(Owner.runningCount(), 1U);
  EXPECT_EQ(std::get<wire::slot_grant>(Replies.front().Message),
            std::get<wire::slot_grant>(Replies.back().Message));
}

TEST_F(slot_owner_test, Deadline_PassesWhileWaiting_IsAnsweredAtOnce) {
  ask("chat");
  ask("chat");
  wire::slot_ask Short = makeAsk("chat", "small");
  Short.GiveUpMicros = toMicros(seconds(3));
  int64_t Ask = send(Short);
  tick(seconds(3));
  ASSERT_TRUE(replyTo<wire::slot_refuse>(Ask));
  EXPECT_EQ(replyTo<wire::slot_refuse>(Ask)->Reason,
            wire::refusal_reason::DeadlinePassed);
}

} // namespace
} // namespace monsoonreel
