// How long requests of a class take once they have a slot.
//
//   latency_tracker Latencies;
//   Latencies.observe(Class, Report.FirstToken, Report.Total);
//   duration Floor = Latencies.firstToken(Class);
//
// The figures are what admission subtracts from a request's time left and
// multiplies with the work ahead of it. They forget old samples.

#ifndef MONSOONREEL_LATENCY_TRACKER_H
#define MONSOONREEL_LATENCY_TRACKER_H

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/decaying_histogram.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

// Time in a slot that is assumed of a class before any was seen.
constexpr duration default_hold = std::chrono::seconds(2);

class latency_tracker {
public:
  // FirstToken zero: none came.
  void observe(const class_name &Class, duration FirstToken, duration Total);
  // Median from the grant to the first token; zero before any was seen.
  duration firstToken(const class_name &Class) const;
  // What nine in ten requests of the class stay below; zero before any was
  // seen.
  duration slowFirstToken(const class_name &Class) const;
  // Mean time in a slot.
  duration hold(const class_name &Class) const;
  // Mean time in a slot over all classes.
  duration meanHold() const;

private:
  struct class_latency {
    decaying_histogram FirstToken;
    decaying_histogram Hold;
    class_latency();
  };
  duration firstTokenQuantile(const class_name &Class, double Q) const;

  absl::flat_hash_map<class_name, class_latency> ByClass;
  class_latency All;
};

} // namespace monsoonreel

#endif // MONSOONREEL_LATENCY_TRACKER_H
