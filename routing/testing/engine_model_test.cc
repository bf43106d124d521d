#include "routing/engine_model.h"

#include <limits>
#include <random>
#include <string>

#include <gtest/gtest.h>

#include "routing/testing/test_time.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

class engine_model_test : public testing::Test {
protected:
  static upstream_name engine(int Number) {
    return upstream_name("engine" + std::to_string(Number));
  }

  double uniform(double From, double To) {
    return std::uniform_real_distribution<double>(From, To)(Random);
  }

  // A first event at an engine whose reading rate is known. The token count
  // that the model gets is off by up to a fifth, and that of queued prompts by
  // up to another one.
  void observeFirstEvent(const upstream_name &Engine, double TokensPerMs,
                         double DelayMs, double Slowness) {
    double Own = Random() % 2 ? 2890 : 826;
    double Queued = Random() % 2 ? 0 : uniform(500, 9000);
    double Ms = (DelayMs + (Own + Queued) / TokensPerMs) * Slowness;
    double Estimate = Own * uniform(0.8, 1.2) + Queued * uniform(0.6, 1.4);
    Model.onFirstEvent(Service, Engine, int64_t(Estimate),
                       fromMicros(int64_t(Ms * 1000)), at(Elapsed));
  }
  // Every third gap includes steps that read prompts.
  void observeGap(const upstream_name &Engine, double GapMs, double Slowness) {
    double Ms = GapMs * uniform(0.95, 1.1) * Slowness;
    if (Random() % 3 == 0)
      Ms += uniform(37, 260);
    Model.onEventGap(Service, Engine, fromMicros(int64_t(Ms * 1000)),
                     at(Elapsed));
  }

  static double millis(duration Value) { return double(Value.count()) / 1000; }

  void expectWithinBounds(const engine_timing &Timing) {
    EXPECT_GE(Timing.TokensPerMs, 5);
    EXPECT_LE(Timing.TokensPerMs, 1000);
    EXPECT_GE(Timing.FirstEventDelay, 0ms);
    EXPECT_LE(Timing.FirstEventDelay, 500ms);
    EXPECT_GE(Timing.EventGap, 1ms);
    EXPECT_LE(Timing.EventGap, 2s);
  }

  engine_model Model;
  pool_name Service{"service"};
  std::mt19937 Random{7};
  duration Elapsed{};
};

// Guards against decisions from figures that nobody observed.
TEST_F(engine_model_test, At_NothingObserved_IsPriorWithoutConfidence) {
  engine_timing Timing = Model.at(Service, engine(1));
  EXPECT_DOUBLE_EQ(Timing.TokensPerMs, 60);
  EXPECT_EQ(Timing.FirstEventDelay, 40ms);
  EXPECT_EQ(Timing.EventGap, 40ms);
  EXPECT_EQ(Timing.Confidence, 0);
}

// Guards against budgets that are wrong by a multiple on either kind of engine,
// because of estimated token counts and engines that are slow for a while.
TEST_F(engine_model_test, OfService_NoisyObservations_LearnsWithin200) {
  for (double Rate : {112.0, 56.6})
    for (double SlowestSpeed : {1.0, 0.55}) {
      SCOPED_TRACE(testing::Message() << Rate << " from " << SlowestSpeed);
      Model = engine_model();
      for (int I = 0; I < 200; ++I, Elapsed += 100ms) {
        int Number = int(Random() % 90);
        double Speed = SlowestSpeed + (1.2 - SlowestSpeed) * Number / 89;
        double Slowness = (Random() % 7 == 0 ? 2.5 : 1) / Speed;
        observeFirstEvent(engine(Number), Rate, 25, Slowness);
        observeGap(engine(Number), 30, Slowness);
      }
      // Typical speed of the engines that were observed.
      double Typical = (SlowestSpeed + 1.2) / 2;
      engine_timing Timing = Model.ofService(Service);
      EXPECT_NEAR(Timing.TokensPerMs, Rate * Typical, Rate * Typical * 0.2);
      EXPECT_NEAR(millis(Timing.FirstEventDelay), 25 / Typical, 12);
      EXPECT_NEAR(millis(Timing.EventGap), 30 / Typical, 8);
      EXPECT_EQ(Timing.Confidence, 1);
    }
}

// Guards against treating a slow engine like the others of its service.
TEST_F(engine_model_test, At_UnlikeEngines_ToldApartAfter30Each) {
  for (int I = 0; I < 30; ++I)
    for (int Number : {0, 1, 2, 3}) {
      Elapsed += 500ms;
      double Speed = Number == 0 ? 0.55 : Number == 1 ? 1.2 : 0.9;
      double Slowness = (Random() % 7 == 0 ? 2.5 : 1) / Speed;
      observeFirstEvent(engine(Number), 56.6, 25, Slowness);
      observeGap(engine(Number), 30, Slowness);
    }
  engine_timing Slow = Model.at(Service, engine(0));
  engine_timing Fast = Model.at(Service, engine(1));
  engine_timing Usual = Model.at(Service, engine(2));
  EXPECT_LT(Slow.TokensPerMs, 0.85 * Usual.TokensPerMs);
  EXPECT_GT(Fast.TokensPerMs, 1.08 * Usual.TokensPerMs);
  EXPECT_GT(Slow.EventGap, Fast.EventGap);
}

// Guards against avoiding an engine for long after a slow period of 0.6 s, in
// which a busy entry may make many observations, also its first ones.
TEST_F(engine_model_test, At_ShortSlowness_IsNotALastingSpeed) {
  for (int I = 0; I < 300; ++I, Elapsed += 100ms) {
    observeFirstEvent(engine(I % 10), 112, 25, 1);
    observeGap(engine(I % 10), 30, 1);
  }
  for (int I = 0; I < 12; ++I, Elapsed += 50ms)
    for (const upstream_name &Engine : {engine(0), engine(50)}) {
      observeFirstEvent(Engine, 112, 25, 2.5);
      observeGap(Engine, 30, 2.5);
    }
  double Usual = Model.ofService(Service).TokensPerMs;
  EXPECT_GT(Model.at(Service, engine(0)).TokensPerMs, 0.85 * Usual);
  EXPECT_GT(Model.at(Service, engine(50)).TokensPerMs, 0.7 * Usual);
}

// Guards against figures of a broken or hostile engine that make the model
// unusable, and against overflow.
TEST_F(engine_model_test, Observe_AbsurdFigures_StayWithinBounds) {
  constexpr int64_t Huge = std::numeric_limits<int64_t>::max();
  for (int64_t Tokens : {-Huge, int64_t(-1), int64_t(0), int64_t(9000), Huge})
    for (duration Time : {duration::min(), duration(-1), duration(0),
                          duration(1), duration::max()})
      for (int I = 0; I < 300; ++I) {
        Model.onFirstEvent(Service, engine(0), Tokens, Time, at(Elapsed));
        Model.onEventGap(Service, engine(0), Time, at(Elapsed));
        Elapsed += 10ms;
        expectWithinBounds(Model.at(Service, engine(0)));
        expectWithinBounds(Model.ofService(Service));
      }
}

// Guards against one wrong count or delay that outweighs many plausible ones.
TEST_F(engine_model_test, Observe_AbsurdFigureAmongMany_ChangesLittle) {
  for (int I = 0; I < 200; ++I, Elapsed += 100ms)
    observeFirstEvent(engine(I % 90), 112, 25, 1);
  engine_timing Before = Model.ofService(Service);
  Model.onFirstEvent(Service, engine(0), 10'000'000, 1us, at(Elapsed));
  Model.onFirstEvent(Service, engine(1), 0, duration::max(), at(Elapsed));
  engine_timing After = Model.ofService(Service);
  EXPECT_NEAR(After.TokensPerMs, Before.TokensPerMs, Before.TokensPerMs * 0.2);
  EXPECT_NEAR(millis(After.FirstEventDelay), millis(Before.FirstEventDelay), 8);
}

// Guards against figures of an earlier instance, and of another service.
TEST_F(engine_model_test, At_RestartedEngine_IsLearnedFromScratch) {
  for (int I = 0; I < 200; ++I, Elapsed += 1s)
    observeFirstEvent(engine(I % 4), 112, 25, I % 4 == 0 ? 2 : 1);
  double Usual = Model.ofService(Service).TokensPerMs;
  ASSERT_LT(Model.at(Service, engine(0)).TokensPerMs, 0.8 * Usual);
  EXPECT_DOUBLE_EQ(Model.at(pool_name("other"), engine(0)).TokensPerMs, 60);
  Model.forget(engine(0));
  EXPECT_EQ(Model.at(Service, engine(0)).TokensPerMs, Usual);
}

// Guards against one mean for both kinds, and one value that outweighs others.
TEST_F(engine_model_test, SlotTimes_OfBothKinds_AreLearnedSeparately) {
  EXPECT_EQ(Model.ofService(Service).PacedSlotTime, 1200ms);
  for (int I = 0; I < 400; ++I)
    Model.onSlotHeld(Service, I % 2 == 0, I % 2 == 0 ? 400ms : 3s, at(0ms));
  EXPECT_NEAR(millis(Model.at(Service, engine(0)).PacedSlotTime), 400, 10);
  EXPECT_NEAR(millis(Model.at(Service, engine(0)).OtherSlotTime), 3000, 10);
  Model.onSlotHeld(Service, true, duration::max(), at(0ms));
  EXPECT_LT(Model.ofService(Service).PacedSlotTime, 3s);
}

// Guards against a slow service that makes streams of another look late.
TEST_F(engine_model_test, Odds_OneServiceLate_OthersKeepThePrior) {
  for (int I = 0; I < 300; ++I)
    Model.onPrediction(Service, 100ms, 300ms, at(0ms));
  EXPECT_GT(Model.oddsOf(Service).beyond(2), 0.8);
  EXPECT_LT(Model.oddsOf(pool_name("other")).beyond(2), 0.15);
}

// Guards against memory that grows with each name that was ever observed.
TEST_F(engine_model_test, Tables_ManyNames_AreBoundedAndExpire) {
  for (int I = 0; I < 3000; ++I, Elapsed += 1ms)
    Model.onEventGap(Service, engine(I), 1s, at(Elapsed));
  EXPECT_EQ(Model.engineCount(), max_modelled_engines);
  for (int I = 0; I < 100; ++I, Elapsed += 1ms)
    Model.onEventGap(pool_name(std::to_string(I)), engine(I), 1s, at(Elapsed));
  EXPECT_EQ(Model.serviceCount(), max_modelled_services);
  EXPECT_LE(Model.engineCount(), max_modelled_engines);
  EXPECT_EQ(Model.ofService(Service).EventGap, 40ms) << "oldest is dropped";
  Model.onTick(at(Elapsed + 31min));
  EXPECT_EQ(Model.engineCount() + Model.serviceCount(), 0U);
}

} // namespace
} // namespace monsoonreel
