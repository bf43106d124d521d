// Fleets that lose entries together with what the store knew of reported usage
// windows. Checks that no window is reported with two counts, and that windows
// whose figures cannot have been reported are.

#include "routing/testing/fleet_fixture.h"
#include "routing/testing/usage_figures.h"

namespace monsoonreel {
namespace {

struct loss_case {
  int Zones;
  int InZone;
  duration CopyAge;
  duration Down; // how long the entries are gone
};

class usage_left_out_test : public fleet_test,
                            public testing::WithParamInterface<loss_case> {
protected:
  store_state storeFor(size_t /*Index*/) const override {
    return StoreIsAway ? store_state::Refuses : store_state::Serves;
  }
  void onEffect(size_t Index, const routing_effect &Effect) override {
    if (const auto *Report = std::get_if<report_usage>(&Effect)) {
      auto [It, New] =
          Reported.try_emplace(Report->Figures.Window, Report->Figures);
      EXPECT_EQ(It->second, Report->Figures)
          << "entry " << Index << " at " << Now / 1ms;
      Holder = Index;
      handle(Index, usage_answered{Report->Figures.Window, true});
    }
    const auto *Line = std::get_if<log_line>(&Effect);
    if (Line && Line->Text.find("event=usage-left-out") != std::string::npos)
      ++LeftOut;
  }

  // Counts requests at the holder, so that each window has figures that nobody
  // finds by summing up again.
  void onStep() override {
    if (!Holder || Entries[*Holder].Frozen)
      return;
    wire::usage_report Report;
    Report.Incarnation = 1;
    Report.Windows = {figures(Now / UsageWindow, 7)};
    handle(*Holder, peer_message_received{node_name("e-left"),
                                          address("10.99.0.1:7"), Report});
  }
  // Runs until a window has been reported, and returns the window.
  int64_t runUntilReported() {
    size_t Known = Reported.size();
    while (Reported.size() == Known && Now < 200s)
      runUntil(Now + tick_period);
    return Reported.rbegin()->first;
  }
  void startAndReport() {
    start(GetParam().Zones, GetParam().InZone);
    runUntil(23s);
    runUntilReported();
    runUntil(Now + 100ms);
  }
  // Kills these entries, and starts them again after a while.
  void kill(const std::vector<size_t> &Killed, duration Down) {
    for (size_t Index : Killed)
      Entries[Index].Frozen = true;
    runUntil(Now + Down);
    for (size_t Index : Killed) {
      Entries[Index].Frozen = false;
      restart(Entries[Index]);
    }
  }
  std::vector<size_t> all() const {
    std::vector<size_t> Indexes;
    for (size_t I = 0; I < Entries.size(); ++I)
      Indexes.push_back(I);
    return Indexes;
  }
  void restore() {
    restoreStore(GetParam().CopyAge);
    writeLostAgain();
  }
  // Windows that end from now on are reported again.
  void expectReportsGoOn() {
    int64_t First = Now / UsageWindow + 1;
    runUntil(Now + 30s + std::ssize(Entries) * duty_claim_jitter_per_entry);
    for (int64_t Window = First; Window < Now / UsageWindow - 2; ++Window)
      EXPECT_TRUE(Reported.contains(Window)) << Window;
  }

  bool StoreIsAway = false;
  std::map<int64_t, wire::window_counts> Reported;
  std::optional<size_t> Holder; // of the last report
  int LeftOut = 0;
};

// Guards against a second report of a window whose figures were lost with all
// processes and a restored store (review/13).
TEST_P(usage_left_out_test, Fleet_KilledBesideARestore_WindowsHaveOneCount) {
  startAndReport();
  for (entry &Entry : Entries)
    Entry.Frozen = true;
  restore();
  kill(all(), GetParam().Down);
  expectReportsGoOn();
  EXPECT_GT(LeftOut, 0);
}

TEST_P(usage_left_out_test,
       Fleet_KilledBetweenTwoRestores_WindowsHaveOneCount) {
  startAndReport();
  restore();
  runUntil(Now + 500ms);
  for (entry &Entry : Entries)
    Entry.Frozen = true;
  restore();
  kill(all(), GetParam().Down);
  expectReportsGoOn();
}

// Deleted history hides figures as a restore does.
TEST_P(usage_left_out_test, Fleet_KilledAndHistoryDeleted_WindowsHaveOneCount) {
  startAndReport();
  for (entry &Entry : Entries)
    Entry.Frozen = true;
  forgetDutyHistory();
  kill(all(), GetParam().Down);
  expectReportsGoOn();
}

// The entries that are left cannot know whether the others had figures.
TEST_P(usage_left_out_test, HolderAndKeepers_Killed_WindowsHaveOneCount) {
  startAndReport();
  std::vector<size_t> Killed = all();
  std::erase(Killed, (*Holder + 1) % Entries.size());
  for (size_t Index : Killed)
    Entries[Index].Frozen = true;
  restore();
  kill(Killed, GetParam().Down);
  expectReportsGoOn();
}

// The entries are replaced one after the other while the store is away.
TEST_P(usage_left_out_test, Fleet_ReplacedDuringAnOutage_WindowsHaveOneCount) {
  startAndReport();
  StoreIsAway = true;
  duration Each = 8s / std::ssize(Entries);
  for (size_t Index : all()) {
    restart(Entries[Index]);
    runUntil(Now + Each);
  }
  restore();
  StoreIsAway = false;
  expectReportsGoOn();
}

// The log of a store that was never restored tells what was reported.
TEST_P(usage_left_out_test, Fleet_KilledWithoutARestore_NoWindowIsLeftOut) {
  startAndReport();
  kill(all(), GetParam().Down);
  expectReportsGoOn();
  EXPECT_EQ(LeftOut, 0);
}

// The holder knows what it has reported.
TEST_P(usage_left_out_test, Store_Restored_NoWindowIsLeftOut) {
  startAndReport();
  StoreIsAway = true;
  runUntil(Now + 1s);
  restore();
  StoreIsAway = false;
  expectReportsGoOn();
  EXPECT_EQ(LeftOut, 0);
}

// The holder is gone, but each entry that keeps copies is there.
TEST_P(usage_left_out_test, Holder_KilledBesideARestore_NoWindowIsLeftOut) {
  startAndReport();
  if (Entries.size() == 1)
    return;
  size_t Former = *Holder;
  Entries[Former].Frozen = true;
  restore();
  kill({Former}, GetParam().Down);
  expectReportsGoOn();
  EXPECT_EQ(LeftOut, 0);
}

// An old restore does not matter any more when entries are replaced.
TEST_P(usage_left_out_test, Entries_ReplacedLongAfterARestore_NoneIsLeftOut) {
  startAndReport();
  restore();
  runUntil(Now + 60s);
  for (size_t I = 0; I + 1 < Entries.size() && I < 4; ++I) {
    kill({I}, 500ms);
    runUntil(Now + 2s);
  }
  expectReportsGoOn();
  EXPECT_EQ(LeftOut, 0);
}

INSTANTIATE_TEST_SUITE_P(
    Sizes, usage_left_out_test,
    testing::Values(loss_case{1, 1, 3s, 1s}, loss_case{3, 1, 3s, 1s},
                    loss_case{3, 1, 1s, 200ms}, loss_case{2, 4, 7s, 1s},
                    loss_case{2, 4, 3s, 6s}, loss_case{3, 20, 3s, 1s}),
    [](const testing::TestParamInfo<loss_case> &Info) {
      return std::to_string(Info.param.Zones * Info.param.InZone) + "_copy_" +
             std::to_string(Info.param.CopyAge / 1s) + "s_down_" +
             std::to_string(Info.param.Down / 1ms) + "ms";
    });

} // namespace
} // namespace monsoonreel
