#include "monsoonreel/decaying_histogram.h"

#include <algorithm>

#include <boost/histogram/axis/regular.hpp>

namespace monsoonreel {

namespace {

namespace axis = boost::histogram::axis;
using log_axis = axis::regular<double, axis::transform::log, axis::null_type>;

log_axis makeAxis(double Lowest, double Highest) {
  return {histogram_bins, Lowest, Highest};
}

} // namespace

decaying_histogram::decaying_histogram(double Lowest, double Highest)
    : Lowest(Lowest), Highest(Highest), Counts(histogram_bins, 0.0F) {}

void decaying_histogram::add(double Value) {
  double Bounded = std::clamp(Value, Lowest, Highest);
  int Bin = std::clamp(makeAxis(Lowest, Highest).index(Bounded), 0,
                       histogram_bins - 1);
  Counts[Bin] += 1.0F;
  Weight += 1;
  Sum += Bounded;
  if (Weight < histogram_max_weight)
    return;
  for (float &Count : Counts)
    Count /= 2;
  Weight /= 2;
  Sum /= 2;
}

double decaying_histogram::mean() const {
  return Weight > 0 ? Sum / Weight : 0.0;
}

double decaying_histogram::quantileAbove(double Q, double Floor) const {
  log_axis Axis = makeAxis(Lowest, Highest);
  int First = 0;
  if (Floor > Lowest)
    First = std::min(Axis.index(Floor), histogram_bins);
  double Total = 0;
  for (int Bin = First; Bin < histogram_bins; ++Bin)
    Total += Counts[Bin];
  if (Total <= 0)
    return Floor;
  double Left = Q * Total;
  for (int Bin = First; Bin < histogram_bins; ++Bin) {
    if (Counts[Bin] > 0 && Left <= Counts[Bin]) {
      double Value = Axis.value(Bin + Left / Counts[Bin]);
      return std::max(Value, Floor);
    }
    Left -= Counts[Bin];
  }
  return Highest;
}

} // namespace monsoonreel
