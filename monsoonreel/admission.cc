#include "monsoonreel/admission.h"

#include <algorithm>
#include <cmath>

#include "monsoonreel/mechanism.h"

namespace monsoonreel {

namespace {

// Lower bound of the fraction of slots that higher tiers are assumed to leave.
// Below it, the minimum share bounds the wait.
constexpr double min_fraction_left = 0.01;

// Fraction of the slots that higher tiers leave.
double fractionLeft(const admission_view &View) {
  return std::max(min_fraction_left, 1 - View.HigherDemand);
}

// Mean time between two slots becoming free for the request's tier.
duration meanSlotInterval(const admission_view &View) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::micro>(View.MeanHold) /
      (fractionLeft(View) * std::max(1, View.Slots)));
}

// Variance of the wait per unit of its length: that of independent departures,
// plus that of the work that arrives for higher tiers during the wait. The
// standard deviation of that work's slot times is about equal to their mean.
duration varianceRateOf(const admission_view &View, duration ExpectedWait) {
  // Higher tiers can't prolong a wait that the minimum share bounds.
  if (ExpectedWait >= View.ShareWait)
    return View.ShareGap;
  double Left = fractionLeft(View);
  double Higher =
      2 * View.HigherDemand / (Left * Left * std::max(1, View.Slots));
  return meanSlotInterval(View) +
         std::chrono::duration_cast<duration>(
             std::chrono::duration<double, std::micro>(View.MeanHold) * Higher);
}

duration expectedWait(const admission_view &View) {
  if (View.Slots <= 0)
    return max_retry_after;
  duration Gap = meanSlotInterval(View);
  auto Hold = static_cast<double>(std::max<int64_t>(1, View.MeanHold.count()));
  double Ahead = static_cast<double>(View.WorkAhead.count()) / Hold;
  double DeparturesAhead = Ahead + 1 - std::max(0, View.FreeSlots);
  if (DeparturesAhead <= 0)
    return duration{};
  auto Wait = std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::micro>(Gap) * DeparturesAhead);
  return std::min(Wait, View.ShareWait);
}

duration retryAfter(duration ExpectedWait, duration Left) {
  return std::clamp(ExpectedWait - std::max(Left, duration{}), min_retry_after,
                    max_retry_after);
}

// The minimum probability for a request whose organisation's admissions are
// AdmittedRatio of its fair share. The exponent is large because the
// probability falls slowly as the wait grows.
double minProbabilityFor(double MinProbability, double AdmittedRatio) {
  constexpr double Steepness = 4;
  return std::clamp(MinProbability * std::pow(AdmittedRatio, Steepness),
                    smallest_min_probability, largest_min_probability);
}

class admit_all : public admission_policy {
public:
  admission_verdict judge(const admission_view &View) const override {
    return {true, expectedWait(View), duration{}};
  }
};

class deadline_admission : public admission_policy {
public:
  admission_verdict judge(const admission_view &View) const override {
    admission_verdict Verdict;
    Verdict.ExpectedWait = expectedWait(View);
    check(View, View.WaitDeadlineLeft - View.FirstToken,
          min_on_time_probability, Verdict);
    return Verdict;
  }

protected:
  static void check(const admission_view &View, duration Left,
                    double MinProbability, admission_verdict &Verdict) {
    if (Verdict.ExpectedWait <= duration{} || !isEnabled(mechanism::Admission))
      return;
    duration VarianceRate = varianceRateOf(View, Verdict.ExpectedWait);
    if (probabilityWithin(Left, Verdict.ExpectedWait, VarianceRate) >=
        minProbabilityFor(MinProbability, View.AdmittedRatio))
      return;
    Verdict.Admit = false;
    Verdict.RetryAfter = retryAfter(Verdict.ExpectedWait, Left);
  }
};

class target_admission : public deadline_admission {
public:
  explicit target_admission(double MinProbability)
      : MinProbability(MinProbability) {}

  admission_verdict judge(const admission_view &View) const override {
    admission_verdict Verdict = deadline_admission::judge(View);
    duration Left = View.TargetLeft - View.FirstToken;
    bool Reachable = Left > duration{};
    if (Verdict.Admit && Reachable)
      check(View, Left, MinProbability, Verdict);
    return Verdict;
  }

private:
  double MinProbability;
};

} // namespace

double probabilityWithin(duration Left, duration ExpectedWait,
                         duration VarianceRate) {
  if (ExpectedWait <= duration{})
    return Left >= duration{} ? 1.0 : 0.0;
  auto Wait = static_cast<double>(toMicros(ExpectedWait));
  double Deviation =
      std::sqrt(Wait * std::max<double>(
                           1.0, static_cast<double>(toMicros(VarianceRate))));
  double Score = (static_cast<double>(toMicros(Left)) - Wait) / Deviation;
  return 0.5 * std::erfc(-Score / std::sqrt(2.0));
}

std::unique_ptr<admission_policy> makeLenientAdmission() {
  return std::make_unique<target_admission>(lenient_min_on_time_probability);
}

std::unique_ptr<admission_policy> makeTargetAdmission() {
  return std::make_unique<target_admission>(min_on_time_probability);
}

std::unique_ptr<admission_policy> makeDeadlineAdmission() {
  return std::make_unique<deadline_admission>();
}

std::unique_ptr<admission_policy> makeAdmitAll() {
  return std::make_unique<admit_all>();
}

} // namespace monsoonreel
