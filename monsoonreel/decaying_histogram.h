// A histogram of positive numbers in which old samples decay.
//
//   decaying_histogram Lengths(1, 32768);
//   Lengths.add(180);
//   double Median = Lengths.quantile(0.5);
//
// Bins are equally wide on a logarithmic scale, so the relative error is the
// same for small and for large values: about 20% with 24 bins from 1 to 32768.
// When the samples' total weight reaches `histogram_max_weight`, all counts are
// halved.

#ifndef MONSOONREEL_DECAYING_HISTOGRAM_H
#define MONSOONREEL_DECAYING_HISTOGRAM_H

#include <vector>

namespace monsoonreel {

// Total weight at which all counts are halved. Each new sample has weight 1.
constexpr double histogram_max_weight = 512;
constexpr int histogram_bins = 24;

class decaying_histogram {
public:
  // Samples outside of Lowest to Highest are clamped to that range.
  decaying_histogram(double Lowest, double Highest);

  void add(double Value);
  // Total weight of the samples after decay.
  double weight() const { return Weight; }
  // The Q-quantile of the samples, with Q from 0 to 1; 0 without samples.
  double quantile(double Q) const { return quantileAbove(Q, 0); }
  // The Q-quantile of the samples above Floor: an estimate of a value that has
  // already reached Floor. Returns Floor when no sample is above it.
  double quantileAbove(double Q, double Floor) const;
  double mean() const;

private:
  double Lowest;
  double Highest;
  std::vector<float> Counts;
  double Weight = 0;
  double Sum = 0;
};

} // namespace monsoonreel

#endif // MONSOONREEL_DECAYING_HISTOGRAM_H
