// Random operations on a queue owner in virtual time, and simulations of small
// sites under overload and faults. A broken invariant aborts the test program.

#include <map>
#include <set>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <gtest/gtest.h>

#include "monsoonreel/slot_owner.h"
#include "monsoonreel/testing/fake_site.h"

namespace monsoonreel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Tracks every ask and slot and checks the owner's replies against them: each
// ask has one outcome, and no upstream exceeds its concurrency.
class random_owner {
public:
  explicit random_owner(uint64_t Seed)
      : Random(Seed), Now(std::chrono::hours(1)),
        Owner(slot_owner::builder()
                  .name(node_name("owner"))
                  .incarnation(incarnation{3})
                  .build()) {
    site_options Options;
    Options.Engines = 4;
    Options.Concurrency = 3;
    Configuration = siteConfiguration(Options);
    Configuration.Limits.MaxQueueLength = 40;
    Configuration.Limits.MaxQueueWait = seconds(8);
    Configuration.Classes[class_name("batch")].CheapAllowed = true;
    Configuration.Upstreams[upstream_name("e3")].Cheap = true;
    slot_reply_list Replies;
    Owner.setConfiguration(Configuration,
                           pool_map::fromConfiguration(Configuration), Now,
                           Replies, Effects);
  }

  void step() {
    int Choice = draw(0, 99);
    Now += milliseconds(draw(0, 20));
    if (Choice < 45)
      ask();
    else if (Choice < 75)
      releaseOne();
    else if (Choice < 80)
      cancelOne();
    else if (Choice < 85)
      report();
    else
      Owner.onTick(Now, Replies, Effects);
    renewAll();
    takeReplies();
  }
  // Releases all slots, and checks that no ask or slot remains.
  void finish() {
    for (int I = 0; I < 2000 && !(Waiting.empty() && Slots.empty()); ++I) {
      Now += milliseconds(20);
      releaseOne();
      Owner.onTick(Now, Replies, Effects);
      takeReplies();
    }
    EXPECT_TRUE(Waiting.empty());
    EXPECT_EQ(Owner.waitingCount(), 0U);
    EXPECT_EQ(Owner.runningCount(), 0U);
  }

private:
  struct held {
    std::string Upstream;
    int64_t Ask;
  };

  int draw(int Low, int High) {
    return boost::random::uniform_int_distribution<int>(Low, High)(Random);
  }
  void ask() {
    static const char *const Classes[] = {"chat", "draft", "summary", "batch"};
    wire::slot_ask Ask;
    Ask.Ask = ++LastAsk;
    Ask.Incarnation = 1;
    Ask.Pool = "model@norte#0";
    Ask.ServiceClass = Classes[draw(0, 3)];
    Ask.Organisation = "org" + std::to_string(draw(0, 4));
    Ask.TimeLeftMicros = toMicros(milliseconds(draw(100, 3000)));
    Ask.GiveUpMicros =
        Ask.TimeLeftMicros + toMicros(milliseconds(draw(0, 9000)));
    Ask.PromptTokens = draw(0, 2000);
    Ask.Idempotent = draw(0, 3) > 0;
    if (draw(0, 9) == 0)
      Ask.Excluded = {"e0"};
    Waiting.insert(Ask.Ask);
    Owner.onAsk(Asker, Ask, Now, Replies, Effects);
    if (draw(0, 9) != 0)
      return;
    Doubled.insert(Ask.Ask); // the message is duplicated in transit
    Owner.onAsk(Asker, Ask, Now, Replies, Effects);
  }
  void releaseOne() {
    if (Slots.empty())
      return;
    auto It =
        std::next(Slots.begin(), draw(0, static_cast<int>(Slots.size()) - 1));
    wire::slot_release Release;
    Release.Slot = It->first;
    Release.OwnerIncarnation = 3;
    int Choice = draw(0, 19);
    Release.Result = Choice == 0  ? wire::slot_result::Silent
                     : Choice < 3 ? wire::slot_result::Failed
                     : Choice < 5 ? wire::slot_result::Cancelled
                                  : wire::slot_result::Completed;
    Release.FirstTokenMicros = toMicros(milliseconds(draw(20, 400)));
    Release.TotalMicros = toMicros(milliseconds(draw(400, 3000)));
    Release.OutputTokens = draw(1, 300);
    --InFlight[It->second.Upstream];
    Slots.erase(It);
    Owner.onRelease(Release, Now, Replies, Effects);
  }
  void cancelOne() {
    if (Waiting.empty())
      return;
    wire::slot_cancel Cancel;
    Cancel.Ask = *Waiting.begin();
    Cancel.Incarnation = 1;
    Waiting.erase(Waiting.begin());
    Owner.onCancel(Asker, Cancel, Now, Replies, Effects);
  }
  void report() {
    load_report Report;
    Report.Upstream = upstream_name("e" + std::to_string(draw(0, 3)));
    Report.Running = draw(0, 4);
    Report.Age = milliseconds(draw(0, 2000));
    Report.Leaving = draw(0, 5) == 0;
    Owner.onLoadReport(Report, Now, Replies, Effects);
  }
  void renewAll() {
    wire::slot_renew Renew;
    Renew.OwnerIncarnation = 3;
    for (const auto &[Slot, Held] : Slots)
      Renew.Slots.push_back(Slot);
    Owner.onRenew(Renew, Now);
  }
  void takeReplies() {
    for (const slot_reply &Reply : Replies) {
      if (const auto *Grant = std::get_if<wire::slot_grant>(&Reply.Message))
        onGrant(*Grant);
      const auto *Refuse = std::get_if<wire::slot_refuse>(&Reply.Message);
      // Owners do not store refusals, so a duplicated ask may be refused twice.
      if (Refuse && Waiting.erase(Refuse->Ask) != 1 &&
          !Doubled.contains(Refuse->Ask))
        ADD_FAILURE() << "ask " << Refuse->Ask << " was answered twice";
    }
    Replies.clear();
  }
  void onGrant(const wire::slot_grant &Grant) {
    auto Known = Slots.find(Grant.Slot);
    if (Known != Slots.end()) {
      EXPECT_EQ(Known->second.Ask, Grant.Ask); // reply to a duplicated ask
      return;
    }
    // A duplicated ask may be granted after it was refused. Its slot is
    // released like any other.
    EXPECT_TRUE(Waiting.erase(Grant.Ask) == 1 || Doubled.contains(Grant.Ask))
        << "granted twice";
    Slots[Grant.Slot] = {Grant.Upstream, Grant.Ask};
    EXPECT_LE(++InFlight[Grant.Upstream], 3) << Grant.Upstream;
  }

  boost::random::mt19937_64 Random;
  steady_time Now;
  configuration Configuration;
  slot_owner Owner;
  slot_peer Asker{node_name("asker"), address("1"), zone_name("norte")};
  slot_reply_list Replies;
  effect_list Effects;
  std::set<int64_t> Waiting;
  std::set<int64_t> Doubled;
  std::map<int64_t, held> Slots;
  std::map<std::string, int> InFlight;
  int64_t LastAsk = 0;
};

class scheduling_random_test : public ::testing::Test {
protected:
  static site_result runSite(const char *Policy, double Load,
                             site_options Options = {}) {
    Options.Policy = Policy;
    Options.Load = Load;
    return fake_site(std::move(Options)).run(seconds(40));
  }
};

TEST_F(scheduling_random_test, Owner_RandomOperations_KeepsInvariants) {
  constexpr uint64_t Seeds = 60;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    SCOPED_TRACE("seed " + std::to_string(Seed));
    random_owner Owner(Seed);
    for (int I = 0; I < 1500; ++I)
      Owner.step();
    Owner.finish();
    if (HasFailure())
      return;
  }
}

TEST_F(scheduling_random_test, Tiered_Overload_BeatsBaselines) {
  site_result Tiered = runSite("tiered", 1.2);
  site_result Fifo = runSite("round-robin-fifo", 1.2);
  site_result Least = runSite("least-in-flight", 1.2);
  EXPECT_GE(Tiered.Classes["chat"].attainment(), 0.98);
  EXPECT_GT(Tiered.goodput(), Fifo.goodput());
  EXPECT_GT(Tiered.goodput(), Least.goodput());
  EXPECT_GT(Tiered.Classes["batch"].Served, 0);
}

TEST_F(scheduling_random_test, OwnerQueue_LaggingReports_BeatsChoosingAlone) {
  EXPECT_GT(runSite("tiered", 0.9).goodput(), runSite("alone", 0.9).goodput());
}

TEST_F(scheduling_random_test, Engine_FallsSilent_ChatStillMeetsItsTarget) {
  site_options Options;
  Options.FaultyEngine = 3;
  Options.Silent = true;
  Options.FaultAt = seconds(10);
  site_result Result = runSite("tiered", 0.7, Options);
  EXPECT_GE(Result.Classes["chat"].attainment(), 0.95);
}

} // namespace
} // namespace monsoonreel
