#include "monsoonreel/admission.h"

#include <algorithm>
#include <cmath>

#include "monsoonreel/mechanism.h"

namespace monsoonreel {

namespace {

// The least part of the slots that is taken to be left by higher tiers; below
// it, the minimum share bounds the wait.
constexpr double least_left = 0.01;

// Part of the slots that higher tiers leave.
double partLeft(const admission_view &View) {
  return std::max(least_left, 1 - View.HigherDemand);
}

// Mean time between two slots coming free for the request's tier.
duration gapOf(const admission_view &View) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::micro>(View.MeanHold) /
      (partLeft(View) * std::max(1, View.Slots)));
}

// Variance of the wait for each unit of its length: that of independent
// departures, and that of the work that higher tiers bring meanwhile, whose
// times in slots vary about as much as their mean.
duration spreadOf(const admission_view &View, duration ExpectedWait) {
  // Higher tiers can't make a wait longer that the minimum share ends.
  if (ExpectedWait >= View.ShareWait)
    return View.ShareGap;
  double Left = partLeft(View);
  double Higher =
      2 * View.HigherDemand / (Left * Left * std::max(1, View.Slots));
  return gapOf(View) +
         std::chrono::duration_cast<duration>(
             std::chrono::duration<double, std::micro>(View.MeanHold) * Higher);
}

duration expectedWait(const admission_view &View) {
  if (View.Slots <= 0)
    return longest_retry_after;
  duration Gap = gapOf(View);
  auto Hold = static_cast<double>(std::max<int64_t>(1, View.MeanHold.count()));
  double Ahead = static_cast<double>(View.WorkAhead.count()) / Hold;
  double Turns = Ahead + 1 - std::max(0, View.FreeSlots);
  if (Turns <= 0)
    return duration{};
  auto Wait = std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::micro>(Gap) * Turns);
  return std::min(Wait, View.ShareWait);
}

duration retryAfter(duration ExpectedWait, duration Left) {
  return std::clamp(ExpectedWait - std::max(Left, duration{}),
                    shortest_retry_after, longest_retry_after);
}

// The least chance for a request whose organisation has had AdmittedRatio of
// its due. The power is steep, because the chance falls slowly with the wait.
double leastFor(double Least, double AdmittedRatio) {
  constexpr double Steepness = 4;
  return std::clamp(Least * std::pow(AdmittedRatio, Steepness),
                    lowest_least_chance, highest_least_chance);
}

class open_admission : public admission_policy {
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
    check(View, View.GiveUpLeft - View.FirstToken, least_chance, Verdict);
    return Verdict;
  }

protected:
  static void check(const admission_view &View, duration Left, double Least,
                    admission_verdict &Verdict) {
    if (Verdict.ExpectedWait <= duration{} || !isEnabled(mechanism::Admission))
      return;
    duration Spread = spreadOf(View, Verdict.ExpectedWait);
    if (chanceWithin(Left, Verdict.ExpectedWait, Spread) >=
        leastFor(Least, View.AdmittedRatio))
      return;
    Verdict.Admit = false;
    Verdict.RetryAfter = retryAfter(Verdict.ExpectedWait, Left);
  }
};

class target_admission : public deadline_admission {
public:
  explicit target_admission(double Least) : Least(Least) {}

  admission_verdict judge(const admission_view &View) const override {
    admission_verdict Verdict = deadline_admission::judge(View);
    duration Left = View.TargetLeft - View.FirstToken;
    bool Reachable = Left > duration{};
    if (Verdict.Admit && Reachable)
      check(View, Left, Least, Verdict);
    return Verdict;
  }

private:
  double Least;
};

} // namespace

double chanceWithin(duration Left, duration ExpectedWait, duration Spread) {
  if (ExpectedWait <= duration{})
    return Left >= duration{} ? 1.0 : 0.0;
  auto Wait = static_cast<double>(toMicros(ExpectedWait));
  double Deviation = std::sqrt(
      Wait * std::max<double>(1.0, static_cast<double>(toMicros(Spread))));
  double Score = (static_cast<double>(toMicros(Left)) - Wait) / Deviation;
  return 0.5 * std::erfc(-Score / std::sqrt(2.0));
}

std::unique_ptr<admission_policy> makeLenientAdmission() {
  return std::make_unique<target_admission>(least_target_chance);
}

std::unique_ptr<admission_policy> makeTargetAdmission() {
  return std::make_unique<target_admission>(least_chance);
}

std::unique_ptr<admission_policy> makeDeadlineAdmission() {
  return std::make_unique<deadline_admission>();
}

std::unique_ptr<admission_policy> makeOpenAdmission() {
  return std::make_unique<open_admission>();
}

} // namespace monsoonreel
