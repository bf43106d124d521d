// How often events come later than predicted, by how much.
//
//   lateness_odds Odds;
//   Odds.add(Observed / Predicted);
//   double Share = Odds.beyond(Target / Predicted); // chance to miss Target
//
// Load pattern: engines that are slow for short periods. A prediction from
// typical speeds is then too short by a factor of two or more for some of the
// requests. Streams that are placed beside as many unread tokens as a typical
// engine reads in time are late just as often.

#ifndef ROUTING_LATENESS_ODDS_H
#define ROUTING_LATENESS_ODDS_H

#include <array>
#include <cstddef>

namespace monsoonreel {

class lateness_odds {
public:
  // Starts from a prior that weighs as much as 64 observations.
  lateness_odds();

  // Adds an observation. Ratio: observed time divided by the predicted one.
  void add(double Ratio);
  // Returns the share of events that take more than Ratio times the predicted
  // time, 0 to 1. It does not rise with Ratio.
  double beyond(double Ratio) const;

private:
  // Ratios from 0.5 to 8, in steps of a quarter of an octave; the first and the
  // last one hold those beyond.
  static constexpr size_t bucket_count = 18;
  static double positionOf(double Ratio);

  void update();

  std::array<double, bucket_count> Weights{};
  // Share of the weights from this bucket on.
  std::array<double, bucket_count + 1> FromBucket{};
};

} // namespace monsoonreel

#endif // ROUTING_LATENESS_ODDS_H
