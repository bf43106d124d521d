// Learns the timing behaviour of the engines of a service from the responses to
// callers' requests.
//
//   engine_model Model;
//   Model.onFirstEvent(Service, Engine, TokensUnreadWhenSent, Delay, Now);
//   Model.onEventGap(Service, Engine, Gap, Now);
//   engine_timing Timing = Model.at(Service, Engine);
//   // Predicted delay of the first event:
//   //   Timing.FirstEventDelay + Tokens / Timing.TokensPerMs
//
// An entry observes an engine only every few seconds, so the absolute figures
// are learned for the service and only a relative speed for each engine. The
// speed is shrunk towards 1 when there are few observations. Each observation
// has a bounded weight, because token counts are estimates, the queue of an
// engine is known late, and engines are slow for short periods.

#ifndef ROUTING_ENGINE_MODEL_H
#define ROUTING_ENGINE_MODEL_H

#include <array>
#include <cstddef>
#include <cstdint>

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/monsoonreel.h"
#include "routing/lateness_odds.h"

namespace monsoonreel {

// Limits of memory: about 2.5 KB per service and 200 bytes per engine. The one
// that has been unused for the longest is dropped in favour of a new one.
constexpr size_t max_modelled_services = 64;
constexpr size_t max_modelled_engines = 2048;

struct engine_timing {
  double TokensPerMs = 0;     // prompt tokens that the engine reads in 1 ms
  duration FirstEventDelay{}; // of a request without prompt tokens and queue
  duration EventGap{}; // usual time between two events, without prompts being
                       // read
  // Usual times for which requests hold a slot.
  duration PacedSlotTime{};
  duration OtherSlotTime{};
  double Confidence = 0; // 0: prior only, 1: many observations
};

class engine_model {
public:
  // The first event of a request arrived Delay after it was sent. Tokens:
  // prompt tokens that were unread at the engine when it was sent, its own
  // included.
  void onFirstEvent(const pool_name &Service, const upstream_name &Engine,
                    int64_t Tokens, duration Delay, steady_time Now);
  // Two successive events of one stream arrived this far apart.
  void onEventGap(const pool_name &Service, const upstream_name &Engine,
                  duration Gap, steady_time Now);
  // The first event arrived Observed after the request was sent, where
  // Predicted was expected.
  void onPrediction(const pool_name &Service, duration Predicted,
                    duration Observed, steady_time Now);
  // A request has held a slot for this time.
  void onSlotHeld(const pool_name &Service, bool Paced, duration Held,
                  steady_time Now);
  // Handles a restart of the engine.
  void forget(const upstream_name &Engine);
  // Removes services and engines without recent observations.
  void onTick(steady_time Now);

  // The confidence is that of the service: the lower one of its first events
  // and its gaps.
  engine_timing at(const pool_name &Service, const upstream_name &Engine) const;
  engine_timing ofService(const pool_name &Service) const;
  // How much later than predicted the events of a service come. Valid until the
  // next change.
  const lateness_odds &oddsOf(const pool_name &Service) const;

  size_t serviceCount() const { return Services.size(); }
  size_t engineCount() const { return Engines.size(); }

private:
  // A first event, with the delay that an engine of relative speed 1 would have
  // had.
  struct first_event {
    float Tokens = 0;
    float DelayMicros = 0;
  };

  struct service_state {
    service_state();

    std::array<first_event, 256> Recent{}; // ring buffer
    int64_t FirstEvents = 0;               // since the service is modelled
    int64_t Gaps = 0;
    // Delay = DelayMicros + Tokens * MicrosPerToken
    double DelayMicros;
    double MicrosPerToken;
    double LogGapMicros;
    double PacedSlotMicros;
    double OtherSlotMicros;
    lateness_odds Odds;
    engine_timing Timing;
    steady_time UsedAt;
  };

  // An estimate of the logarithm of an engine's relative speed.
  struct log_speed {
    double Value = 0;
    double Weight = 0; // of the observations so far
    steady_time ObservedAt;
  };

  struct engine_state {
    pool_name Service;
    log_speed FromFirstEvents;
    log_speed FromGaps;
    double Speed = 1; // combined from both, shrunk and bounded
    steady_time UsedAt;
  };

  service_state &serviceFor(const pool_name &Service, steady_time Now);
  engine_state &engineFor(const pool_name &Service, const upstream_name &Engine,
                          steady_time Now);
  void eraseService(const pool_name &Service);

  static void refit(service_state &State);
  static void updateTiming(service_state &State);
  // Adds the weight of one more observation and returns its share.
  static double addWeight(log_speed &Estimate, double Weight, steady_time Now);
  static void updateSpeed(engine_state &State);

  absl::flat_hash_map<pool_name, service_state> Services;
  absl::flat_hash_map<upstream_name, engine_state> Engines;
  steady_time NextExpiry = steady_time::min();
};

} // namespace monsoonreel

#endif // ROUTING_ENGINE_MODEL_H
