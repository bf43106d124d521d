// A test fixture with a slot owner, one cell of engines and one asker.
//
//   TEST_F(slot_owner_test, Waiting_SlotComesFree_HighestTierIsNext) {
//     int64_t Chat = ask("chat");
//     EXPECT_TRUE(grantOf(Chat));
//     release(Chat);

#ifndef MONSOONREEL_TESTING_SLOT_OWNER_FIXTURE_H
#define MONSOONREEL_TESTING_SLOT_OWNER_FIXTURE_H

#include <cstddef>
#include <cstdint>
#include <vector>

#include <gtest/gtest.h>

#include "monsoonreel/invariant.h"
#include "monsoonreel/slot_owner.h"

namespace monsoonreel {

// While it exists, breaches of invariants are reported instead of aborting the
// test program.
struct reported_breaches {
  reported_breaches() { abortOnBreach(false); }
  ~reported_breaches() { abortOnBreach(true); }
};

// By default the cell has two engines with one slot each.
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
    Ask.TimeLeftMicros = toMicros(std::chrono::seconds(20));
    Ask.GiveUpMicros = toMicros(std::chrono::seconds(25));
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
               duration FirstToken = std::chrono::milliseconds(50)) {
    const wire::slot_grant *Grant = grantOf(Ask);
    ASSERT_NE(Grant, nullptr);
    wire::slot_release Release;
    Release.Slot = Grant->Slot;
    Release.OwnerIncarnation = Grant->OwnerIncarnation;
    Release.Result = Result;
    Release.FirstTokenMicros = toMicros(FirstToken);
    Release.TotalMicros = toMicros(std::chrono::seconds(1));
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
  // Releases each granted slot after 50 ms, until Limit grants are released or
  // no more are made, and returns their asks in order. Before each release, a
  // new request of class Refill is sent unless Refill is nullptr.
  std::vector<int64_t> serve(size_t Limit, const char *Refill = nullptr) {
    std::vector<int64_t> Order;
    for (size_t I = 0; I < Replies.size() && Order.size() < Limit; ++I) {
      const auto *Grant = std::get_if<wire::slot_grant>(&Replies[I].Message);
      if (!Grant)
        continue;
      int64_t Ask = Grant->Ask;
      Order.push_back(Ask);
      Now += std::chrono::milliseconds(50);
      if (Refill)
        ask(Refill);
      release(Ask);
    }
    return Order;
  }
  // Sends 40 rounds of two concurrent requests, where e1 is slow. Returns the
  // number of requests that e1 got.
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
                std::chrono::milliseconds(Slow ? 900 : 50));
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

} // namespace monsoonreel

#endif // MONSOONREEL_TESTING_SLOT_OWNER_FIXTURE_H
