#include "routing/engine_model.h"

#include <algorithm>
#include <cmath>

namespace monsoonreel {

namespace {

// Prior of the reading rate. A rate that is wrong by a factor of two shifts the
// predictions for all engines of a service alike, so it does not change which
// engine is preferred.
constexpr double prior_tokens_per_ms = 60;
// Prior of the first event's delay. It is a small part of the shortest target
// for a first event, 250 ms, and equal for all engines.
constexpr double prior_delay_micros = 40'000;
// Prior of the gap. It is a small part of the shortest target for a gap,
// 200 ms, so a gap budget that is computed from it is neither zero nor much too
// large.
constexpr double prior_gap_micros = 40'000;

// Prior of the time for which a request holds a slot, and the share of a new
// observation in the mean: 32 observations take a second or two in a burst.
constexpr double prior_slot_micros = 1'200'000;
constexpr double slot_time_share = 1.0 / 32;
constexpr double max_slot_micros = 60'000'000;

// Bounds of the results: 5 to 1,000 tokens per ms, up to 500 ms, and 1 ms to
// 2 s.
constexpr double min_micros_per_token = 1;
constexpr double max_micros_per_token = 200;
constexpr double max_delay_micros = 500'000;
constexpr double min_gap_micros = 1'000;
constexpr double max_gap_micros = 2'000'000;
// More than the running and queued requests of an engine have together; a
// larger count is an error of the estimate.
constexpr int64_t max_tokens = 10'000'000;

// Factor by which the weight of a first event falls with each later one. About
// 150 first events count, which one entry sees in 15 to 30 s.
constexpr double first_event_decay = 0.995;
// Observations that count in full up to this relative residual. Token counts
// are usually off by a tenth to a fifth.
constexpr double full_weight_residual = 0.2;
// Added to a predicted delay before a residual is related to it, so that short
// delays, which are mostly network and scheduling time, do not dominate.
constexpr double residual_base_micros = 20'000;
// The fit starts from the preceding one, so few iterations suffice.
constexpr int fit_iterations = 3;
// Token count at which the prior rate is added as one observation. It keeps the
// fit determined when all requests have equal token counts.
constexpr double prior_tokens = 6'000;

// The gap that is exceeded by three quarters of the gaps. Longer gaps contain
// steps that also read prompts.
constexpr double usual_gap_quantile = 0.25;
// Step of the followed quantile, in units of the logarithm. It starts large
// enough to leave the prior within 100 gaps and ends at 1%.
constexpr double first_gap_step = 0.5;
constexpr double last_gap_step = 0.01;
constexpr double gap_step_halving = 8; // gaps after which the step is halved

// Number of observations from which the confidence is 1. The rate is within a
// tenth after about half as many.
constexpr double confident_observations = 64;

// Number of observations of an engine that weigh as much as the assumption that
// its speed is 1.
constexpr double speed_shrinkage = 8;
// A log speed moves by its share of at most this residual, a factor of 1.5.
constexpr double max_speed_residual = 0.4;
// Observations after which older ones lose weight.
constexpr double max_speed_weight = 64;
// Gaps also depend on how many prompts the engine reads, so together they never
// count more than this many first events.
constexpr double max_gap_speed_weight = 8;
// An engine's slow periods take 0.6 s. Observations within such a time have one
// common cause and count little after the first one.
constexpr duration slow_period = std::chrono::seconds(1);
constexpr double min_observation_weight = 0.1;
// Engines of one service differ by 0.55 to 1.2; this leaves room for more.
constexpr double max_log_speed = 1.4; // a factor of 4

// Longer than the pauses between requests of a service that is in use, and
// short enough for figures to be discarded after a change of the engines.
constexpr duration unused_retention = std::chrono::minutes(30);
constexpr duration expiry_interval = std::chrono::minutes(1);

double confidenceOf(int64_t Observations) {
  return std::min(1.0, double(Observations) / confident_observations);
}

// Weighted sums of a linear regression.
struct regression_sums {
  double W = 0, X = 0, Y = 0, XX = 0, XY = 0;

  void add(double Weight, double Tokens, double Micros) {
    W += Weight;
    X += Weight * Tokens;
    Y += Weight * Micros;
    XX += Weight * Tokens * Tokens;
    XY += Weight * Tokens * Micros;
  }
};

duration roundedMicros(double Micros) { return duration(std::llround(Micros)); }

// Returns the element that has been unused for the longest.
template <typename Map> auto oldestOf(Map &Elements) {
  return std::min_element(Elements.begin(), Elements.end(),
                          [](const auto &Left, const auto &Right) {
                            return Left.second.UsedAt < Right.second.UsedAt;
                          });
}

} // namespace

engine_model::service_state::service_state()
    : DelayMicros(prior_delay_micros),
      MicrosPerToken(1000 / prior_tokens_per_ms),
      LogGapMicros(std::log(prior_gap_micros)),
      PacedSlotMicros(prior_slot_micros), OtherSlotMicros(prior_slot_micros) {
  updateTiming(*this);
}

void engine_model::updateTiming(service_state &State) {
  State.Timing.TokensPerMs = 1000 / State.MicrosPerToken;
  State.Timing.FirstEventDelay = roundedMicros(State.DelayMicros);
  State.Timing.EventGap = roundedMicros(std::exp(State.LogGapMicros));
  State.Timing.PacedSlotTime = roundedMicros(State.PacedSlotMicros);
  State.Timing.OtherSlotTime = roundedMicros(State.OtherSlotMicros);
  State.Timing.Confidence =
      confidenceOf(std::min(State.FirstEvents, State.Gaps));
}

void engine_model::eraseService(const pool_name &Service) {
  // Relative speeds have no meaning without the service's figures.
  absl::erase_if(Engines, [&](const auto &Each) {
    return Each.second.Service == Service;
  });
  Services.erase(Service);
}

engine_model::service_state &engine_model::serviceFor(const pool_name &Service,
                                                      steady_time Now) {
  auto It = Services.find(Service);
  if (It == Services.end()) {
    if (Services.size() >= max_modelled_services) {
      pool_name Oldest = oldestOf(Services)->first;
      eraseService(Oldest);
    }
    It = Services.try_emplace(Service).first;
  }
  It->second.UsedAt = Now;
  return It->second;
}

engine_model::engine_state &engine_model::engineFor(const pool_name &Service,
                                                    const upstream_name &Engine,
                                                    steady_time Now) {
  auto It = Engines.find(Engine);
  if (It == Engines.end()) {
    if (Engines.size() >= max_modelled_engines)
      Engines.erase(oldestOf(Engines));
    It = Engines.try_emplace(Engine).first;
  }
  engine_state &State = It->second;
  if (State.Service != Service) {
    State = engine_state();
    State.Service = Service;
  }
  State.UsedAt = Now;
  return State;
}

double engine_model::addWeight(log_speed &Estimate, double Weight,
                               steady_time Now) {
  if (Estimate.Weight > 0) {
    double Elapsed = double(toMicros(Now - Estimate.ObservedAt)) /
                     double(toMicros(slow_period));
    Weight *= std::clamp(Elapsed, min_observation_weight, 1.0);
  }
  Estimate.ObservedAt = Now;
  Estimate.Weight = std::min(Estimate.Weight + Weight, max_speed_weight);
  return Estimate.Weight > 0 ? Weight / Estimate.Weight : 0;
}

void engine_model::updateSpeed(engine_state &State) {
  double FirstWeight = State.FromFirstEvents.Weight;
  double GapWeight = std::min(State.FromGaps.Weight, max_gap_speed_weight);
  double Log = (FirstWeight * State.FromFirstEvents.Value +
                GapWeight * State.FromGaps.Value) /
               (FirstWeight + GapWeight + speed_shrinkage);
  State.Speed = std::exp(std::clamp(Log, -max_log_speed, max_log_speed));
}

void engine_model::onFirstEvent(const pool_name &Service,
                                const upstream_name &Engine, int64_t Tokens,
                                duration Delay, steady_time Now) {
  if (Tokens < 0 || Tokens > max_tokens || Delay <= duration::zero())
    return;
  service_state &State = serviceFor(Service, Now);
  engine_state &EngineState = engineFor(Service, Engine, Now);
  double X = double(Tokens);
  double Y = std::clamp(double(toMicros(Delay)), X * min_micros_per_token,
                        max_delay_micros + X * max_micros_per_token);

  first_event &Slot =
      State.Recent[size_t(State.FirstEvents) % State.Recent.size()];
  Slot.Tokens = float(X);
  Slot.DelayMicros = float(Y * EngineState.Speed);
  ++State.FirstEvents;
  refit(State);
  updateTiming(State);

  double Predicted = State.DelayMicros + X * State.MicrosPerToken;
  double Residual = std::log((Predicted + residual_base_micros) /
                             (Y + residual_base_micros)) -
                    EngineState.FromFirstEvents.Value;
  double Share = addWeight(EngineState.FromFirstEvents,
                           confidenceOf(State.FirstEvents), Now);
  EngineState.FromFirstEvents.Value +=
      Share * std::clamp(Residual, -max_speed_residual, max_speed_residual);
  updateSpeed(EngineState);
}

// Iteratively reweighted least squares. Residuals are relative to the predicted
// delay, because the errors of the token counts grow with them; beyond
// full_weight_residual an observation's influence does not grow further.
void engine_model::refit(service_state &State) {
  double &A = State.DelayMicros;
  double &B = State.MicrosPerToken;
  size_t Size = State.Recent.size();
  size_t Count = std::min(size_t(State.FirstEvents), Size);
  for (int I = 0; I < fit_iterations; ++I) {
    regression_sums Sums;
    auto Add = [&](double Weight, double Tokens, double Micros) {
      double Predicted = A + B * Tokens;
      double Scale = 1 / (Predicted + residual_base_micros);
      double Residual = std::abs(Micros - Predicted) * Scale;
      if (Residual > full_weight_residual)
        Weight *= full_weight_residual / Residual;
      Sums.add(Weight * Scale * Scale, Tokens, Micros);
    };
    Add(1, 0, prior_delay_micros);
    Add(1, prior_tokens,
        prior_delay_micros + prior_tokens * 1000 / prior_tokens_per_ms);
    double Weight = 1;
    for (size_t Age = 0; Age < Count; ++Age, Weight *= first_event_decay) {
      const first_event &Each =
          State.Recent[(size_t(State.FirstEvents) - 1 - Age) % Size];
      Add(Weight, Each.Tokens, Each.DelayMicros);
    }
    B = (Sums.W * Sums.XY - Sums.X * Sums.Y) /
        (Sums.W * Sums.XX - Sums.X * Sums.X);
    B = std::clamp(B, min_micros_per_token, max_micros_per_token);
    A = (Sums.Y - B * Sums.X) / Sums.W;
    if (A < 0 || A > max_delay_micros) {
      A = std::clamp(A, 0.0, max_delay_micros);
      B = std::clamp((Sums.XY - A * Sums.X) / Sums.XX, min_micros_per_token,
                     max_micros_per_token);
    }
  }
}

void engine_model::onEventGap(const pool_name &Service,
                              const upstream_name &Engine, duration Gap,
                              steady_time Now) {
  if (Gap <= duration::zero())
    return;
  service_state &State = serviceFor(Service, Now);
  engine_state &EngineState = engineFor(Service, Engine, Now);
  double LogGap = std::log(
      std::clamp(double(toMicros(Gap)), min_gap_micros, max_gap_micros));

  double Step =
      std::max(last_gap_step,
               first_gap_step / (1 + double(State.Gaps) / gap_step_halving));
  bool Longer = LogGap + std::log(EngineState.Speed) > State.LogGapMicros;
  State.LogGapMicros +=
      Step * (Longer ? usual_gap_quantile : usual_gap_quantile - 1);
  State.LogGapMicros = std::clamp(State.LogGapMicros, std::log(min_gap_micros),
                                  std::log(max_gap_micros));
  ++State.Gaps;
  updateTiming(State);

  // The same quantile of the engine's gaps, relative to the service's.
  log_speed &Speed = EngineState.FromGaps;
  double Share = addWeight(Speed, confidenceOf(State.Gaps), Now);
  Speed.Value +=
      Share * 2 * max_speed_residual *
      (State.LogGapMicros - LogGap < Speed.Value ? -usual_gap_quantile
                                                 : 1 - usual_gap_quantile);
  Speed.Value = std::clamp(Speed.Value, -max_log_speed, max_log_speed);
  updateSpeed(EngineState);
}

void engine_model::onPrediction(const pool_name &Service, duration Predicted,
                                duration Observed, steady_time Now) {
  if (Predicted <= duration::zero() || Observed <= duration::zero())
    return;
  serviceFor(Service, Now)
      .Odds.add((double(toMicros(Observed)) + residual_base_micros) /
                (double(toMicros(Predicted)) + residual_base_micros));
}

void engine_model::onSlotHeld(const pool_name &Service, bool Paced,
                              duration Held, steady_time Now) {
  if (Held <= duration::zero())
    return;
  service_state &State = serviceFor(Service, Now);
  double &Mean = Paced ? State.PacedSlotMicros : State.OtherSlotMicros;
  Mean += slot_time_share *
          (std::min(double(toMicros(Held)), max_slot_micros) - Mean);
  updateTiming(State);
}

const lateness_odds &engine_model::oddsOf(const pool_name &Service) const {
  static const lateness_odds Prior;
  auto It = Services.find(Service);
  return It == Services.end() ? Prior : It->second.Odds;
}

void engine_model::forget(const upstream_name &Engine) {
  Engines.erase(Engine);
}

void engine_model::onTick(steady_time Now) {
  if (Now < NextExpiry)
    return;
  NextExpiry = Now + expiry_interval;
  auto Unused = [&](const auto &Each) {
    return Now - Each.second.UsedAt > unused_retention;
  };
  // Engines are used no later than their service.
  absl::erase_if(Engines, Unused);
  absl::erase_if(Services, Unused);
}

engine_timing engine_model::ofService(const pool_name &Service) const {
  static const engine_timing Prior = service_state().Timing;
  auto It = Services.find(Service);
  return It == Services.end() ? Prior : It->second.Timing;
}

engine_timing engine_model::at(const pool_name &Service,
                               const upstream_name &Engine) const {
  engine_timing Timing = ofService(Service);
  auto It = Engines.find(Engine);
  if (It == Engines.end() || It->second.Service != Service)
    return Timing;
  double Speed = It->second.Speed;
  Timing.TokensPerMs =
      std::clamp(Timing.TokensPerMs * Speed, 1000 / max_micros_per_token,
                 1000 / min_micros_per_token);
  Timing.FirstEventDelay = roundedMicros(std::min(
      double(toMicros(Timing.FirstEventDelay)) / Speed, max_delay_micros));
  Timing.EventGap =
      roundedMicros(std::clamp(double(toMicros(Timing.EventGap)) / Speed,
                               min_gap_micros, max_gap_micros));
  return Timing;
}

} // namespace monsoonreel
