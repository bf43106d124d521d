#include "monsoonreel/latency_tracker.h"

#include <cstdint>

namespace monsoonreel {

namespace {

// Range of the histograms, in microseconds: 100 us to 30 minutes.
constexpr double lowest_micros = 100;
constexpr double highest_micros = 1.8e9;

duration fromDouble(double Micros) {
  return fromMicros(static_cast<int64_t>(Micros));
}

} // namespace

latency_tracker::class_latency::class_latency()
    : FirstToken(lowest_micros, highest_micros),
      Hold(lowest_micros, highest_micros) {}

void latency_tracker::observe(const class_name &Class, duration FirstToken,
                              duration Total) {
  class_latency &Latency = ByClass[Class];
  Latency.Hold.add(static_cast<double>(toMicros(Total)));
  All.Hold.add(static_cast<double>(toMicros(Total)));
  if (FirstToken > duration{})
    Latency.FirstToken.add(static_cast<double>(toMicros(FirstToken)));
}

duration latency_tracker::firstToken(const class_name &Class) const {
  constexpr double Median = 0.5;
  return firstTokenQuantile(Class, Median);
}

duration latency_tracker::firstTokenP90(const class_name &Class) const {
  constexpr double NinetiethPercentile = 0.9;
  return firstTokenQuantile(Class, NinetiethPercentile);
}

duration latency_tracker::firstTokenQuantile(const class_name &Class,
                                             double Q) const {
  auto Found = ByClass.find(Class);
  if (Found == ByClass.end())
    return duration{};
  return fromDouble(Found->second.FirstToken.quantile(Q));
}

duration latency_tracker::hold(const class_name &Class) const {
  auto Found = ByClass.find(Class);
  if (Found == ByClass.end())
    return meanHold();
  return fromDouble(Found->second.Hold.mean());
}

duration latency_tracker::meanHold() const {
  if (All.Hold.weight() <= 0)
    return default_hold;
  return fromDouble(All.Hold.mean());
}

} // namespace monsoonreel
