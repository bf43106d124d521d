#include <deque>
#include <random>

#include "routing/testing/duty_log_fixture.h"

namespace monsoonreel {
namespace {

// The calls of candidates are delayed, or lost before or after they take
// effect, and candidates freeze now and then. Only one entry may act at a time,
// including the time in which its calls are in flight, and a lease never moves
// away and back within a short time.
class duty_log_random_test : public duty_log_test,
                             public testing::WithParamInterface<uint64_t> {
protected:
  struct pending_call {
    size_t Node = 0;
    routing_effect Call;
    duration Due{};
    bool AnswerLost = false;
  };
  // Troubles besides the late and lost calls.
  struct troubles {
    bool Restores = false; // from backups that are up to 7 s old
    // The store forgets its history, and turns away single entries.
    bool Deletions = false;
    duration Length = 120s;
  };
  static void play(uint64_t Seed, troubles Troubles);
  static constexpr size_t node_count = 4;
};

TEST_P(duty_log_random_test, Calls_LateLostAndFrozen_OneActsAtATime) {
  play(GetParam(), {});
}

TEST_P(duty_log_random_test, Store_RestoredAmongTroubles_OneActsAtATime) {
  play(GetParam(), {.Restores = true});
}

TEST_P(duty_log_random_test, History_DeletedAmongTroubles_OneActsAtATime) {
  play(GetParam(), {.Deletions = true});
}

TEST_P(duty_log_random_test, History_DeletedAmongRestores_OneActsAtATime) {
  play(GetParam(), {.Restores = true, .Deletions = true, .Length = 240s});
}

void duty_log_random_test::play(uint64_t Seed, troubles Troubles) {
  std::mt19937_64 Random(Seed);
  auto Chance = [&](int Percent) {
    return static_cast<int>(Random() % 100) < Percent;
  };
  fake_duty_store Store;
  duty_terms Terms;
  std::vector<duty_log> Nodes;
  for (size_t I = 0; I < node_count; ++I)
    Nodes.emplace_back(Terms, node_identity{node_name("n" + std::to_string(I)),
                                            zone_name("z"), address("x"),
                                            incarnation{1}});
  std::vector<duration> FrozenUntil(node_count, 0ms);
  std::vector<duration> TurnedAwayUntil(node_count, 0ms);
  std::vector<pending_call> Calls;
  std::vector<std::pair<duration, size_t>> Acts; // times and actors
  int64_t HighestFence = -1;
  std::deque<std::pair<duration, size_t>> Sizes; // of the log, by time
  for (duration Now = 0ms; Now < Troubles.Length; Now += 20ms) {
    Sizes.emplace_back(Now, Store.size());
    if (Troubles.Deletions && Random() % 300 == 0)
      Store.forget();
    if (Troubles.Deletions && Random() % 500 == 0)
      TurnedAwayUntil[Random() % node_count] =
          Now + duration(Random() % 31000000);
    if (Troubles.Restores && Random() % 500 == 0) {
      duration Backup = Now - duration(Random() % 7000000);
      auto Copied =
          std::find_if(Sizes.begin(), Sizes.end(),
                       [&](const auto &Size) { return Size.first >= Backup; });
      Store.restore(Copied->second);
      Sizes.clear();
    }
    for (size_t I = 0; I < Calls.size();) {
      if (Calls[I].Due > Now) {
        ++I;
        continue;
      }
      pending_call Call = std::move(Calls[I]);
      Calls.erase(Calls.begin() + static_cast<std::ptrdiff_t>(I));
      duty_log &Node = Nodes[Call.Node];
      if (Now < TurnedAwayUntil[Call.Node])
        continue; // the call times out
      if (auto *Append = std::get_if<append_duty>(&Call.Call)) {
        duty_appended Done = Store.append(*Append);
        if (!Call.AnswerLost && Now >= FrozenUntil[Call.Node])
          appended(Node, Done, Now);
      } else if (!Call.AnswerLost && Now >= FrozenUntil[Call.Node]) {
        wasRead(Node, Store.read(std::get<read_duty_log>(Call.Call)), Now);
      }
    }
    for (size_t I = 0; I < node_count; ++I) {
      if (Now < FrozenUntil[I])
        continue;
      if (Chance(1) && Chance(20))
        FrozenUntil[I] = Now + duration(Random() % 8000000);
      routing_effects Effects;
      Nodes[I].onTick(at(Now), Random(), Effects);
      for (routing_effect &Effect : Effects) {
        duration Delay = Chance(5) ? duration(Random() % 6000000) : 10ms;
        if (!Chance(5))
          Calls.push_back({I, std::move(Effect), Now + Delay, Chance(5)});
      }
      for (size_t J = 0; J < node_count; ++J)
        if (J != I && !Chance(10) && Nodes[J].isMine()) {
          tellEra(Nodes[I], Nodes[J].end().Era, Now);
          Nodes[I].onPeerClaim(Nodes[J].claim(), at(Now));
        }
      if (!Nodes[I].mayAct(at(Now)))
        continue;
      ASSERT_GE(Nodes[I].fence(), HighestFence) << Now / 1ms;
      HighestFence = Nodes[I].fence();
      for (auto It = Acts.rbegin(); It != Acts.rend(); ++It) {
        if (It->second == I)
          continue;
        ASSERT_GE(Now - It->first, Terms.Flight) << Now / 1ms;
        break;
      }
      Acts.emplace_back(Now, I);
    }
  }
  // A lease must not move away and back within its duration.
  std::vector<duration> LastAct(node_count, -100s);
  size_t Actor = node_count;
  for (const auto &[Time, Node] : Acts) {
    if (Node != Actor && Actor != node_count) {
      ASSERT_GE(Time - LastAct[Node], 3s) << Time / 1ms;
    }
    Actor = Node;
    LastAct[Node] = Time;
  }
  EXPECT_GT(Acts.size(), 1000u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, duty_log_random_test,
                         testing::Range<uint64_t>(1, 21));

} // namespace
} // namespace monsoonreel
