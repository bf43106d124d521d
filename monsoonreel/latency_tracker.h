// Tracks how long the requests of each class take from the grant of a slot on.
//
//   latency_tracker Latencies;
//   Latencies.observe(Class, Report.FirstToken, Report.Total);
//   duration Median = Latencies.firstToken(Class);
//
// Admission subtracts the time to the first token from a request's remaining
// time and multiplies the mean slot time by the work queued ahead of it. Old
// samples decay.

#ifndef MONSOONREEL_LATENCY_TRACKER_H
#define MONSOONREEL_LATENCY_TRACKER_H

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/decaying_histogram.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

// Mean slot time that is assumed before any request was observed.
constexpr duration default_hold = std::chrono::seconds(2);

class latency_tracker {
public:
  // Records a request that held a slot for Total. FirstToken is the time from
  // the grant to the first token, or zero when there was none.
  void observe(const class_name &Class, duration FirstToken, duration Total);
  // Median time from the grant to the first token; zero before any was
  // observed.
  duration firstToken(const class_name &Class) const;
  // The 90th percentile of the time from the grant to the first token; zero
  // before any was observed.
  duration firstTokenP90(const class_name &Class) const;
  // Mean time that the class's requests hold a slot. Returns meanHold() for a
  // class without observations.
  duration hold(const class_name &Class) const;
  // Mean time that the requests of all classes hold a slot; default_hold before
  // any was observed.
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
