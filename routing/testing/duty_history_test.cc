// Fleets whose holder of the duties is turned away by the store for longer or
// shorter than the store keeps the history of the log. Checks that the token of
// usage reports never falls, that each window has one count, and that the
// reports go on.

#include "routing/testing/fleet_fixture.h"

namespace monsoonreel {
namespace {

struct history_case {
  int Zones;
  int InZone;
  duration TurnedAway;
};

class duty_history_test : public fleet_test,
                          public testing::WithParamInterface<history_case> {
protected:
  store_state storeFor(size_t Index) const override {
    return TurnedAway.contains(Index) ? store_state::Refuses
                                      : store_state::Serves;
  }
  void onEffect(size_t Index, const routing_effect &Effect) override {
    const auto *Report = std::get_if<report_usage>(&Effect);
    if (!Report)
      return;
    EXPECT_GE(Report->Fence, HighestFence)
        << "entry " << Index << " at " << Now / 1ms;
    HighestFence = std::max(HighestFence, Report->Fence);
    auto [It, New] =
        Reported.try_emplace(Report->Figures.Window, Report->Figures);
    EXPECT_EQ(It->second, Report->Figures);
    Holder = Index;
    LastReport = Now;
  }

  void startWithHistory() {
    DutyHistory = 20s;
    start(GetParam().Zones, GetParam().InZone);
    runUntil(27s);
    ASSERT_TRUE(Holder);
    Former = *Holder;
  }
  // Time for all candidates to draw the longest delay, and for the report.
  duration takeoverTime() const {
    return 15s + std::ssize(Entries) * duty_claim_jitter_per_entry;
  }
  void expectReports() {
    runUntil(Now + takeoverTime());
    EXPECT_GE(LastReport, Now - 6s) << "nobody performs the duties";
  }
  // Stops an entry for good, as SIGTERM does.
  void stop(size_t Index) {
    handle(Index, drain_requested{});
    runUntil(Now + 4s);
    Entries[Index].Frozen = true;
  }
  void turnAwayFormer() {
    TurnedAway.insert(Former);
    runUntil(Now + GetParam().TurnedAway);
  }

  std::set<size_t> TurnedAway;
  size_t Former = 0;
  std::optional<size_t> Holder; // of the last report
  duration LastReport{};
  int64_t HighestFence = -1;
  std::map<int64_t, wire::window_counts> Reported;
};

TEST_P(duty_history_test, Holder_TurnedAway_TokenNeverFalls) {
  startWithHistory();
  turnAwayFormer();
  TurnedAway.clear();
  expectReports();
}

// Guards against a former holder that acts with its old token once its
// successors are gone and the history is deleted (review/11).
TEST_P(duty_history_test, Successors_StoppedAndHistoryDeleted_TokenNeverFalls) {
  startWithHistory();
  turnAwayFormer();
  for (int I = 0; I < 2 && *Holder != Former; ++I) {
    stop(*Holder);
    runUntil(Now + 1s);
  }
  forgetDutyHistory();
  TurnedAway.clear();
  expectReports();
}

// The same with successors that are killed, and with a restore of the store.
TEST_P(duty_history_test, Successor_KilledBesideADrill_TokenNeverFalls) {
  startWithHistory();
  turnAwayFormer();
  if (*Holder != Former)
    Entries[*Holder].Frozen = true;
  restoreStore(3s);
  writeLostAgain();
  forgetDutyHistory();
  TurnedAway.clear();
  expectReports();
}

// The former holder itself stops or is killed on its return.
TEST_P(duty_history_test, Holder_EndsOnItsReturn_TokenNeverFalls) {
  startWithHistory();
  turnAwayFormer();
  forgetDutyHistory();
  TurnedAway.clear();
  stop(Former);
  expectReports();
  Entries[Former].Frozen = false;
  restart(Entries[Former]);
  expectReports();
}

std::vector<history_case> allCases() {
  std::vector<history_case> Cases;
  for (auto [Zones, InZone] :
       {std::pair(2, 1), std::pair(2, 4), std::pair(4, 4), std::pair(3, 20)})
    for (duration Away : {1s, 9s, 31s, 300s})
      Cases.push_back({Zones, InZone, Away});
  return Cases;
}
INSTANTIATE_TEST_SUITE_P(
    Sizes, duty_history_test, testing::ValuesIn(allCases()),
    [](const testing::TestParamInfo<history_case> &Info) {
      return std::to_string(Info.param.Zones * Info.param.InZone) + "_for_" +
             std::to_string(Info.param.TurnedAway / 1s) + "s";
    });

} // namespace
} // namespace monsoonreel
