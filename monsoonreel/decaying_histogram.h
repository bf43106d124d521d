// A histogram of positive numbers that forgets old samples.
//
//   decaying_histogram Lengths(1, 32768);
//   Lengths.add(180);
//   double Usual = Lengths.quantile(0.5);
//
// Bins are equally wide on a logarithmic scale, so the relative error is the
// same for small and for large values: about 20% with 24 bins from 1 to 32768.
// When the samples' weight exceeds `histogram_memory` all counts are halved.

#ifndef MONSOONREEL_DECAYING_HISTOGRAM_H
#define MONSOONREEL_DECAYING_HISTOGRAM_H

#include <vector>

namespace monsoonreel {

// Number of samples after which old ones are counted half.
constexpr double histogram_memory = 512;
constexpr int histogram_bins = 24;

class decaying_histogram {
public:
  decaying_histogram(double Lowest, double Highest);

  void add(double Value);
  // Weight of the samples that are remembered.
  double weight() const { return Weight; }
  // The value below which a part Q of the samples lie; 0 without samples.
  double quantile(double Q) const { return quantileAbove(Q, 0); }
  // The same among the samples above Floor: what is to be expected of a value
  // that has reached Floor already. Floor itself when no sample lies above.
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
