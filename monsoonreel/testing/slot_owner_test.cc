#include "monsoonreel/slot_owner.h"

#include <algorithm>
#include <map>
#include <set>

#include <gtest/gtest.h>

#include "monsoonreel/invariant.h"
#include "monsoonreel/mechanism.h"

namespace monsoonreel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Breaches are expected, and reported instead of ending the test program.
struct reported_breaches {
  reported_breaches() { abortOnBreach(false); }
  ~reported_breaches() { abortOnBreach(true); }
};

// One cell with two engines of one slot each, unless a test changes them.
class slot_owner_test : public ::testing::Test {
protected:
  slot_owner_test()
      : Now(std::chrono::hours(1)), Owner(slot_owner::builder()
                                              .name(node_name("owner"))
                                              .incarnation(incarnation{5})
                                              .build()) {
    addClass("chat", 0, 0.1);
    addClass("draft", 1, 0.1);
    addClass("batch", 3, 0.1);
    Configuration.Classes[class_name("batch")].CheapAllowed = true;
    addEngine("e1", 1);
    addEngine("e2", 1);
    apply();
  }

  void addClass(const char *Name, int Tier, double Share) {
    service_class &Class = Configuration.Classes[class_name(Name)];
    Class.Name = class_name(Name);
    Class.Tier = tier{Tier};
    Class.MinimumShare = Share;
  }
  upstream &addEngine(const char *Name, int Slots) {
    upstream &Engine = Configuration.Upstreams[upstream_name(Name)];
    Engine.Name = upstream_name(Name);
    Engine.Pool = pool_name("model");
    Engine.Zone = zone_name("norte");
    Engine.Concurrency = Slots;
    return Engine;
  }
  void apply() {
    Owner.setConfiguration(Configuration,
                           pool_map::fromConfiguration(Configuration), Now,
                           Replies, Effects);
  }

  wire::slot_ask makeAsk(const char *Class, const char *Organisation) {
    wire::slot_ask Ask;
    Ask.Ask = ++LastAsk;
    Ask.Incarnation = 1;
    Ask.Pool = "model@norte#0";
    Ask.ServiceClass = Class;
    Ask.Organisation = Organisation;
    Ask.TimeLeftMicros = toMicros(seconds(20));
    Ask.GiveUpMicros = toMicros(seconds(25));
    Ask.Idempotent = true;
    return Ask;
  }
  int64_t ask(const char *Class, const char *Organisation = "small") {
    return send(makeAsk(Class, Organisation));
  }
  int64_t send(const wire::slot_ask &Ask) {
    Owner.onAsk(Asker, Ask, Now, Replies, Effects);
    return Ask.Ask;
  }
  template <typename T> const T *replyTo(int64_t Ask) const {
    for (auto It = Replies.rbegin(); It != Replies.rend(); ++It)
      if (const auto *Reply = std::get_if<T>(&It->Message))
        if (Reply->Ask == Ask)
          return Reply;
    return nullptr;
  }
  const wire::slot_grant *grantOf(int64_t Ask) const {
    return replyTo<wire::slot_grant>(Ask);
  }
  void release(int64_t Ask,
               wire::slot_result::type Result = wire::slot_result::Completed,
               duration FirstToken = milliseconds(50)) {
    const wire::slot_grant *Grant = grantOf(Ask);
    ASSERT_NE(Grant, nullptr);
    wire::slot_release Release;
    Release.Slot = Grant->Slot;
    Release.OwnerIncarnation = Grant->OwnerIncarnation;
    Release.Result = Result;
    Release.FirstTokenMicros = toMicros(FirstToken);
    Release.TotalMicros = toMicros(seconds(1));
    Owner.onRelease(Release, Now, Replies, Effects);
  }
  void tick(duration Passed) {
    Now += Passed;
    Owner.onTick(Now, Replies, Effects);
  }
  void reportLoad(const char *Name, bool Leaving) {
    load_report Report;
    Report.Upstream = upstream_name(Name);
    Report.Leaving = Leaving;
    Owner.onLoadReport(Report, Now, Replies, Effects);
  }
  size_t polls(const char *Name) const {
    size_t Count = 0;
    for (const effect &Effect : Effects)
      if (const auto *Poll = std::get_if<poll_load>(&Effect))
        Count += Poll->Upstream == upstream_name(Name);
    return Count;
  }
  size_t breaches(const char *Name) const {
    size_t Count = 0;
    for (const effect &Effect : Effects)
      if (const auto *Breach = std::get_if<report_breach>(&Effect))
        Count += Breach->Invariant == Name;
    return Count;
  }
  // The first Limit grants in order, each ended after a while. For each, one
  // more request of Refill comes, unless that is nullptr.
  std::vector<int64_t> serve(size_t Limit, const char *Refill = nullptr) {
    std::vector<int64_t> Order;
    for (size_t I = 0; I < Replies.size() && Order.size() < Limit; ++I) {
      const auto *Grant = std::get_if<wire::slot_grant>(&Replies[I].Message);
      if (!Grant)
        continue;
      int64_t Ask = Grant->Ask;
      Order.push_back(Ask);
      Now += milliseconds(50);
      if (Refill)
        ask(Refill);
      release(Ask);
    }
    return Order;
  }
  // Rounds of two requests at once, where e1 is slow; what e1 got of them.
  int serveWithSlowEngine() {
    int Count = 0;
    for (int I = 0; I < 40; ++I) {
      int64_t First = ask("chat");
      for (int64_t Ask : {First, ask("chat")}) {
        if (!grantOf(Ask))
          continue;
        bool Slow = grantOf(Ask)->Upstream == "e1";
        Count += Slow;
        release(Ask, wire::slot_result::Completed,
                milliseconds(Slow ? 900 : 50));
      }
    }
    return Count;
  }

  steady_time Now;
  configuration Configuration;
  slot_owner Owner;
  slot_peer Asker{node_name("asker"), address("1"), zone_name("norte")};
  slot_reply_list Replies;
  effect_list Effects;
  int64_t LastAsk = 0;
};

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

TEST_F(slot_owner_test, Chat_GrantsItCouldNotHave_AreNoStarvation) {
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

TEST_F(slot_owner_test, Upstream_ReclaimNotice_GetsNoGrants) {
  load_report Notice;
  Notice.Upstream = upstream_name("e1");
  Notice.Leaving = true;
  ask("chat");
  Owner.onLoadReport(Notice, Now, Replies, Effects);
  release(LastAsk);
  for (int I = 0; I < 3; ++I) {
    int64_t Next = ask("chat");
    ASSERT_TRUE(grantOf(Next));
    EXPECT_EQ(grantOf(Next)->Upstream, "e2");
    release(Next);
  }
}

TEST_F(slot_owner_test, Upstream_ReclaimNoticeIgnored_GetsGrants) {
  disabled_mechanism Without(mechanism::LeavingStopsGrants);
  load_report Notice;
  Notice.Upstream = upstream_name("e1");
  Notice.Leaving = true;
  ask("chat");
  Owner.onLoadReport(Notice, Now, Replies, Effects);
  int64_t Second = ask("chat");
  std::set<std::string> Used{grantOf(Second - 1)->Upstream,
                             grantOf(Second)->Upstream};
  EXPECT_TRUE(Used.contains("e1"));
}

TEST_F(slot_owner_test, Upstream_FallsSilent_EarnsBackByProbeOnNewConnection) {
  int64_t First = ask("chat");
  std::string Silent = grantOf(First)->Upstream;
  release(First, wire::slot_result::Silent);
  int64_t Next = ask("chat");
  EXPECT_NE(grantOf(Next)->Upstream, Silent);
  EXPECT_FALSE(grantOf(ask("chat"))); // only one engine is left
  Now += first_pause;
  wire::slot_ask Unsafe = makeAsk("chat", "small");
  Unsafe.Idempotent = false;
  EXPECT_FALSE(grantOf(send(Unsafe))); // no probe with what can't be repeated
  tick(milliseconds(10));
  int64_t Probe = Next + 1;
  ASSERT_TRUE(grantOf(Probe));
  EXPECT_EQ(grantOf(Probe)->Upstream, Silent);
  EXPECT_TRUE(grantOf(Probe)->FreshConnection);
  release(Probe);
  ASSERT_TRUE(grantOf(Unsafe.Ask));
  EXPECT_FALSE(grantOf(Unsafe.Ask)->FreshConnection);
}

TEST_F(slot_owner_test, Straggler_FarSlowerThanNeighbour_LosesItsWork) {
  EXPECT_LE(serveWithSlowEngine(), straggler_samples + 1);
}

TEST_F(slot_owner_test, Straggler_EjectionTakenAway_KeepsItsWork) {
  disabled_mechanism Without(mechanism::UpstreamEjection);
  EXPECT_GT(serveWithSlowEngine(), straggler_samples + 1);
}

TEST_F(slot_owner_test, CheapUpstream_OnlyForWhatMayBeRepeatedAndAllows) {
  Configuration.Upstreams.clear();
  addEngine("cheap", 4).Cheap = true;
  apply();
  wire::slot_ask Unsafe = makeAsk("batch", "small");
  Unsafe.Idempotent = false;
  int64_t Refused = send(Unsafe);
  ASSERT_TRUE(replyTo<wire::slot_refuse>(Refused));
  EXPECT_EQ(replyTo<wire::slot_refuse>(Refused)->Reason,
            wire::refusal_reason::NoUpstream);
  EXPECT_TRUE(replyTo<wire::slot_refuse>(ask("chat")));
  reportLoad("cheap", false);
  EXPECT_TRUE(grantOf(ask("batch")));
}

TEST_F(slot_owner_test, CheapUpstream_NoticeBeforeFirstAsk_GetsNoGrants) {
  Configuration.Upstreams.clear();
  addEngine("cheap", 4).Cheap = true;
  apply();
  int64_t Ask = ask("batch");
  EXPECT_FALSE(grantOf(Ask));
  EXPECT_FALSE(replyTo<wire::slot_refuse>(Ask));
  tick(milliseconds(10));
  EXPECT_EQ(polls("cheap"), 1U);
  reportLoad("cheap", true);
  EXPECT_FALSE(grantOf(Ask));
  reportLoad("cheap", false);
  EXPECT_TRUE(grantOf(Ask));
}

TEST_F(slot_owner_test, CheapUpstream_NeverReports_IsTriedAfterTheWait) {
  Configuration.Upstreams.clear();
  addEngine("cheap", 4).Cheap = true;
  apply();
  int64_t Ask = ask("batch");
  tick(milliseconds(10));
  EXPECT_FALSE(grantOf(Ask));
  tick(first_report_wait);
  EXPECT_TRUE(grantOf(Ask));
}

TEST_F(slot_owner_test, Chat_WouldMissTarget_TakesBackLowestIdempotentSlot) {
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

TEST_F(slot_owner_test, Draft_ChatRuns_NeverTakesItsSlotBack) {
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

TEST_F(slot_owner_test, Draft_OnlyLateOnesAhead_TakesThePlaceOfOne) {
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

TEST_F(slot_owner_test, NewOwner_ReportShowsForeignWork_GrantsLess) {
  ask("draft");
  release(LastAsk);
  for (const char *Engine : {"e1", "e2"}) {
    load_report Report;
    Report.Upstream = upstream_name(Engine);
    Report.Running = 3;
    Owner.onLoadReport(Report, Now, Replies, Effects);
  }
  int64_t Waiting = ask("draft");
  EXPECT_FALSE(grantOf(Waiting));
  tick(report_lifetime + milliseconds(1)); // the reports stop
  EXPECT_TRUE(grantOf(Waiting));
}

} // namespace
} // namespace monsoonreel
