#include <algorithm>
#include <functional>
#include <map>

#include "routing/testing/request_router_fixture.h"

namespace monsoonreel {
namespace {

// Engines with four slots that read one prompt at a time, 112 tokens per ms. A
// stream holds its slot for 300 ms after its first event.
class engine_burst_test : public request_router_test {
protected:
  void run(duration Length, duration Interval) {
    for (duration End = Now + Length; Now < End; Now += 1ms) {
      for (; !Due.empty() && Due.begin()->first <= Now; Due.erase(Due.begin()))
        Due.begin()->second();
      if (Now % Interval != 0ms)
        continue;
      int Tokens = Requests % 3 == 0 ? 3000 : 800;
      arrive("/stream/", "good", 10s,
             prompt_info{"m", Tokens, 300, {{uint64_t(Requests), Tokens}}});
      for (const auto &Sent : all<route_dispatch>())
        serve(Sent.Upstream.Value, Sent.Attempt, Tokens);
    }
  }
  void serve(const std::string &Name, attempt_number Attempt, int Tokens) {
    auto &[Slots, Read] = Engines[Name];
    duration &Slot = *std::min_element(Slots.begin(), Slots.end());
    Waited += Slot > Now;
    Read = std::max({Now, Slot, Read}) + duration(Tokens * 1000 / 112);
    Due.emplace(Read + 25ms, [=, this] {
      head(Attempt, 200, false, true);
      data(Attempt, "id: 1\ndata: x\n\n");
    });
    Due.emplace(Slot = Read + 325ms, [=, this] { end(Attempt); });
  }
  // Times at which slots become free, and at which all prompts are read.
  std::map<std::string, std::pair<std::array<duration, 4>, duration>> Engines;
  std::multimap<duration, std::function<void()>> Due;
  int Waited = 0; // requests that waited for a slot
};

// Guards against a rate that changes during a burst, because requests that wait
// for slots count as if their tokens had been read meanwhile.
TEST_F(engine_burst_test, Rate_BurstFillsAllSlots_StaysWithinAFifth) {
  Config.Services.front().Engine = engine_terms{.Slots = 4};
  for (duration Interval : {60ms, 28ms, 10ms}) {
    run(6s, Interval);
    EXPECT_EQ(std::exchange(Waited, 0) > 20, Interval < 60ms);
    EXPECT_NEAR(Model.ofService(pool_name("app")).TokensPerMs, 112, 22);
  }
}

// Guards against predicted waits that grow with the waits of earlier requests.
TEST_F(engine_burst_test, SlotTimes_RequestsWaited_StayAsWithoutTheWait) {
  Config.Services.front().Engine = engine_terms{.Slots = 4};
  run(60s, 60ms); // long enough for the prior to lose its weight
  engine_timing Before = Model.ofService(pool_name("app"));
  run(6s, 10ms);
  EXPECT_GT(Waited, 20);
  engine_timing After = Model.ofService(pool_name("app"));
  EXPECT_LT(After.PacedSlotTime, Before.PacedSlotTime * 1.1);
  EXPECT_LT(After.OtherSlotTime, Before.OtherSlotTime * 1.1);
}

} // namespace
} // namespace monsoonreel
